package engine

import (
	"time"

	"github.com/shallotspool/shallotspool/core/admission"
	"github.com/shallotspool/shallotspool/core/balancer"
)

// answered takes the whole answer of an attempt.
func (n *Node) answered(ev *AttemptAnswered) {
	a := n.attempts[ev.Attempt]
	if a == nil {
		return
	}
	c := a.call
	reply := ev.Reply
	if n.faults().SwapAnswers {
		a = n.wrongAttempt(a)
		c = a.call
	}
	n.checkAnswer(a, reply)
	n.endAttempt(a, resultOf(reply.Outcome), reply.Tokens)
	n.hear(a.target, reply.Stamp)
	n.learnCrash(a, reply)
	switch {
	case reply.Outcome == OutcomeNotRun && n.restamp(c, a, reply):
	case a.stage == StageOwn:
		n.answeredByOwner(c, reply)
	default:
		n.afterAnswer(c, reply)
	}
	n.drainQueue()
}

func (n *Node) afterAnswer(c *call, reply Reply) {
	switch reply.Outcome {
	case OutcomeNotRun:
		n.afterRefusal(c, reply.Reason)
	case OutcomeUnknown:
		c.mayHaveRun = true
		n.afterLoss(c)
	case OutcomeUpstreamError:
		n.afterError(c, reply)
	default:
		n.end(c, reply)
		if n.faults().AnswerTwice {
			n.end(c, reply)
		}
	}
}

func resultOf(o Outcome) balancer.Result {
	switch o {
	case OutcomeAnswered, OutcomeUpstreamError, OutcomeBadRequest:
		return balancer.ResultOK
	case OutcomeNotRun:
		return balancer.ResultRefused
	default:
		return balancer.ResultFailed
	}
}

// failed takes the end of an attempt that got no whole answer.
func (n *Node) failed(ev *AttemptFailed) {
	a := n.attempts[ev.Attempt]
	if a == nil {
		return
	}
	c := a.call
	left := 0
	if ev.Cause == FailureNotSent {
		left = a.loan
	}
	n.endAttempt(a, balancer.ResultFailed, left)
	switch {
	case ev.Cause == FailureNotSent && a.stage == StageOwn:
		n.refuse(c, ReasonOwnerUnreachable)
	case ev.Cause == FailureNotSent:
		n.afterRefusal(c, ReasonNoTarget)
	case n.fenceable(a):
		n.askFate(a, false, ReasonAttemptLost)
	default:
		c.mayHaveRun = true
		n.afterLoss(c)
	}
	n.drainQueue()
}

// endAttempt frees what a held; left is what came back of its tokens.
func (n *Node) endAttempt(a *attempt, r balancer.Result, left int) {
	if a.local {
		left = a.pool.Free()
		n.guard.Done(n.now, admission.Sample{
			Started: a.started, Own: a.ownTime(n.now), OK: r == balancer.ResultOK,
		})
		n.emit(&Measurement{Metric: MetricUpstreamTime, Class: a.call.class, Value: n.now - a.started})
	} else {
		n.balancer.Finished(n.now, a.target, r)
	}
	a.call.pool.Return(a.loan, left)
	n.closeAttempt(a)
	n.settleTrial(a, r == balancer.ResultOK)
}

// afterRefusal goes on with a call whose last attempt certainly did not run.
func (n *Node) afterRefusal(c *call, reason Reason) {
	if n.mayRetry(c) && n.takeToken(c) {
		n.try(c)
		return
	}
	n.refuse(c, reason)
}

// afterLoss goes on with a call whose last attempt may have run.
func (n *Node) afterLoss(c *call) {
	if n.mayRetryLost(c) && n.takeToken(c) {
		n.try(c)
		return
	}
	n.end(c, Reply{Outcome: OutcomeUnknown, Reason: ReasonAttemptLost})
}

// mayRetryLost tells whether c may be tried again though it may have run.
func (n *Node) mayRetryLost(c *call) bool {
	repeatable := c.route.Idempotent || !n.cfg.Policy.Ownership || n.faults().RetryLost
	return repeatable && n.mayRetry(c)
}

// afterError goes on with a call that an upstream failed. A node that is not
// bound by a budget repeats it, as clients of plain proxies do.
func (n *Node) afterError(c *call, reply Reply) {
	if !n.cfg.Policy.Budget && n.mayRetry(c) && n.takeToken(c) {
		n.try(c)
		return
	}
	n.end(c, reply)
}

// mayRetry tells whether c may be tried on another target by this node.
func (n *Node) mayRetry(c *call) bool {
	return c.stage != StageRun && n.now < c.deadline
}

// takeToken takes what one more attempt costs and reports whether c had it.
func (n *Node) takeToken(c *call) bool {
	if n.faults().FreeRetries {
		return true
	}
	if n.cfg.Policy.Budget {
		return c.pool.Spend()
	}
	return len(c.tried) < n.cfg.Policy.HopAttempts
}

// refuse ends c without a further attempt.
func (n *Node) refuse(c *call, reason Reason) {
	n.refuseAs(c, Reply{Reason: reason, RetryAfter: retryLater})
}

// end answers c and forgets it.
func (n *Node) end(c *call, reply Reply) {
	if !n.checkEnd(c, reply) {
		return
	}
	n.forget(c)
	n.settleOwner(c, reply)
	n.settleSend(c, reply)
	reply.Tokens = c.pool.Free()
	reply.Load = n.Load()
	reply.Stamp = n.stamp()
	n.settleParent(c)
	n.measureEnd(c, reply)
	n.emit(&ReplyCall{ID: c.id, Reply: reply})
}

func (n *Node) measureEnd(c *call, reply Reply) {
	n.countRefusal(c, reply)
	n.emit(&Measurement{
		Metric: MetricCallTime, Class: c.class, Reason: reply.Reason,
		Group: c.request.Group, Value: n.now - c.arrived, Count: len(c.tried),
	})
}

func (n *Node) forget(c *call) {
	delete(n.calls, c.id)
	n.deadlines.remove(c)
	if c.origin == OriginPeer {
		delete(n.sends, c.send)
	}
}

// abandon stops the open attempt of c, if any.
func (n *Node) abandon(c *call) {
	a := c.current
	if a == nil {
		return
	}
	if a.waiting {
		n.guard.Withdraw(uint64(a.id))
		n.closeAttempt(a)
		return
	}
	c.mayHaveRun = true
	n.emit(&CancelAttempt{Attempt: a.id})
	n.endAttempt(a, balancer.ResultCancelled, 0)
}

func (n *Node) callerGone(id CallID) {
	c := n.calls[id]
	if c == nil || c.fence != nil || n.keepsRunning(c) {
		return
	}
	n.abandon(c)
	n.refuse(c, ReasonCancelled)
	n.drainQueue()
}

// expire ends the calls whose deadline has come.
func (n *Node) expire() {
	for c := n.deadlines.first(); c != nil && c.deadline <= n.now; c = n.deadlines.first() {
		if n.fenceAtDeadline(c) {
			continue
		}
		n.abandon(c)
		n.refuse(c, ReasonDeadline)
	}
}

// heartbeatInterval is how often a node tells its peers how it is.
const heartbeatInterval = 250 * time.Millisecond
