package engine

import (
	"github.com/shallotspool/shallotspool/core/admission"
	"github.com/shallotspool/shallotspool/core/budget"
)

// guardConfig returns the guard's settings with the policy's switches.
func (cfg Config) guardConfig() admission.Config {
	c := cfg.Admission
	c.Adaptive = cfg.Policy.Adaptive
	c.Ranked = cfg.Policy.Classes
	c.Timed = cfg.Policy.Deadlines
	return c
}

// rankOf returns the admission rank of c. Without classes only the priority
// counts.
func (n *Node) rankOf(c *call) admission.Rank {
	if !n.cfg.Policy.Classes {
		return admission.RankOf(0, c.priority)
	}
	return admission.RankOf(uint8(c.class), c.priority)
}

// classes returns the number of classes that ranks tell apart.
func (n *Node) classes() int {
	if !n.cfg.Policy.Classes {
		return 1
	}
	return len(n.doc.Classes)
}

// drawPriority draws the priority within its class of a call that enters here.
func (n *Node) drawPriority() uint16 { return uint16(n.random.IntN(admission.Priorities)) }

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
	c := a.call
	return admission.Item{ID: uint64(a.id), Rank: n.rankOf(c), Depth: c.depth, Deadline: c.deadline}
}

// dispatch hands a to the own upstream.
func (n *Node) dispatch(a *attempt) {
	c := a.call
	n.checkDispatch(a)
	a.waiting = false
	a.started = n.now
	n.levels.tell(n.now, levelKey{n.cfg.Self.Target, c.route.Name}, n.guard.Level())
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
		n.afterRefusal(a.call, ReasonOverload)
	}
}
