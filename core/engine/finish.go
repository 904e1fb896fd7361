package engine

import (
	"slices"

	"github.com/shallotspool/shallotspool/core/admission"
	"github.com/shallotspool/shallotspool/core/balancer"
	"github.com/shallotspool/shallotspool/core/invariant"
)

// attemptAnswered processes the complete reply to an attempt.
func (n *Node) attemptAnswered(ev *AttemptAnswered) {
	a := n.attempts[ev.Attempt]
	if a == nil {
		return
	}
	c := a.call
	reply := ev.Reply
	if n.injectedFaults().SwapReplies {
		a = n.wrongAttempt(a)
		c = a.call
	}
	n.checkAttemptReply(a, reply)
	n.recordLoad(a, reply)
	n.recordReplyLevel(a, reply.Load)
	n.endAttempt(a, targetResult(reply), reply.RetryTokens)
	n.recordStamp(a.target, reply.Stamp)
	n.recordRemoteCrash(a, reply)
	switch {
	case reply.Outcome == OutcomeNotRun && n.repeatSendWithNewStamp(c, a, reply):
		// The repeated send has replaced the attempt.
	case a.stage == StageOwner:
		n.afterOwnerReply(c, reply)
	default:
		n.afterReply(c, reply)
	}
	n.processQueue()
}

// afterReply continues or ends a call with the reply to an attempt to run it.
func (n *Node) afterReply(c *call, reply Reply) {
	switch reply.Outcome {
	case OutcomeNotRun:
		n.afterRefusal(c, reply.Reason)
	case OutcomeUnknown:
		c.mayHaveRun = true
		n.afterLoss(c)
	case OutcomeUpstreamError:
		n.afterError(c, reply)
	default:
		n.endCall(c, reply)
		if n.injectedFaults().ReplyTwice {
			n.endCall(c, reply)
		}
	}
}

// recordLoad stores the load that came with a reply. Load.AdmissionLevel is
// skipped: in a reply it applies to one route only and is recorded by
// recordReplyLevel.
func (n *Node) recordLoad(a *attempt, reply Reply) {
	if a.local || reply.Load.Limit == 0 {
		return
	}
	if p := n.view.Peer(a.target); p != nil {
		p.Load.InFlight, p.Load.Limit = reply.Load.InFlight, reply.Load.Limit
	}
}

// targetResult returns what a reply says about the health of its target. A
// target that has no document or cannot reach its own upstream counts as
// failed.
func targetResult(r Reply) balancer.Result {
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

// attemptFailed processes the end of an attempt that got no complete reply.
func (n *Node) attemptFailed(ev *AttemptFailed) {
	a := n.attempts[ev.Attempt]
	if a == nil {
		return
	}
	c := a.call
	returned := 0
	if ev.Cause == FailureNotSent {
		returned = a.lentTokens
	}
	fencing, lentTokens := ev.Cause == FailureLost && n.canFence(a), 0
	if fencing {
		// The answer to the fence decides whether the tokens come back.
		lentTokens, a.lentTokens = a.lentTokens, 0
	}
	n.endAttempt(a, balancer.ResultFailed, returned)
	switch {
	case ev.Cause == FailureNotSent && a.stage == StageOwner:
		n.failCall(c, ReasonOwnerUnreachable)
	case ev.Cause == FailureNotSent:
		n.afterRefusal(c, ReasonNoTarget)
	case fencing:
		n.sendFence(a, false, ReasonAttemptLost)
		c.pendingFence.lentTokens = lentTokens
	default:
		c.mayHaveRun = true
		n.afterLoss(c)
	}
	n.processQueue()
}

// endAttempt releases the resources of a and reports its result to the balancer
// or the admission controller. returned is the number of tokens that came back
// from another node; a local attempt returns those left in its pool.
func (n *Node) endAttempt(a *attempt, r balancer.Result, returned int) {
	if r == balancer.ResultOK {
		n.stateOfService(a.call.route.Service).recordLatency(n.now - a.started)
	}
	if a.local {
		n.cancelChildren(a)
		a.call.runAttempted = true
		returned = a.pool.Available()
		n.admissionControl.Done(n.now, admission.Sample{
			ID: uint64(a.id), SelfTime: a.selfTime(n.now), OK: r == balancer.ResultOK,
		})
		n.emit(&Measurement{Metric: MetricUpstreamTime, Class: a.call.class, Value: n.now - a.started})
	} else {
		n.balancer.AttemptFinished(n.now, a.target, a.started, r)
	}
	a.call.attemptTime += n.now - a.started
	n.checker.Check(returned <= a.lentTokens, invariant.Violation{
		Name: invariant.RetryBudget, Call: uint64(a.call.id), Detail: "more retry tokens returned than lent",
	})
	a.call.pool.Return(a.lentTokens, returned)
	n.removeAttempt(a)
	n.settleTrial(a, r == balancer.ResultOK)
}

// afterRefusal retries or fails a call whose last attempt certainly did not
// run.
func (n *Node) afterRefusal(c *call, reason Reason) {
	if reason == ReasonOverload {
		c.overloadRefusals++
	}
	if !n.retry(c, 1) {
		n.failCall(c, reason)
	}
}

// afterLoss retries or fails a call whose last attempt may have run.
func (n *Node) afterLoss(c *call) { n.afterLossWithReason(c, ReasonAttemptLost) }

// afterLossWithReason is afterLoss with the reason for a call that fails.
func (n *Node) afterLossWithReason(c *call, reason Reason) {
	c.rerun = true
	if n.retryableAfterLoss(c) && n.retry(c, n.treeSize(c.route)) {
		return
	}
	n.failCall(c, reason)
}

// afterError handles an upstream's error response. It is passed on, except that
// a node without retry budgets retries the call, as plain proxies and their
// clients do.
func (n *Node) afterError(c *call, reply Reply) {
	if !n.cfg.Policy.RetryBudget && n.retryableAfterLoss(c) && n.retry(c, 1) {
		return
	}
	n.endCall(c, reply)
}

// failCall ends c for the given reason, without a response or a further attempt.
func (n *Node) failCall(c *call, reason Reason) {
	retryAfter := defaultRetryAfter
	if reason == ReasonRetryBudget {
		retryAfter = 0
	}
	n.failWith(c, Reply{Reason: reason, RetryAfter: retryAfter})
}

// endCall answers c and removes it.
func (n *Node) endCall(c *call, reply Reply) {
	if !n.checkReply(c, reply) {
		n.deadlines.remove(c)
		return
	}
	n.unregister(c)
	n.settleKey(c, reply)
	n.finishReceivedSend(c, reply)
	reply.Stamp = n.stamp()
	n.checkPool(&c.pool, c)
	n.releaseBudget(c, reply.Outcome)
	reply.RetryTokens = c.pool.Available()
	reply.Load = n.loadFor(c.route)
	n.detachFromParent(c)
	n.measureCall(c, reply)
	n.emit(&ReplyCall{ID: c.id, Reply: reply})
}

// measureCall emits the metrics of a finished call.
func (n *Node) measureCall(c *call, reply Reply) {
	n.countReason(c, reply)
	n.emit(&Measurement{
		Metric: MetricCallTime, Class: c.class, Reason: reply.Reason,
		Group: n.callerGroup(c), Value: n.now - c.arrived, Count: len(c.tried),
	})
	n.emit(&Measurement{
		Metric: MetricAddedTime, Class: c.class, Group: n.callerGroup(c), Value: n.now - c.arrived - c.attemptTime,
	})
}

// callerGroup returns the caller group of c if the document lists it, or else
// the empty string. This bounds the number of metric label values.
func (n *Node) callerGroup(c *call) string {
	if slices.Contains(n.doc.Groups, c.request.Group) {
		return c.request.Group
	}
	return ""
}

// unregister removes c from the node's indexes.
func (n *Node) unregister(c *call) {
	delete(n.calls, c.id)
	n.deadlines.remove(c)
	n.discardFence(c)
	if n.callsBySend[c.send] == c {
		delete(n.callsBySend, c.send)
	}
}

// expireCalls ends the calls whose deadline has passed, or sends the fence that
// decides their outcome.
func (n *Node) expireCalls() {
	for c := n.deadlines.first(); c != nil && c.deadline <= n.now; c = n.deadlines.first() {
		if !n.fenceAtDeadline(c) {
			n.cancelCall(c, ReasonDeadline)
		}
	}
}
