package engine

import (
	"time"

	"github.com/shallotspool/shallotspool/core/balancer"
	"github.com/shallotspool/shallotspool/core/idempotency"
	"github.com/shallotspool/shallotspool/core/wire"
)

// A fence asks the receiver of a send never to run that send if it has not run
// yet, and to tell whether it may have run. These are the times to wait for the
// answer, after which the outcome counts as unknown. A node waits longer for an
// owner, because the owner may in turn wait for the node that runs the call.
const (
	ownerFenceTimeout  = 100 * time.Millisecond
	runnerFenceTimeout = 50 * time.Millisecond
)

// pendingFence is a fence that waits for its answer.
type pendingFence struct {
	call   *call
	send   wire.SendID
	stage  Stage
	target string
	// final is true if the call ends whatever the answer is. reason is the
	// reason with which it ends if no further attempt is made.
	final  bool
	reason Reason
	// lentTokens is the number of tokens that went with the send. They are
	// returned to the call if the send has not run. It is 0 for a fence sent at
	// the deadline, because the tokens are forfeited then.
	lentTokens int
	// deadline is the deadline of the call itself; the call's deadline field
	// holds the timeout of the fence meanwhile.
	deadline time.Duration
}

// canFence reports whether a fence can establish the outcome of a: a is a send,
// its call must not run twice, and its stamp names the run of the receiver to
// which the fence has to go.
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
	case f.stage == StageOwner && n.payRepeatToOwner(c, f):
		c.mayHaveRun = c.mayHaveRun || m.MayHaveRun
		n.sendTo(c, f.target, StageOwner)
	case !m.MayHaveRun && f.final:
		n.failCall(c, f.reason)
	case !m.MayHaveRun:
		n.afterRefusal(c, f.reason)
	default:
		c.mayHaveRun = true
		n.failCall(c, f.reason)
	}
}

// payRepeatToOwner takes the token for sending c to the owner of its key again.
// It returns false if that is not allowed. The owner joins the new send to the
// run in progress or answers it with the stored result.
func (n *Node) payRepeatToOwner(c *call, f *pendingFence) bool {
	return !f.final && n.now < c.deadline && n.canAfford(c, 1) && (!n.cfg.Policy.RetryBudget || c.pool.Spend())
}

// fenceAtDeadline handles a call whose deadline or fence timeout has passed. A
// call whose fence has timed out ends with an unknown outcome. For another call
// it sends a fence if that can establish the outcome, else it returns false.
func (n *Node) fenceAtDeadline(c *call) bool {
	if c.pendingFence != nil {
		n.resolveFence(c.pendingFence)
		c.mayHaveRun = true
		n.failCall(c, ReasonAttemptLost)
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

// fenceDeferralThreshold is the time left until a call's deadline at or below
// which the answer to a received fence waits for the end of the call: that is
// near, and the outcome may be known then.
const fenceDeferralThreshold = 20 * time.Millisecond

// fenceReceived processes another node's fence.
func (n *Node) fenceReceived(from wire.NodeID, m *wire.Fence) {
	if n.injectedFaults().IgnoreFence {
		n.answerFence(from, m.Send, false)
		return
	}
	c := n.callsBySend[m.Send]
	if c == nil {
		// The record of a send whose stamp is no longer fresh may have expired,
		// so such a send counts as possibly run.
		old := !idempotency.IsStampFresh(n.stamp(), m.ReceiverStamp)
		n.answerFence(from, m.Send, old || n.receivedSends.Fence(n.now, m.Send))
		return
	}
	a := c.current
	switch {
	case a != nil && a.queued:
		mayHaveRun := c.mayHaveRun
		n.abandonAttempt(c, balancer.ResultCancelled)
		n.failCall(c, ReasonCancelled)
		n.answerFence(from, m.Send, mayHaveRun)
	case c.pendingFence != nil, a != nil && !a.local && c.deadline-n.now <= fenceDeferralThreshold:
		// finishReceivedSend answers when the call ends. That should be soon,
		// because the call waits for a fence itself or its deadline is near.
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
