package mesh

import "time"

const (
	// retryNoTable is when a caller of a node without a table should come back:
	// a node reads its table within a second of its start.
	retryNoTable = 500 * time.Millisecond
	// retryFirst is the least time after which a refused caller should come back.
	retryFirst = 200 * time.Millisecond
	// serverError is the first status of an upstream's own failures.
	serverError = 500
)

// firstFailure is the lowest status of answers that are no success.
const firstFailure = 400

// Ended takes the end of c's open attempt and returns what to do next.
func (n *Node) Ended(now time.Duration, c *Call, o Outcome) Step {
	return c.conclude(n.next(now, c, o), o.Kind == Answered && o.Status < firstFailure)
}

func (n *Node) next(now time.Duration, c *Call, o Outcome) Step {
	n.settle(now, c, o)
	if o.Reached {
		c.reached++
	}
	c.mayHaveRun = c.mayHaveRun || o.Kind != NotRun
	switch {
	case o.Kind == Answered && !n.failedAnswer(o):
		return Step{Kind: StepDeliver}
	case n.crasher(now, c.print):
		return Step{Kind: StepFail, Reason: ReasonCrasher}
	case o.Kind == NotRun:
		return n.afterNotRun(now, c, o)
	case c.Route.Idempotent && n.mayRepeat(now, c):
		return n.again(now, c, o)
	}
	return n.final(c, o)
}

// failedAnswer tells an upstream's own failure, after which another may do
// better.
func (n *Node) failedAnswer(o Outcome) bool { return o.Status >= serverError }

// settle frees what the attempt held and learns from its end.
func (n *Node) settle(now time.Duration, c *Call, o Outcome) {
	a := c.attempt
	c.attempt = nil
	if a == nil {
		return
	}
	a.peer.inFlight--
	if o.Known {
		a.peer.hear(now, o.Load)
	}
	if o.Reason == ReasonMoved {
		n.registry.Moved(a.upstream.ID)
		n.Registered()
	}
	g := &n.group(c.Service).outliers
	defer n.noteEjection(now, a.peer, a.peer.outlier.Ejected(), o.Reason)
	switch {
	case o.Reason == ReasonLeaving:
		a.peer.leavingTill = now + leavingTime
		a.peer.outlier.Unsure()
	case o.Kind == Answered && o.Status < serverError, o.Reason == ReasonBusy:
		a.peer.outlier.Succeeded(now, g)
	case o.Reason == ReasonDeadline && !o.Silent || o.Reason == ReasonMoved || o.Reason == ReasonShed || o.Kind == Answered:
		a.peer.outlier.Unsure()
	default:
		a.peer.outlier.Failed(now, g)
	}
}

// afterNotRun goes on with a call whose attempt certainly did not run.
func (n *Node) afterNotRun(now time.Duration, c *Call, o Outcome) Step {
	if o.Reason == ReasonBusy {
		c.refusedBy++
	}
	again := len(c.tried) < maxSends && now < c.Deadline && c.refusedBy < 2 && o.Reason != ReasonDeadline
	if again && (!o.Reached || n.mayRepeat(now, c)) {
		if s := n.send(now, c); s.Kind == StepSend {
			return s
		}
	}
	return n.final(c, o)
}

// mayRepeat tells whether c may reach a further upstream, and takes that from
// the budget.
func (n *Node) mayRepeat(now time.Duration, c *Call) bool {
	if c.reached >= c.Route.MaxAttempts || len(c.tried) >= maxSends || c.Deadline-now < n.leastLeft(c) {
		return false
	}
	if !n.takeRepeat(now, c) {
		return false
	}
	c.Rank.Rerun = true
	return true
}

// leastLeft is the time that a run of c has to have left to be worth beginning.
func (n *Node) leastLeft(c *Call) time.Duration {
	return time.Duration(needShare * float64(n.meanRun(c.RouteID, c.Service)))
}

func (n *Node) again(now time.Duration, c *Call, o Outcome) Step {
	if s := n.send(now, c); s.Kind == StepSend {
		return s
	}
	return n.final(c, o)
}

// final ends c with what its last attempt came to.
func (n *Node) final(c *Call, o Outcome) Step {
	switch {
	case o.Kind == Answered:
		return Step{Kind: StepDeliver}
	case o.Kind == NotRun && !c.mayHaveRun:
		return n.refuse(c, o.Reason)
	}
	return Step{Kind: StepFail, Reason: o.Reason}
}

func (n *Node) refuse(c *Call, reason Reason) Step {
	return Step{Kind: StepRefuse, Reason: reason, RetryAfter: n.retryAfter(c)}
}

// retryAfter spreads the return of refused callers over half of the route's
// latency goal, so that those who return can still be served in time.
func (n *Node) retryAfter(c *Call) time.Duration {
	spread := max(c.Route.Goal/2-retryFirst, retryFirst)
	return retryFirst + time.Duration(n.random.Int64N(int64(spread)))
}

// Abandon ends the open attempt of a call that nobody waits for any more.
func (n *Node) Abandon(now time.Duration, c *Call) {
	n.settle(now, c, Outcome{Kind: Unknown, Reason: ReasonDeadline})
	c.conclude(Step{}, false)
}
