package engine

import (
	"slices"
	"time"

	"github.com/shallotspool/shallotspool/core/balancer"
	"github.com/shallotspool/shallotspool/core/member"
	"github.com/shallotspool/shallotspool/core/wire"
)

// try makes the first attempt at c on a target of its service.
func (n *Node) try(c *call) {
	if n.tryPoison(c) {
		return
	}
	if !n.payFirst(c) {
		n.refuse(c, ReasonBudget)
		return
	}
	peer := n.pick(c)
	if peer == nil {
		n.refuse(c, n.whyNone(c))
		return
	}
	n.service(c.route.Service).ratio.First()
	n.attemptOn(c, peer)
}

// pick chooses the target of the next attempt at c, nil if none takes it.
func (n *Node) pick(c *call) *member.Peer {
	o := balancer.Options{Exclude: n.excluded(c), SelfLoad: n.load(n.guard.Level()), Now: n.now}
	o.Repeatable = c.route.Idempotent && n.affords(c, n.treeSize(c.route))
	if n.heedsLevels(c) {
		o.Rank = uint16(n.rankOf(c))
	}
	return n.balancer.Pick(c.route.Service, n.view.Service(c.route.Service), o)
}

// heedsLevels tells whether c is kept from targets that publish a level below
// its rank. A call from deeper in a chain carries work already done and asks
// anyway, unless it was refused once.
func (n *Node) heedsLevels(c *call) bool {
	entry := c.parent == nil && c.origin != OriginPeer
	return n.cfg.Policy.Levels && (entry || c.overloads > 0)
}

// whyNone tells why no target takes c: all that work refuse its rank, or none
// works.
func (n *Node) whyNone(c *call) Reason {
	for _, p := range n.view.Service(c.route.Service) {
		if p.Takes() && !slices.Contains(c.tried, p.Target) {
			return ReasonOverload
		}
	}
	return ReasonNoTarget
}

func (n *Node) attemptOn(c *call, peer *member.Peer) {
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
	a.loan = n.lend(c, stage)
	a.heard = n.stampFor(target)
	c.launched = c.launched || stage == StageRun
	n.balancer.Started(n.now, target)
	n.emit(&SendCall{
		Attempt: a.id, Target: target, Request: c.request,
		Wait: n.waitAfterHop(c), Stage: stage, Class: c.class, Priority: c.priority,
		Tokens: a.loan, Depth: c.depth, Send: a.send, Rerun: c.rerun, Heard: a.heard,
	})
}

// hopTime is what a hop to another node takes of the time that remains: the
// answer has to be back before this node's own deadline.
const hopTime = time.Millisecond

// waitAfterHop is the time the next node has for c; 0 tells it nothing.
func (n *Node) waitAfterHop(c *call) time.Duration {
	if !n.cfg.Policy.Deadlines {
		return 0
	}
	return max(c.deadline-n.now-hopTime, time.Nanosecond)
}

// lend takes from c's pool what a send takes along. The owner of a key gets
// everything: it makes the attempts.
func (n *Node) lend(c *call, stage Stage) int {
	if stage == StageOwn {
		return c.pool.LendAll()
	}
	return c.pool.LendFor(n.treeSize(c.route))
}

func (n *Node) newAttempt(c *call, target string, stage Stage) *attempt {
	n.checkRepeat(c, stage)
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
