package engine

import (
	"time"

	"github.com/shallotspool/shallotspool/core/owner"
	"github.com/shallotspool/shallotspool/core/wire"
)

// maxReceipts bounds the sends remembered at once.
const maxReceipts = 200000

// maxRestamps is how often one call is sent again only for a newer stamp.
const maxRestamps = 2

// stamp is the node's own time, for other nodes to hand back.
func (n *Node) stamp() wire.Stamp {
	return wire.Stamp{
		Incarnation: n.cfg.Self.Incarnation,
		Clock:       uint64((n.now - n.started) / time.Millisecond),
	}
}

// heardStamp is the latest stamp of a peer and when it came.
type heardStamp struct {
	wire.Stamp
	at time.Duration
}

// noteStamp keeps the latest stamp of a peer.
func (n *Node) noteStamp(target string, s wire.Stamp) {
	known := n.stamps[target]
	newer := s.Incarnation == known.Incarnation && s.Clock > known.Clock
	if s.Incarnation > known.Incarnation || newer {
		n.stamps[target] = heardStamp{s, n.now}
	}
}

// stampFor returns the stamp that goes with a send to target. An old one is not
// used: without any, the receiver gives a new one and the send is made again.
func (n *Node) stampFor(target string) wire.Stamp {
	known := n.stamps[target]
	if n.now-known.at > owner.MaxSendAge/2 {
		return wire.Stamp{}
	}
	return known.Stamp
}

// receive decides whether a send from another node may go on. It refuses late
// copies by their stamp, and sends that came before or were fenced by the
// receipts.
func (n *Node) receive(c *call) Reply {
	if c.origin != OriginPeer || !n.cfg.Policy.Ownership || n.faults().TakeCopies {
		return Reply{}
	}
	if reply := n.tooOld(c); reply.Outcome != 0 {
		return reply
	}
	switch n.receipts.Arrive(n.now, c.send) {
	case owner.FateNew:
		return Reply{}
	case owner.FateFull:
		return Reply{Outcome: OutcomeUnknown, Reason: ReasonTableFull}
	case owner.FateNotRun:
		return Reply{Outcome: OutcomeNotRun, Reason: ReasonCancelled}
	default:
		return Reply{Outcome: OutcomeUnknown, Reason: ReasonAttemptLost}
	}
}

// tooOld refuses a send whose stamp does not show that it is a late copy of
// nothing. A send without a stamp is never taken anywhere, so it certainly has
// not run; with an old stamp an earlier copy may have been taken, perhaps by an
// earlier run of this node.
func (n *Node) tooOld(c *call) Reply {
	unstamped := c.heard == wire.Stamp{}
	switch {
	case n.faults().TakeStale || owner.Fresh(n.stamp(), c.heard):
		return Reply{}
	case !unstamped:
		return Reply{Outcome: OutcomeUnknown, Reason: ReasonStale}
	}
	return Reply{Outcome: OutcomeNotRun, Reason: ReasonStale}
}

// restamp sends a call again whose receiver asked for a newer stamp. It counts
// as the same attempt: the receiver did nothing.
func (n *Node) restamp(c *call, a *attempt, reply Reply) bool {
	if reply.Reason != ReasonStale || a.local || c.restamps >= maxRestamps || n.now >= c.deadline {
		return false
	}
	c.restamps++
	c.tried = c.tried[:len(c.tried)-1]
	n.sendTo(c, a.target, a.stage)
	return true
}

// refuseSend makes the refusal of a send that was not taken a lasting one. A
// copy of a send that may have run is not refused as one that has not.
func (n *Node) refuseSend(c *call, reply *Reply) {
	if c.origin != OriginPeer || !n.cfg.Policy.Ownership || n.faults().TakeCopies {
		return
	}
	if old := n.tooOld(c); old.Outcome == OutcomeUnknown {
		*reply = old
		return
	}
	switch n.receipts.Arrive(n.now, c.send) {
	case owner.FateNew:
		n.receipts.Finish(n.now, c.send, false)
	case owner.FateNotRun:
	default:
		*reply = Reply{Outcome: OutcomeUnknown, Reason: reply.Reason}
	}
}
