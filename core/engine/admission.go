package engine

import (
	"github.com/shallotspool/shallotspool/core/admission"
	"github.com/shallotspool/shallotspool/core/budget"
)

// admissionConfig returns the admission settings with the mechanisms that the
// policy enables.
func (cfg Config) admissionConfig() admission.Config {
	c := cfg.Admission
	c.AdaptiveLimit = cfg.Policy.AdaptiveLimit
	c.OrderByRank = cfg.Policy.ClassPriorities
	c.LimitQueueTime = cfg.Policy.Deadlines
	return c
}

// rankOf returns the admission rank of c. If the policy disables classes, only
// the priority counts.
func (n *Node) rankOf(c *call) admission.Rank {
	if !n.cfg.Policy.ClassPriorities {
		return admission.RankOf(0, c.priority)
	}
	return admission.RankOf(uint8(c.class), c.priority)
}

// classCount returns the number of classes that ranks distinguish.
func (n *Node) classCount() int {
	if !n.cfg.Policy.ClassPriorities {
		return 1
	}
	return len(n.doc.Classes)
}

// drawPriority draws the priority, within its class, of a call that enters
// here.
func (n *Node) drawPriority() uint16 { return uint16(n.priorityRandom.IntN(admission.Priorities)) }

// runHere runs c on this node's upstream. If its request is suspected of
// crashing upstreams, it is handled as a suspect instead.
func (n *Node) runHere(c *call) {
	if !n.divertIfSuspect(c) {
		n.offerToAdmission(c)
	}
}

// offerToAdmission starts a local attempt at c and asks admission control to
// run, queue or refuse it.
func (n *Node) offerToAdmission(c *call) {
	a := n.newAttempt(c, n.cfg.Self.Target, StageRun)
	a.local = true
	switch n.admissionControl.Offer(n.now, n.admissionRequest(a)) {
	case admission.Admit:
		n.dispatch(a)
	case admission.Enqueue:
		a.queued = true
	default:
		n.removeAttempt(a)
		n.afterRefusal(c, ReasonOverload)
	}
}

func (n *Node) admissionRequest(a *attempt) admission.Request {
	c := a.call
	return admission.Request{ID: uint64(a.id), Rank: n.rankOf(c), Depth: c.depth, Deadline: c.deadline}
}

// dispatch sends a to this node's upstream.
func (n *Node) dispatch(a *attempt) {
	c := a.call
	n.checkDispatch(a)
	a.queued = false
	a.started = n.now
	n.admissionLevels.record(n.now, levelKey{n.cfg.Self.Target, c.route.Name}, n.admissionControl.Level())
	a.pool = budget.NewPool(c.pool.LendAll())
	a.lentTokens = a.pool.Available()
	n.emit(&Measurement{Metric: MetricQueueTime, Class: c.class, Value: n.now - c.arrived})
	n.emit(&Dispatch{Attempt: a.id, Request: c.request, Timeout: c.deadline - n.now, Class: c.class})
}

// processQueue dispatches or refuses queued attempts until admission control
// has no further decisions.
func (n *Node) processQueue() {
	for {
		req, decision, ok := n.admissionControl.NextDecision(n.now)
		if !ok {
			return
		}
		a := n.attempts[AttemptID(req.ID)]
		if decision == admission.Admit {
			n.dispatch(a)
			continue
		}
		n.removeAttempt(a)
		n.afterRefusal(a.call, ReasonOverload)
	}
}
