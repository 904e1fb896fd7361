package engine

import (
	"time"

	"github.com/shallotspool/shallotspool/core/budget"
)

// maxOverloadRefusals is the number of targets that may refuse a call for
// overload before its service counts as overloaded as a whole.
const maxOverloadRefusals = 2

// maxServices bounds the services a node keeps the caller's side of.
const maxServices = 4096

// serviceState is what a node knows of a service that it sends calls to.
type serviceState struct {
	ratio *budget.Ratio
	// latency is the smoothed time of a whole answer, 0 until there was one.
	latency time.Duration
}

// latencyWeight is the weight of one answer in the smoothed latency.
const latencyWeight = 0.05

func (s *serviceState) answered(d time.Duration) {
	if s.latency == 0 {
		s.latency = d
		return
	}
	s.latency += time.Duration(latencyWeight * float64(d-s.latency))
}

// service returns the state of the named service.
func (n *Node) service(name string) *serviceState {
	s := n.services[name]
	if s == nil {
		if len(n.services) >= maxServices {
			clear(n.services)
		}
		s = &serviceState{ratio: budget.NewRatio(budget.DefaultRatio, n.now)}
		n.services[name] = s
	}
	return s
}

// firstCost is what the first attempt at c and the calls below it cost: nothing,
// unless they are repeats.
func (n *Node) firstCost(c *call) int {
	switch {
	case c.rerun:
		return n.treeSize(c.route)
	case c.again:
		return 1
	}
	return 0
}

// payFirst takes what the first attempt at c itself costs, and reports whether
// c has what its whole tree needs.
func (n *Node) payFirst(c *call) bool {
	if !n.cfg.Policy.Budget || !c.again {
		return true
	}
	return c.pool.Free() >= n.firstCost(c) && c.pool.Spend()
}

// retry makes a further attempt at c on another target, if one may be made, and
// reports whether it did. cost is what a whole repeat would cost in tokens.
func (n *Node) retry(c *call, cost int) bool {
	if !n.mayRetry(c) || !n.affords(c, cost) {
		return false
	}
	if n.retryPoison(c) {
		return true
	}
	peer := n.pick(c)
	if peer == nil || !n.withinRatio(c) {
		return false
	}
	if n.cfg.Policy.Budget {
		c.pool.Spend()
	}
	n.attemptOn(c, peer)
	return true
}

// mayRetry tells whether this node is the one to try c again, and whether that
// can still be of use.
func (n *Node) mayRetry(c *call) bool {
	if c.stage == StageRun || n.mustOwn(c) || n.now >= c.deadline {
		return false
	}
	if !n.cfg.Policy.RetryRatio {
		return true
	}
	return c.overloads < maxOverloadRefusals && c.deadline-n.now >= n.service(c.route.Service).latency
}

// repeatable tells whether c may be tried again although it may have run.
func (n *Node) repeatable(c *call) bool {
	return c.route.RetryLost || !n.cfg.Policy.Ownership || n.faults().RetryLost
}

// mustOwn tells whether c belongs to the owner of its key, which has not let it
// run here.
func (n *Node) mustOwn(c *call) bool {
	child := c.origin == OriginUpstream && c.parent != nil
	return !c.route.Idempotent && n.cfg.Policy.Ownership && !c.owned && !child
}

// affords tells whether c has what an attempt of the given cost takes.
func (n *Node) affords(c *call, cost int) bool {
	if n.faults().FreeRetries {
		return true
	}
	if n.cfg.Policy.Budget {
		return c.pool.Free() >= cost
	}
	return len(c.tried) < n.cfg.Policy.HopAttempts
}

func (n *Node) withinRatio(c *call) bool {
	return !n.cfg.Policy.RetryRatio || n.service(c.route.Service).ratio.Retry(n.now)
}
