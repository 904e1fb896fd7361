package engine

import (
	"time"

	"github.com/shallotspool/shallotspool/core/idempotency"
	"github.com/shallotspool/shallotspool/core/wire"
)

// maxReceivedSends is the maximum number of sends from other nodes that are
// remembered.
const maxReceivedSends = 200000

// maxStampRepeats is how many times one call is sent again because its receiver
// asked for a newer stamp.
const maxStampRepeats = 2

// stamp returns the node's current stamp. Other nodes send it back with each
// send, so that this node can tell how old the send can be without synchronised
// clocks.
func (n *Node) stamp() wire.Stamp {
	return wire.Stamp{
		Incarnation: n.cfg.Self.Incarnation,
		UptimeMS:    uint64((n.now - n.started) / time.Millisecond),
	}
}

// peerStamp is the latest stamp of a peer; at is when it arrived.
type peerStamp struct {
	wire.Stamp
	at time.Duration
}

// recordStamp stores a peer's stamp if it is newer than the one stored.
func (n *Node) recordStamp(target string, s wire.Stamp) {
	known := n.peerStamps[target]
	newerUptime := s.Incarnation == known.Incarnation && s.UptimeMS > known.UptimeMS
	if s.Incarnation > known.Incarnation || newerUptime {
		n.peerStamps[target] = peerStamp{s, n.now}
	}
}

// stampFor returns the stamp for a send to target. It returns the zero stamp if
// the known one is too old; the receiver then replies with a new stamp and the
// send is repeated.
func (n *Node) stampFor(target string) wire.Stamp {
	known := n.peerStamps[target]
	if n.now-known.at > idempotency.MaxSendAge/2 {
		return wire.Stamp{}
	}
	return known.Stamp
}

// acceptSend decides whether a send from another node may proceed: a zero Reply
// accepts it, any other Reply refuses it. checkStamp refuses delayed copies;
// receivedSends finds recent copies and sends that were fenced.
func (n *Node) acceptSend(c *call) Reply {
	if c.origin != OriginPeer || !n.cfg.Policy.KeyOwnership || n.injectedFaults().AcceptDuplicates {
		return Reply{}
	}
	if reply := n.checkStamp(c); reply.Outcome != 0 {
		return reply
	}
	switch n.receivedSends.RecordArrival(n.now, c.send) {
	case idempotency.SendNew:
		return Reply{}
	case idempotency.SendTableFull:
		return Reply{Outcome: OutcomeUnknown, Reason: ReasonTableFull}
	case idempotency.SendNotRun:
		return Reply{Outcome: OutcomeNotRun, Reason: ReasonCancelled}
	default: // An earlier copy is running or has run.
		return Reply{Outcome: OutcomeUnknown, Reason: ReasonAttemptLost}
	}
}

// checkStamp refuses a send whose stamp is missing or too old. No node accepts
// a send without a stamp, so such a send has certainly not run. With an old
// stamp, an earlier copy may have been accepted, possibly by an earlier run of
// this node, so the outcome is unknown.
func (n *Node) checkStamp(c *call) Reply {
	unstamped := c.receiverStamp == wire.Stamp{}
	switch {
	case n.injectedFaults().AcceptStaleSends || idempotency.IsStampFresh(n.stamp(), c.receiverStamp):
		return Reply{}
	case !unstamped:
		return Reply{Outcome: OutcomeUnknown, Reason: ReasonStaleStamp}
	}
	return Reply{Outcome: OutcomeNotRun, Reason: ReasonStaleStamp}
}

// repeatSendWithNewStamp repeats a send whose receiver asked for a newer stamp;
// it reports whether it did. The repetition replaces the attempt and costs no
// retry token, because the receiver did nothing.
func (n *Node) repeatSendWithNewStamp(c *call, a *attempt, reply Reply) bool {
	if reply.Reason != ReasonStaleStamp || a.local || c.stampRepeats >= maxStampRepeats || n.now >= c.deadline {
		return false
	}
	c.stampRepeats++
	c.tried = c.tried[:len(c.tried)-1]
	n.sendTo(c, a.target, a.stage)
	return true
}

// recordRefusedSend ensures that a refused send stays refused when a copy of it
// arrives. If an earlier copy of the send may have run, it changes reply to an
// unknown outcome.
func (n *Node) recordRefusedSend(c *call, reply *Reply) {
	if c.origin != OriginPeer || !n.cfg.Policy.KeyOwnership || n.injectedFaults().AcceptDuplicates {
		return
	}
	if stale := n.checkStamp(c); stale.Outcome == OutcomeUnknown {
		*reply = stale
		return
	}
	switch n.receivedSends.RecordArrival(n.now, c.send) {
	case idempotency.SendNew:
		n.receivedSends.Finish(n.now, c.send, false)
	case idempotency.SendNotRun:
	default: // An earlier copy is running or has run, or the table is full.
		*reply = Reply{Outcome: OutcomeUnknown, Reason: reply.Reason}
	}
}
