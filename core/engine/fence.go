package engine

import (
	"time"

	"github.com/shallotspool/shallotspool/core/balancer"
	"github.com/shallotspool/shallotspool/core/idempotency"
	"github.com/shallotspool/shallotspool/core/wire"
)

// The time to wait for the answer to a fence; after it the outcome of the call
// is unknown. A node that waits for an owner waits longer than the owner waits
// for the node that runs the call.
const (
	ownerFenceTimeout  = 100 * time.Millisecond
	runnerFenceTimeout = 50 * time.Millisecond
)

// pendingFence is an unanswered fence: a request to the receiver of a send to
// never run that send if it has not run yet, and to tell whether it may have
// run.
type pendingFence struct {
	call   *call
	send   wire.SendID
	stage  Stage
	target string
	// final is true if the call ends whatever the answer is. reason is the
	// reason for the refusal if no further attempt is made.
	final  bool
	reason Reason
	// lentTokens is the number of tokens that went with the send. They are
	// returned to the call if the send has not run.
	lentTokens int
	// deadline is the deadline of the call itself; the call's deadline field
	// holds the timeout of the fence meanwhile.
	deadline time.Duration
}

// canFence reports whether a was sent to a node that can answer a fence for it,
// and whether the answer matters.
func (n *Node) canFence(a *attempt) bool {
	return n.cfg.Policy.KeyOwnership && !a.local && !a.call.route.Idempotent && a.receiverStamp.Incarnation != 0
}

// sendFence forbids the receiver of a to start running it and asks whether it
// may have run. The call waits for the answer until the fence times out. final
// and reason are those of pendingFence.
func (n *Node) sendFence(a *attempt, final bool, reason Reason) {
	c := a.call
	f := &pendingFence{
		call: c, send: a.send, stage: a.stage, target: a.target,
		final: final, reason: reason, deadline: c.deadline,
	}
	c.pendingFence = f
	n.pendingFences[a.send] = f
	wait := runnerFenceTimeout
	if a.stage == StageOwner {
		wait = ownerFenceTimeout
	}
	n.setDeadline(c, n.now+wait)
	to := wire.NodeID{Target: a.target, Incarnation: a.receiverStamp.Incarnation}
	n.emit(&SendFrame{To: to, Frame: wire.Frame{Fence: &wire.Fence{Send: a.send, ReceiverStamp: a.receiverStamp}}})
}

// setDeadline changes the time at which c expires.
func (n *Node) setDeadline(c *call, to time.Duration) {
	n.deadlines.remove(c)
	c.deadline = to
	n.deadlines.add(c)
}

// resolveFence removes f and restores the deadline of its call.
func (n *Node) resolveFence(f *pendingFence) {
	delete(n.pendingFences, f.send)
	f.call.pendingFence = nil
	n.setDeadline(f.call, f.deadline)
}

// discardFence removes the fence of a call that ends before the answer arrived.
func (n *Node) discardFence(c *call) {
	if c.pendingFence != nil {
		delete(n.pendingFences, c.pendingFence.send)
		c.pendingFence = nil
	}
}

// fenceAnswered continues or ends a call with the answer to its fence.
func (n *Node) fenceAnswered(m *wire.FenceReply) {
	f := n.pendingFences[m.Send]
	if f == nil {
		return
	}
	n.resolveFence(f)
	c := f.call
	if m.MayHaveRun {
		c.pool.Return(f.lentTokens, 0)
	} else {
		c.pool.Return(f.lentTokens, f.lentTokens)
	}
	switch {
	case f.stage == StageOwner && n.mayResendToOwner(c, f):
		c.mayHaveRun = c.mayHaveRun || m.MayHaveRun
		n.sendTo(c, f.target, StageOwner)
	case !m.MayHaveRun && f.final:
		n.refuseCall(c, f.reason)
	case !m.MayHaveRun:
		n.afterRefusal(c, f.reason)
	default:
		c.mayHaveRun = true
		n.refuseCall(c, f.reason)
	}
}

// mayResendToOwner reports whether c can be sent to the owner of its key again,
// and takes the token for it. The owner joins the new send to the run in
// progress or answers it with the stored result.
func (n *Node) mayResendToOwner(c *call, f *pendingFence) bool {
	return !f.final && n.now < c.deadline && n.canAfford(c, 1) && (!n.cfg.Policy.RetryBudget || c.pool.Spend())
}

// fenceAtDeadline handles a call whose deadline has passed and whose outcome a
// fence can still establish: it sends the fence, or refuses the call if the
// fence it already sent has timed out. It returns false if there is nothing to
// fence.
func (n *Node) fenceAtDeadline(c *call) bool {
	if c.pendingFence != nil {
		n.resolveFence(c.pendingFence)
		c.mayHaveRun = true
		n.refuseCall(c, ReasonAttemptLost)
		return true
	}
	a := c.current
	if a == nil || !n.canFence(a) {
		return false
	}
	// abandonAttempt sets mayHaveRun, but for this attempt the fence decides.
	before := c.mayHaveRun
	n.abandonAttempt(c, balancer.ResultTimeout)
	c.mayHaveRun = before
	n.sendFence(a, true, ReasonDeadline)
	return true
}

// fenceDeferral is the time left until a call's deadline below which a received
// fence is answered only when the call ends.
const fenceDeferral = 20 * time.Millisecond

// fenceReceived processes another node's fence.
func (n *Node) fenceReceived(from wire.NodeID, m *wire.Fence) {
	if n.faults().IgnoreFence {
		n.answerFence(from, m.Send, false)
		return
	}
	c := n.callsBySend[m.Send]
	if c == nil {
		// The record of an older send may have expired already, so a send of
		// this age counts as possibly run.
		old := !idempotency.IsStampFresh(n.stamp(), m.ReceiverStamp)
		n.answerFence(from, m.Send, old || n.receivedSends.Fence(n.now, m.Send))
		return
	}
	a := c.current
	switch {
	case a != nil && a.queued:
		mayHaveRun := c.mayHaveRun
		n.abandonAttempt(c, balancer.ResultCancelled)
		n.refuseCall(c, ReasonCancelled)
		n.answerFence(from, m.Send, mayHaveRun)
	case c.pendingFence != nil, a != nil && !a.local && c.deadline-n.now <= fenceDeferral:
		c.fencedBy = from
	default:
		n.answerFence(from, m.Send, true)
	}
}

// answerFence answers another node's fence.
func (n *Node) answerFence(to wire.NodeID, send wire.SendID, mayHaveRun bool) {
	n.emit(&SendFrame{To: to, Frame: wire.Frame{FenceReply: &wire.FenceReply{Send: send, MayHaveRun: mayHaveRun}}})
}

// finishReceivedSend records the outcome of another node's send and answers a
// fence that was deferred until the outcome was known.
func (n *Node) finishReceivedSend(c *call, reply Reply) {
	if c.origin != OriginPeer || !n.cfg.Policy.KeyOwnership {
		return
	}
	n.receivedSends.Finish(n.now, c.send, replyMayHaveRun(reply))
	if c.fencedBy.Incarnation != 0 {
		n.answerFence(c.fencedBy, c.send, replyMayHaveRun(reply))
	}
}
