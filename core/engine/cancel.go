package engine

import (
	"slices"

	"github.com/shallotspool/shallotspool/core/balancer"
	"github.com/shallotspool/shallotspool/core/wire"
)

func (n *Node) callerGone(id CallID) {
	if c := n.calls[id]; c != nil && c.fence == nil && !n.keepsRunning(c) {
		n.giveUp(c, ReasonCancelled)
		n.drainQueue()
	}
}

// giveUp ends c and everything that was begun for it.
func (n *Node) giveUp(c *call, reason Reason) {
	result := balancer.ResultCancelled
	if reason == ReasonDeadline {
		result = balancer.ResultTimeout
	}
	n.abandon(c, result)
	n.refuse(c, reason)
}

// abandon stops the open attempt of c, if any.
func (n *Node) abandon(c *call, r balancer.Result) {
	a := c.current
	if a == nil {
		return
	}
	if a.waiting {
		n.guard.Withdraw(uint64(a.id))
		n.closeAttempt(a)
		return
	}
	c.mayHaveRun = true
	if n.cfg.Policy.Deadlines {
		n.cancel(a)
	}
	n.endAttempt(a, r, 0)
}

// cancel tells whoever works on a that nobody waits for it any more.
func (n *Node) cancel(a *attempt) {
	n.emit(&CancelAttempt{Attempt: a.id})
	peer := n.view.Peer(a.target)
	if a.local || peer == nil {
		return
	}
	to := wire.NodeID{Target: peer.Target, Incarnation: peer.Incarnation}
	n.emit(&SendFrame{To: to, Frame: wire.Frame{Cancel: &wire.Cancel{Send: a.send}}})
}

// cancelChildren ends the calls that the own upstream still has open on behalf
// of a: their answers are of no use to it.
func (n *Node) cancelChildren(a *attempt) {
	if !n.cfg.Policy.Deadlines {
		return
	}
	for _, child := range slices.Clone(a.children) {
		n.giveUp(child, ReasonCancelled)
	}
}
