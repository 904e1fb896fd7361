package mesh

import "time"

const (
	// noTableRetryAfter is the delay after which a caller may retry at a node without
	// a routing table. A node reads its table within a second of its start.
	noTableRetryAfter = 500 * time.Millisecond
	// minRetryAfter is the minimum delay after which a refused caller may retry.
	minRetryAfter = 200 * time.Millisecond
	// firstServerError is the lowest HTTP status that reports a failure of the
	// upstream.
	firstServerError = 500
)

// The statuses that promise callers that a request has not run; see promisesNotRun.
const (
	requestTimeout     = 408
	misdirectedRequest = 421
	tooManyRequests    = 429
	serviceUnavailable = 503
)

// firstErrorStatus is the lowest HTTP status that does not count as success.
const firstErrorStatus = 400

// EndAttempt records the outcome of the open attempt of c and returns the next step.
func (n *Node) EndAttempt(now time.Duration, c *Call, o Outcome) Step {
	return c.recordIfFinal(n.nextStep(now, c, o), o.Kind == OutcomeAnswered && o.Status < firstErrorStatus)
}

// nextStep closes the open attempt of c and chooses the next step from its outcome.
func (n *Node) nextStep(now time.Duration, c *Call, o Outcome) Step {
	n.finishAttempt(now, c, o)
	if o.ReachedUpstream {
		c.reachedUpstreams++
	}
	c.mayHaveRun = c.mayHaveRun || o.Kind != OutcomeNotRun
	if o.Reason == ReasonCrashed {
		n.recordCrashAt(now, c.LastTried(), c)
	}
	switch {
	case o.Kind == OutcomeAnswered && !n.isServerError(o):
		return c.deliver(o)
	case o.Reason == ReasonCrasher, n.blocked(now, c.fingerprint):
		o.Reason = ReasonCrasher
		return n.finalStep(c, o)
	case o.Kind == OutcomeNotRun:
		return n.afterNotRun(now, c, o)
	case c.Route.Idempotent && n.claimRetry(now, c):
		return n.resend(now, c, o)
	}
	return n.finalStep(c, o)
}

// isServerError reports whether an answer is a failure of the upstream, so that
// another upstream may succeed.
func (n *Node) isServerError(o Outcome) bool { return o.Status >= firstServerError }

// finishAttempt closes the open attempt of c and updates the load, the registry and
// the outlier detection from its outcome.
func (n *Node) finishAttempt(now time.Duration, c *Call, o Outcome) {
	a := c.attempt
	c.attempt = nil
	if a == nil {
		return
	}
	a.peer.inFlight--
	a.peer.recordNotice(now, a.upstream.ID, o)
	if o.Notice.Leaving && n.registry.MarkLeaving(a.upstream.ID, a.upstream.Born) {
		n.recordEvent(Event{Kind: EventUpstreamLeaving, Instance: a.upstream.Instance})
	}
	if o.LoadKnown {
		a.peer.recordLoad(now, o.Load)
	}
	if o.Reason == ReasonMoved {
		n.registry.RemoveMoved(now, a.upstream.ID)
		n.RegistryChanged()
	}
	g := &n.outlierGroup(c.Service).targets
	// The argument Ejected() is evaluated here, before the outcome is recorded.
	defer n.recordEjection(now, a.peer, a.peer.outlier.Ejected(), o.Reason)
	switch {
	case o.Kind == OutcomeAnswered && o.Status < firstServerError, o.Reason == ReasonBusy:
		a.peer.outlier.RecordSuccess(now, g)
	// These outcomes say nothing about the node. Failures of its upstream count in the
	// fault share instead.
	case o.Reason == ReasonDeadline && !o.NodeSilent || o.Reason == ReasonMoved || o.Reason == ReasonShed ||
		o.Reason == ReasonLeaving || o.Reason == ReasonCrasher || o.Kind == OutcomeAnswered:
		a.peer.outlier.RecordInconclusive()
	default:
		a.peer.outlier.RecordFailure(now, g)
	}
}

// afterNotRun returns the next step of a call whose attempt certainly did not run. A call
// that two nodes refused as busy is not sent again. An attempt that did not reach the
// upstream may be repeated without a charge to the retry budget.
func (n *Node) afterNotRun(now time.Duration, c *Call, o Outcome) Step {
	if o.Reason == ReasonBusy {
		c.busyNodes++
	}
	maySend := len(c.tried) < maxSends && now < c.Deadline && c.busyNodes < 2 && o.Reason != ReasonDeadline && n.mayFinish(now, c)
	if maySend && (!o.ReachedUpstream || n.claimRetry(now, c)) {
		if s := n.sendNext(now, c); s.Kind == StepSend {
			return s
		}
	}
	return n.finalStep(c, o)
}

// claimRetry reports whether c may be sent to another upstream and, if so, charges the
// retry to the budget.
func (n *Node) claimRetry(now time.Duration, c *Call) bool {
	if c.reachedUpstreams >= c.Route.MaxAttempts || len(c.tried) >= maxSends || c.Deadline-now < n.minTimeLeft(c) || !n.mayFinish(now, c) {
		return false
	}
	if !n.chargeRetry(now, c) {
		return false
	}
	c.Rank.IsRetry = true
	return true
}

// minTimeLeft returns the time before the deadline that is required to start another
// run of c at the upstream that takes the least.
func (n *Node) minTimeLeft(c *Call) time.Duration {
	return time.Duration(minRunShare * float64(n.leastRunTime(c.RouteID, c.Service)))
}

// resend sends c to another upstream, or ends it with outcome o if there is none.
func (n *Node) resend(now time.Duration, c *Call, o Outcome) Step {
	if s := n.sendNext(now, c); s.Kind == StepSend {
		return s
	}
	return n.finalStep(c, o)
}

// finalStep returns the last step of c, as determined by the outcome of its last
// attempt.
func (n *Node) finalStep(c *Call, o Outcome) Step {
	switch {
	case o.Kind == OutcomeAnswered:
		return c.deliver(o)
	case o.Kind == OutcomeNotRun && !c.mayHaveRun:
		return n.refuse(c, o.Reason)
	}
	return Step{Kind: StepFail, Reason: o.Reason}
}

// deliver returns the step for an answer of the upstream, which has run c. The caller of a
// request that must not be repeated does not get a status by which it would send it again.
func (c *Call) deliver(o Outcome) Step {
	if !c.Route.Idempotent && promisesNotRun(o.Status) {
		return Step{Kind: StepFail, Reason: ReasonAmbiguousStatus}
	}
	return Step{Kind: StepDeliver}
}

// promisesNotRun reports whether callers take a request with this status for one that has not
// run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case requestTimeout, misdirectedRequest, tooManyRequests, serviceUnavailable:
		return true
	}
	return false
}

func (n *Node) refuse(c *Call, reason Reason) Step {
	return Step{Kind: StepRefuse, Reason: reason, RetryAfter: n.retryAfter(c)}
}

// retryAfter returns a random delay after which a refused caller may retry. It spreads
// retries between minRetryAfter and half of the route's latency goal, so that they can
// still be served in time, or up to twice minRetryAfter if the goal is too short.
func (n *Node) retryAfter(c *Call) time.Duration {
	spread := max(c.Route.Goal/2-minRetryAfter, minRetryAfter)
	return minRetryAfter + time.Duration(n.random.Int64N(int64(spread)))
}

// AbandonCall closes the open attempt of a call whose sender no longer waits.
func (n *Node) AbandonCall(now time.Duration, c *Call) {
	n.finishAttempt(now, c, Outcome{Kind: OutcomeUnknown, Reason: ReasonDeadline})
	c.recordIfFinal(Step{}, false)
}
