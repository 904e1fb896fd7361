package engine

import (
	"slices"
	"time"

	"github.com/shallotspool/shallotspool/core/admission"
	"github.com/shallotspool/shallotspool/core/balancer"
	"github.com/shallotspool/shallotspool/core/budget"
	"github.com/shallotspool/shallotspool/core/member"
	"github.com/shallotspool/shallotspool/core/wire"
)

// try makes the first attempt at c on a target of its service.
func (n *Node) try(c *call) {
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
	o := balancer.Options{Exclude: n.excluded(c), SelfLoad: n.Load(), Now: n.now}
	o.Repeatable = c.route.Idempotent && n.affords(c, n.treeSize(c.route))
	if n.cfg.Policy.Levels {
		o.Rank = uint16(c.rank())
	}
	return n.balancer.Pick(c.route.Service, n.view.Service(c.route.Service), o)
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
	c.launched = c.launched || stage == StageRun
	n.balancer.Started(n.now, target)
	n.emit(&SendCall{
		Attempt: a.id, Target: target, Request: c.request,
		Wait: n.waitAfterHop(c), Stage: stage, Class: c.class,
		Tokens: a.loan, Depth: c.depth, Send: a.send, Rerun: c.rerun,
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

// runHere asks the guard to run c on the own upstream.
func (n *Node) runHere(c *call) {
	a := n.newAttempt(c, n.cfg.Self.Target, StageRun)
	a.local = true
	switch n.guard.Offer(n.now, n.itemOf(a)) {
	case admission.Run:
		n.dispatch(a)
	case admission.Wait:
		a.waiting = true
	default:
		n.closeAttempt(a)
		n.afterRefusal(c, ReasonOverload)
	}
}

func (n *Node) itemOf(a *attempt) admission.Item {
	return admission.Item{
		ID: uint64(a.id), Rank: a.call.rank(),
		Arrived: a.call.arrived, Deadline: a.call.deadline,
	}
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

// dispatch hands a to the own upstream.
func (n *Node) dispatch(a *attempt) {
	c := a.call
	a.waiting = false
	a.started = n.now
	a.pool = budget.NewPool(c.pool.LendAll())
	a.loan = a.pool.Free()
	n.emit(&Measurement{Metric: MetricQueueTime, Class: c.class, Value: n.now - c.arrived})
	n.emit(&Dispatch{Attempt: a.id, Request: c.request, Wait: c.deadline - n.now, Class: c.class})
}

// drainQueue runs and refuses what the guard says of the waiting attempts.
func (n *Node) drainQueue() {
	for {
		item, decision, ok := n.guard.Next(n.now)
		if !ok {
			return
		}
		a := n.attempts[AttemptID(item.ID)]
		if decision == admission.Run {
			n.dispatch(a)
			continue
		}
		n.closeAttempt(a)
		n.afterRefusal(a.call, ReasonDeadline)
	}
}
