package engine

import (
	"github.com/shallotspool/shallotspool/core/admission"
	"github.com/shallotspool/shallotspool/core/balancer"
	"github.com/shallotspool/shallotspool/core/budget"
	"github.com/shallotspool/shallotspool/core/wire"
)

// try makes one attempt at c on a target of its service.
func (n *Node) try(c *call) {
	n.checkRepeat(c)
	if n.tryPoison(c) {
		return
	}
	peer := n.balancer.Pick(n.view.Service(c.route.Service), balancer.Options{
		Exclude:    n.excluded(c),
		Rank:       uint16(c.rank()),
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
	a.heard = n.heard[target]
	n.balancer.Started(target)
	n.emit(&SendCall{
		Attempt: a.id, Target: target, Request: c.request,
		Wait: c.deadline - n.now, Stage: stage, Class: c.class,
		Tokens: a.loan, Depth: c.depth, Send: a.send, Heard: a.heard,
	})
}

// runHere runs c on the own upstream, unless it is suspected of crashing it.
func (n *Node) runHere(c *call) {
	if !n.tryPoison(c) {
		n.offerHere(c)
	}
}

// offerHere asks the guard to run c on the own upstream.
func (n *Node) offerHere(c *call) {
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
	n.checkDispatch(a)
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
