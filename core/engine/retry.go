package engine

import (
	"time"

	"github.com/shallotspool/shallotspool/core/budget"
)

// maxOverloadRefusals is the number of overload refusals of one call after
// which its service as a whole is considered overloaded and the call is not
// retried.
const maxOverloadRefusals = 2

// maxServiceStates is the maximum number of services that a node keeps state
// for; the states of all are dropped when it is reached.
const maxServiceStates = 4096

// serviceState is what a node measures for a service that it sends calls to.
type serviceState struct {
	retryLimiter *budget.RetryLimiter
	// latency is the moving average of the time to a complete reply, 0 until
	// there was one.
	latency time.Duration
}

// latencyWeight is the weight of a new sample in the moving average of the
// latency.
const latencyWeight = 0.05

// recordLatency adds a sample to the moving average.
func (s *serviceState) recordLatency(d time.Duration) {
	if s.latency == 0 {
		s.latency = d
		return
	}
	s.latency += time.Duration(latencyWeight * float64(d-s.latency))
}

// stateOfService returns the state of the named service and creates it if
// needed.
func (n *Node) stateOfService(name string) *serviceState {
	s := n.serviceStates[name]
	if s == nil {
		if len(n.serviceStates) >= maxServiceStates {
			clear(n.serviceStates)
		}
		s = &serviceState{retryLimiter: budget.NewRetryLimiter(budget.DefaultRetryLimits, n.now)}
		n.serviceStates[name] = s
	}
	return s
}

// firstAttemptCost returns the tokens that the first attempt at c needs: those
// for the whole call tree if c may have run before, one if only the attempt at
// c itself counts as a retry, and none otherwise.
func (n *Node) firstAttemptCost(c *call) int {
	switch {
	case c.rerun:
		return n.treeSize(c.route)
	case c.firstAttemptIsRetry:
		return 1
	}
	return 0
}

// payFirstAttemptIfRetry takes the token for the first attempt at c if that
// counts as a retry; other first attempts are free. It returns false if c has
// fewer tokens than firstAttemptCost.
func (n *Node) payFirstAttemptIfRetry(c *call) bool {
	if !n.cfg.Policy.RetryBudget || !c.firstAttemptIsRetry {
		return true
	}
	return c.pool.Available() >= n.firstAttemptCost(c) && c.pool.Spend()
}

// retry makes a further attempt at c on another target if that is allowed; it
// reports whether it did. cost is the number of tokens that must be available
// to repeat the call, including the calls below it.
func (n *Node) retry(c *call, cost int) bool {
	if !n.mayRetry(c) || !n.canAfford(c, cost) {
		return false
	}
	if n.retrySuspect(c) {
		return true
	}
	peer := n.pickTarget(c)
	if peer == nil || !n.takeRetry(c) {
		return false
	}
	if n.cfg.Policy.RetryBudget {
		c.pool.Spend()
	}
	n.attemptAt(c, peer)
	return true
}

// mayRetry reports whether this node is responsible for retrying c and whether
// a retry can still succeed. Under Policy.RetryRatio, that requires that the
// service is not overloaded as a whole and that its latency fits in the time
// left.
func (n *Node) mayRetry(c *call) bool {
	if c.stage == StageRun || n.needsOwner(c) || n.now >= c.deadline {
		return false
	}
	if !n.cfg.Policy.RetryRatio {
		return true
	}
	return c.overloadRefusals < maxOverloadRefusals && c.deadline-n.now >= n.stateOfService(c.route.Service).latency
}

// retryableAfterLoss reports whether c may be retried although it may have run.
func (n *Node) retryableAfterLoss(c *call) bool {
	return c.route.RetryOnLost || !n.cfg.Policy.KeyOwnership || n.injectedFaults().RetryLost
}

// needsOwner reports whether c may run only with the permission of the owner of
// its key, which this node has not obtained.
func (n *Node) needsOwner(c *call) bool {
	child := c.origin == OriginUpstream && c.parent != nil
	return !c.route.Idempotent && n.cfg.Policy.KeyOwnership && !c.holdsKey && !child
}

// canAfford reports whether c has the tokens for an attempt of the given cost.
// Without retry budgets, it limits the number of attempts instead.
func (n *Node) canAfford(c *call, cost int) bool {
	if n.injectedFaults().FreeRetries {
		return true
	}
	if n.cfg.Policy.RetryBudget {
		return c.pool.Available() >= cost
	}
	return len(c.tried) < n.cfg.Policy.MaxAttemptsPerHop
}

// takeRetry reports whether the retry ratio of c's service allows a retry, and
// counts the retry.
func (n *Node) takeRetry(c *call) bool {
	return !n.cfg.Policy.RetryRatio || n.stateOfService(c.route.Service).retryLimiter.TakeRetry(n.now)
}
