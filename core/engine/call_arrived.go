package engine

import (
	"time"

	"github.com/shallotspool/shallotspool/core/budget"
	"github.com/shallotspool/shallotspool/core/document"
	"github.com/shallotspool/shallotspool/core/invariant"
)

// defaultRetryAfter is the Retry-After of refusals for which no better estimate
// exists.
const defaultRetryAfter = time.Second

// callArrived processes a new request. It refuses the request, or registers it
// in n.calls and then runs it on this node's upstream, routes it to a target, or
// routes it to the owner of its key.
func (n *Node) callArrived(ev *CallArrived) {
	c := &call{
		id: ev.ID, origin: ev.Origin, stage: ev.Stage, request: ev.Request,
		arrived: n.now, send: ev.Send, receiverStamp: ev.ReceiverStamp, heapIndex: -1,
	}
	if c.origin == OriginPeer {
		c.pool = budget.NewPool(ev.RetryTokens)
	}
	if reason := n.resolveCall(c, ev); reason != ReasonNone {
		n.refuseUnregistered(c, reason)
		return
	}
	if reply := n.acceptSend(c); reply.Outcome != 0 {
		n.replyUnregistered(c, reply)
		return
	}
	c.initialTokens = c.pool.Available()
	n.calls[c.id] = c
	n.deadlines.add(c)
	if c.origin == OriginPeer {
		n.callsBySend[c.send] = c
	}
	switch {
	case c.origin == OriginPeer && c.stage == StageRun:
		n.runHere(c)
	case c.route.Idempotent || !n.cfg.Policy.KeyOwnership:
		n.makeFirstAttempt(c)
	default:
		n.routeToOwner(c)
	}
}

// resolveCall determines route, class, deadline and tokens of c. It returns the
// reason for which the call has to be refused, or ReasonNone.
func (n *Node) resolveCall(c *call, ev *CallArrived) Reason {
	if n.doc == nil {
		return ReasonNoDocument
	}
	if n.refusedWhileLeaving(c) {
		return ReasonLeaving
	}
	// A call on behalf of a dispatch that has ended is not run.
	if ev.Origin == OriginUpstream && ev.Parent != 0 && n.attempts[ev.Parent] == nil && n.cfg.Policy.KeyOwnership {
		return ReasonCancelled
	}
	if len(n.calls) >= n.cfg.MaxCalls {
		return ReasonOverload
	}
	c.route = n.routeOf(ev.Request)
	if c.route == nil {
		return ReasonNoRoute
	}
	if !n.inheritContext(c, ev) {
		return ReasonCancelled
	}
	if c.deadline <= n.now {
		return ReasonDeadline
	}
	if n.refusedAfterPause(c) {
		return ReasonAfterPause
	}
	if n.refusedAtEntry(c) {
		return ReasonOverload
	}
	return ReasonNone
}

// routeOf returns the route of r in the document in force, nil if there is
// none. A request without a service is for the node's own service.
func (n *Node) routeOf(r *Request) *document.Route {
	name := r.Service
	if name == "" {
		name = n.cfg.Service
	}
	service := n.doc.Service(name)
	if service == nil {
		return nil
	}
	return service.MatchRoute(r.Method, r.Path)
}

// inheritContext sets class, priority, deadline, depth and tokens of c. Apart
// from the document, only values from another node or from a dispatch of this
// node are trusted. It returns false for a call on behalf of a dispatch that
// has ended: the request is over, and so is its retry budget.
func (n *Node) inheritContext(c *call, ev *CallArrived) bool {
	c.class = c.route.Class
	timeout := c.route.Timeout
	if ev.Timeout > 0 && (n.cfg.Policy.Deadlines || ev.Origin == OriginCaller) {
		timeout = min(timeout, ev.Timeout)
	}
	c.deadline = n.now + timeout
	parent := n.attempts[ev.Parent]
	switch {
	case ev.Origin == OriginPeer:
		c.class, c.priority, c.depth, c.rerun = ev.Class, ev.Priority, ev.Depth, ev.Rerun
		n.acquireBudget(c, ev.RetryTokens)
	case ev.Origin == OriginUpstream && parent != nil && parent.local:
		n.attachToParent(c, parent)
	case ev.Origin == OriginUpstream && ev.Parent != 0 && n.cfg.Policy.RetryBudget:
		return false
	default:
		c.priority = n.drawPriority()
		c.pool = budget.NewPool(c.route.RetryBudget)
		n.acquireBudget(c, c.route.RetryBudget)
	}
	return true
}

// maxRequestBudgets is the number of idempotency keys whose retry budget a node
// remembers.
const maxRequestBudgets = 1 << 14

// acquireBudget makes a resent request share the retry budget of its first
// send; tokens is the size of a new budget. Only the entry node and the owner
// of the key do this.
func (n *Node) acquireBudget(c *call, tokens int) {
	if !n.cfg.Policy.RetryBudget || c.request.Key == "" || c.stage == StageRun {
		return
	}
	c.budgetKey = budget.RequestKey{Key: c.request.Key, Fingerprint: fingerprintOf(c.request)}
	grant := n.requestBudgets.Acquire(n.now, c.budgetKey, tokens, c.deadline)
	c.pool = budget.NewPool(grant.Tokens)
	c.firstAttemptIsRetry = grant.Attempted
	c.rerun = c.rerun || grant.MayHaveRun
	c.budgetAcquired = grant.Tracked
}

// attachToParent makes c a child of the dispatch during which the upstream made
// it, and lends c its share of the dispatch's retry tokens. The rest is for the
// calls that the route has yet to make.
func (n *Node) attachToParent(c *call, parent *attempt) {
	c.parent = parent
	c.class = parent.call.class
	c.priority = parent.call.priority
	c.depth = parent.call.depth + 1
	if n.cfg.Policy.Deadlines {
		c.deadline = min(c.deadline, parent.call.deadline)
	}
	c.firstAttemptIsRetry, c.rerun = parent.call.rerun, parent.call.rerun
	c.lentTokens = parent.pool.LendShare(len(parent.call.route.Callees)-parent.childCount, n.firstAttemptCost(c))
	c.pool = budget.NewPool(c.lentTokens)
	parent.childStarted(n.now, c)
}

// refuseUnregistered refuses a call that is not registered.
func (n *Node) refuseUnregistered(c *call, reason Reason) {
	n.detachFromParent(c)
	n.releaseBudget(c, OutcomeNotRun)
	reply := Reply{Outcome: OutcomeNotRun, Reason: reason, RetryAfter: defaultRetryAfter}
	if reason == ReasonNoRoute {
		reply = Reply{Outcome: OutcomeBadRequest, Reason: reason}
	}
	n.recordRefusedSend(c, &reply)
	n.replyUnregistered(c, reply)
}

// replyUnregistered ends a call that is not registered with the given reply.
func (n *Node) replyUnregistered(c *call, reply Reply) {
	n.releaseBudget(c, OutcomeNotRun)
	reply.Stamp = n.stamp()
	reply.RetryTokens = c.pool.Available()
	reply.Load = n.loadFor(c.route)
	n.countReason(c, reply)
	n.emit(&ReplyCall{ID: c.id, Reply: reply})
}

// detachFromParent removes c from the open children of its parent dispatch and
// returns its unused tokens to it.
func (n *Node) detachFromParent(c *call) {
	if c.parent == nil {
		return
	}
	c.parent.childEnded(n.now, c)
	c.parent.pool.Return(c.lentTokens, c.pool.Available())
	n.checkPool(&c.parent.pool, c)
	c.parent = nil
}

// releaseBudget stores the unused tokens of c for a resend of the same request,
// and whether c was attempted and may have run.
func (n *Node) releaseBudget(c *call, o Outcome) {
	if !c.budgetAcquired {
		return
	}
	c.budgetAcquired = false
	mayHaveRun := c.mayHaveRun || o == OutcomeAnswered || o == OutcomeUpstreamError || o == OutcomeUnknown
	n.requestBudgets.Release(c.budgetKey, c.pool.Available(), c.runAttempted, mayHaveRun)
}

// checkPool asserts that the free, lent and spent tokens of p are no more than
// it received.
func (n *Node) checkPool(p *budget.Pool, c *call) {
	n.checker.Check(p.Conserved(), invariant.Violation{
		Name: invariant.RetryBudget, Call: uint64(c.id), Detail: "pool holds more retry tokens than it received",
	})
}
