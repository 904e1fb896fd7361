package engine

import (
	"slices"

	"github.com/shallotspool/shallotspool/core/balancer"
	"github.com/shallotspool/shallotspool/core/wire"
)

// callerGone cancels a call whose caller is gone, unless it waits for the
// answer to a fence or its result will be stored for a resend of its key.
func (n *Node) callerGone(id CallID) {
	if c := n.calls[id]; c != nil && c.pendingFence == nil && !n.runsWithoutCaller(c) {
		n.cancelCall(c, ReasonCancelled)
		n.processQueue()
	}
}

// cancelCall stops all work on c and ends it for the given reason.
func (n *Node) cancelCall(c *call, reason Reason) {
	result := balancer.ResultCancelled
	if reason == ReasonDeadline {
		result = balancer.ResultTimeout
	}
	n.abandonAttempt(c, result)
	n.failCall(c, reason)
}

// abandonAttempt stops the open attempt of c, if there is one. r is the result
// that it counts as for the target.
func (n *Node) abandonAttempt(c *call, r balancer.Result) {
	a := c.current
	if a == nil {
		return
	}
	if a.queued {
		n.admissionControl.Withdraw(uint64(a.id))
		n.removeAttempt(a)
		return
	}
	c.mayHaveRun = true
	if n.cfg.Policy.Deadlines {
		n.cancelAttempt(a)
	}
	n.endAttempt(a, r, 0)
}

// cancelAttempt tells the runtime, and the receiver of a send, to stop working
// on a.
func (n *Node) cancelAttempt(a *attempt) {
	n.emit(&CancelAttempt{Attempt: a.id})
	peer := n.view.Peer(a.target)
	if a.local || peer == nil {
		return
	}
	to := wire.NodeID{Target: peer.Target, Incarnation: peer.Incarnation}
	n.emit(&SendFrame{To: to, Frame: wire.Frame{Cancel: &wire.Cancel{Send: a.send}}})
}

// cancelChildren cancels the calls that the upstream made during a and that are
// still open, because nobody will use their replies.
func (n *Node) cancelChildren(a *attempt) {
	if !n.cfg.Policy.Deadlines {
		return
	}
	for _, child := range slices.Clone(a.children) {
		n.cancelCall(child, ReasonCancelled)
	}
}
