package engine

import (
	"github.com/shallotspool/shallotspool/core/balancer"
	"github.com/shallotspool/shallotspool/core/wire"
)

// try makes one attempt at c on a target of its service.
func (n *Node) try(c *call) {
	peer := n.balancer.Pick(n.view.Service(c.route.Service), balancer.Options{
		Exclude:    n.excluded(c),
		Rank:       uint16(n.rankOf(c)),
		DataCentre: n.cfg.DataCentre,
		Now:        n.now,
	})
	if peer == nil {
		n.refuse(c, ReasonNoTarget)
		return
	}
	if peer.Target == n.cfg.Self.Target {
		n.runHere(c)
		return
	}
	n.sendTo(c, peer.Target, StageRun)
}

// excluded returns the targets that c is not tried on again.
func (n *Node) excluded(c *call) []string {
	if !n.cfg.Policy.Budget && len(c.tried) >= len(n.view.Service(c.route.Service)) {
		return nil
	}
	return c.tried
}

// sendTo sends c to another node.
func (n *Node) sendTo(c *call, target string, stage Stage) {
	n.nextSend++
	a := n.newAttempt(c, target, stage)
	a.send = wire.SendID{Node: n.cfg.Self, Sequence: n.nextSend}
	a.loan = c.pool.LendAll()
	n.balancer.Started(target)
	n.emit(&SendCall{
		Attempt: a.id, Target: target, Request: c.request,
		Wait: c.deadline - n.now, Stage: stage, Class: c.class, Priority: c.priority,
		Tokens: a.loan, Depth: c.depth, Send: a.send,
	})
}

func (n *Node) newAttempt(c *call, target string, stage Stage) *attempt {
	n.nextID++
	a := &attempt{id: n.nextID, call: c, target: target, stage: stage, started: n.now}
	n.attempts[a.id] = a
	c.current = a
	c.tried = append(c.tried, target)
	return a
}

// closeAttempt forgets a; its call goes on.
func (n *Node) closeAttempt(a *attempt) {
	delete(n.attempts, a.id)
	if a.call.current == a {
		a.call.current = nil
	}
}
