package engine

import (
	"time"

	"github.com/shallotspool/shallotspool/core/balancer"
	"github.com/shallotspool/shallotspool/core/owner"
	"github.com/shallotspool/shallotspool/core/wire"
)

// How long a final answer waits for certainty. A node that waits for an owner
// waits longer than the owner waits for the node that runs the call.
const (
	ownFenceWait = 100 * time.Millisecond
	runFenceWait = 50 * time.Millisecond
)

// fence is a question to the receiver of a send whose fate is not known.
type fence struct {
	call   *call
	send   wire.SendID
	stage  Stage
	target string
	// final is true when the call ends whatever the answer is.
	final  bool
	reason Reason
	// loan is the tokens that went with the send; they come back when it has not
	// run.
	loan int
	// deadline is the deadline of the call itself.
	deadline time.Duration
}

// fenceable tells whether it is worth asking what became of a.
func (n *Node) fenceable(a *attempt) bool {
	return n.cfg.Policy.Ownership && !a.local && !a.call.route.Idempotent && a.heard.Incarnation != 0
}

// askFate forbids the receiver of a to run it from now on and asks whether it
// has run. The call waits for the answer, but not for long.
func (n *Node) askFate(a *attempt, final bool, reason Reason) {
	c := a.call
	f := &fence{
		call: c, send: a.send, stage: a.stage, target: a.target,
		final: final, reason: reason, deadline: c.deadline,
	}
	c.fence = f
	n.fences[a.send] = f
	wait := runFenceWait
	if a.stage == StageOwn {
		wait = ownFenceWait
	}
	n.moveDeadline(c, n.now+wait)
	to := wire.NodeID{Target: a.target, Incarnation: a.heard.Incarnation}
	n.emit(&SendFrame{To: to, Frame: wire.Frame{Fence: &wire.Fence{Send: a.send, Heard: a.heard}}})
}

func (n *Node) moveDeadline(c *call, to time.Duration) {
	n.deadlines.remove(c)
	c.deadline = to
	n.deadlines.add(c)
}

// closeFence ends the wait for an answer.
func (n *Node) closeFence(f *fence) {
	delete(n.fences, f.send)
	f.call.fence = nil
	n.moveDeadline(f.call, f.deadline)
}

// dropFence forgets the question about a call that ends before the answer came.
func (n *Node) dropFence(c *call) {
	if c.fence != nil {
		delete(n.fences, c.fence.send)
		c.fence = nil
	}
}

// fenced takes the answer to a fence.
func (n *Node) fenced(m *wire.Fenced) {
	f := n.fences[m.Send]
	if f == nil {
		return
	}
	n.closeFence(f)
	c := f.call
	if m.Ran {
		c.pool.Return(f.loan, 0)
	} else {
		c.pool.Return(f.loan, f.loan)
	}
	switch {
	case f.stage == StageOwn && n.asksOwnerAgain(c, f):
		c.mayHaveRun = c.mayHaveRun || m.Ran
		n.sendTo(c, f.target, StageOwn)
	case !m.Ran && f.final:
		n.refuse(c, f.reason)
	case !m.Ran:
		n.afterRefusal(c, f.reason)
	default:
		c.mayHaveRun = true
		n.refuse(c, f.reason)
	}
}

// asksOwnerAgain takes what another send to the owner costs. The owner joins it
// to the run in progress or answers it with the held result.
func (n *Node) asksOwnerAgain(c *call, f *fence) bool {
	return !f.final && n.now < c.deadline && n.affords(c, 1) && (!n.cfg.Policy.Budget || c.pool.Spend())
}

// fenceAtDeadline gives a call whose deadline has come a last chance to learn
// whether it ran. It reports whether the call is settled or waits for that.
func (n *Node) fenceAtDeadline(c *call) bool {
	if c.fence != nil {
		n.closeFence(c.fence)
		c.mayHaveRun = true
		n.refuse(c, ReasonAttemptLost)
		return true
	}
	a := c.current
	if a == nil || !n.fenceable(a) {
		return false
	}
	before := c.mayHaveRun
	n.abandon(c, balancer.ResultTimeout)
	c.mayHaveRun = before
	n.askFate(a, true, ReasonDeadline)
	return true
}

// soon is how near its deadline a call must be for a fence to wait for its end.
const soon = 20 * time.Millisecond

// fenceAsked answers another node's fence.
func (n *Node) fenceAsked(from wire.NodeID, m *wire.Fence) {
	if n.faults().IgnoreFence {
		n.answerFence(from, m.Send, false)
		return
	}
	c := n.sends[m.Send]
	if c == nil {
		// What an older send did may be forgotten by now.
		old := !owner.Fresh(n.stamp(), m.Heard)
		n.answerFence(from, m.Send, old || n.receipts.Fence(n.now, m.Send))
		return
	}
	a := c.current
	switch {
	case a != nil && a.waiting:
		ran := c.mayHaveRun
		n.abandon(c, balancer.ResultCancelled)
		n.refuse(c, ReasonCancelled)
		n.answerFence(from, m.Send, ran)
	case c.fence != nil, a != nil && !a.local && c.deadline-n.now <= soon:
		c.fencedBy = from
	default:
		n.answerFence(from, m.Send, true)
	}
}

func (n *Node) answerFence(to wire.NodeID, send wire.SendID, ran bool) {
	n.emit(&SendFrame{To: to, Frame: wire.Frame{Fenced: &wire.Fenced{Send: send, Ran: ran}}})
}

// settleSend records how the work on another node's send ended and answers the
// fence that waited for it.
func (n *Node) settleSend(c *call, reply Reply) {
	if c.origin != OriginPeer || !n.cfg.Policy.Ownership {
		return
	}
	n.receipts.Finish(n.now, c.send, ranOf(reply))
	if c.fencedBy.Incarnation != 0 {
		n.answerFence(c.fencedBy, c.send, ranOf(reply))
	}
}
