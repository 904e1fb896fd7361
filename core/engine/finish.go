package engine

import (
	"slices"
	"time"

	"github.com/shallotspool/shallotspool/core/admission"
	"github.com/shallotspool/shallotspool/core/balancer"
	"github.com/shallotspool/shallotspool/core/invariant"
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
	n.hear(a, reply)
	n.learnLevel(a, reply.Load)
	n.endAttempt(a, resultOf(reply), reply.Tokens)
	n.noteStamp(a.target, reply.Stamp)
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

// hear takes in the load that travelled with an answer. Its level is that of one
// route and is learnt elsewhere.
func (n *Node) hear(a *attempt, reply Reply) {
	if a.local || reply.Load.Limit == 0 {
		return
	}
	if p := n.view.Peer(a.target); p != nil {
		p.Load.InFlight, p.Load.Limit = reply.Load.InFlight, reply.Load.Limit
	}
}

// resultOf is what a reply tells of the target it came from. A target that has
// no document, or cannot reach its own upstream, does not work.
func resultOf(r Reply) balancer.Result {
	switch r.Outcome {
	case OutcomeAnswered, OutcomeUpstreamError, OutcomeBadRequest:
		return balancer.ResultOK
	case OutcomeNotRun:
		if r.Reason == ReasonNoDocument || r.Reason == ReasonNoTarget {
			return balancer.ResultFailed
		}
		return balancer.ResultRefused
	}
	if r.Reason == ReasonAttemptLost {
		return balancer.ResultFailed
	}
	return balancer.ResultCancelled
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
	ask, loan := ev.Cause == FailureLost && n.fenceable(a), 0
	if ask {
		// What became of the tokens shows with what became of the send.
		loan, a.loan = a.loan, 0
	}
	n.endAttempt(a, balancer.ResultFailed, left)
	switch {
	case ev.Cause == FailureNotSent && a.stage == StageOwn:
		n.refuse(c, ReasonOwnerUnreachable)
	case ev.Cause == FailureNotSent:
		n.afterRefusal(c, ReasonNoTarget)
	case ask:
		n.askFate(a, false, ReasonAttemptLost)
		c.fence.loan = loan
	default:
		c.mayHaveRun = true
		n.afterLoss(c)
	}
	n.drainQueue()
}

// endAttempt frees what a held; left is what came back of its tokens.
func (n *Node) endAttempt(a *attempt, r balancer.Result, left int) {
	if r == balancer.ResultOK {
		n.service(a.call.route.Service).answered(n.now - a.started)
	}
	if a.local {
		n.cancelChildren(a)
		a.call.launched = true
		left = a.pool.Free()
		n.guard.Done(n.now, admission.Sample{
			ID: uint64(a.id), Own: a.ownTime(n.now), OK: r == balancer.ResultOK,
		})
		n.emit(&Measurement{Metric: MetricUpstreamTime, Class: a.call.class, Value: n.now - a.started})
	} else {
		n.balancer.Finished(n.now, a.target, a.started, r)
	}
	a.call.attempted += n.now - a.started
	n.checker.Check(left <= a.loan, invariant.Violation{
		Name: invariant.AttemptBudget, Call: uint64(a.call.id), Detail: "more tokens came back than went out",
	})
	a.call.pool.Return(a.loan, left)
	n.closeAttempt(a)
	n.settleTrial(a, r == balancer.ResultOK)
}

// afterRefusal goes on with a call whose last attempt certainly did not run.
func (n *Node) afterRefusal(c *call, reason Reason) {
	if reason == ReasonOverload {
		c.overloads++
	}
	if !n.retry(c, 1) {
		n.refuse(c, reason)
	}
}

// afterLoss goes on with a call whose last attempt may have run.
func (n *Node) afterLoss(c *call) { n.afterLossFor(c, ReasonAttemptLost) }

// afterLossFor is afterLoss for a known reason.
func (n *Node) afterLossFor(c *call, reason Reason) {
	c.rerun = true
	if n.repeatable(c) && n.retry(c, n.treeSize(c.route)) {
		return
	}
	n.refuse(c, reason)
}

// afterError goes on with a call that an upstream failed. A node that is not
// bound by a budget repeats it, as clients of plain proxies do.
func (n *Node) afterError(c *call, reply Reply) {
	if !n.cfg.Policy.Budget && n.repeatable(c) && n.retry(c, 1) {
		return
	}
	n.end(c, reply)
}

// refuse ends c without a further attempt.
func (n *Node) refuse(c *call, reason Reason) {
	after := retryLater
	if reason == ReasonBudget {
		after = 0
	}
	n.refuseAs(c, Reply{Reason: reason, RetryAfter: after})
}

// end answers c and forgets it.
func (n *Node) end(c *call, reply Reply) {
	if !n.checkEnd(c, reply) {
		n.deadlines.remove(c)
		return
	}
	n.forget(c)
	n.settleOwner(c, reply)
	n.settleSend(c, reply)
	reply.Stamp = n.stamp()
	n.checkPool(&c.pool, c)
	n.settleAllotment(c, reply.Outcome)
	reply.Tokens = c.pool.Free()
	reply.Load = n.loadFor(c.route)
	n.settleParent(c)
	n.measureEnd(c, reply)
	n.emit(&ReplyCall{ID: c.id, Reply: reply})
}

func (n *Node) measureEnd(c *call, reply Reply) {
	n.countRefusal(c, reply)
	n.emit(&Measurement{
		Metric: MetricCallTime, Class: c.class, Reason: reply.Reason,
		Group: n.groupOf(c), Value: n.now - c.arrived, Count: len(c.tried),
	})
	n.emit(&Measurement{
		Metric: MetricAddedTime, Class: c.class, Group: n.groupOf(c), Value: n.now - c.arrived - c.attempted,
	})
}

// groupOf returns the caller group of c if the document names it.
func (n *Node) groupOf(c *call) string {
	if slices.Contains(n.doc.Groups, c.request.Group) {
		return c.request.Group
	}
	return ""
}

func (n *Node) forget(c *call) {
	delete(n.calls, c.id)
	n.deadlines.remove(c)
	n.dropFence(c)
	if n.sends[c.send] == c {
		delete(n.sends, c.send)
	}
}

// expire ends the calls whose deadline has come.
func (n *Node) expire() {
	for c := n.deadlines.first(); c != nil && c.deadline <= n.now; c = n.deadlines.first() {
		if !n.fenceAtDeadline(c) {
			n.giveUp(c, ReasonDeadline)
		}
	}
}

// heartbeatInterval is how often a node tells its peers how it is.
const heartbeatInterval = 250 * time.Millisecond
