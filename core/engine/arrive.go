package engine

import (
	"time"

	"github.com/shallotspool/shallotspool/core/budget"
	"github.com/shallotspool/shallotspool/core/document"
	"github.com/shallotspool/shallotspool/core/invariant"
)

// retryLater is what a refused caller is told when nothing better is known.
const retryLater = time.Second

// arrive takes a new request: it resolves what the document says of it and
// hands it to the owner of its key, to the guard, or to the router.
func (n *Node) arrive(ev *CallArrived) {
	c := &call{
		id: ev.ID, origin: ev.Origin, stage: ev.Stage, request: ev.Request,
		arrived: n.now, send: ev.Send, heard: ev.Heard, heapIndex: -1,
	}
	if c.origin == OriginPeer {
		c.pool = budget.NewPool(ev.Tokens)
	}
	if reason := n.resolve(c, ev); reason != ReasonNone {
		n.refuseArrival(c, reason)
		return
	}
	if reply := n.receive(c); reply.Outcome != 0 {
		n.replyTo(c, reply)
		return
	}
	c.tokens = c.pool.Free()
	n.calls[c.id] = c
	n.deadlines.add(c)
	if c.origin == OriginPeer {
		n.sends[c.send] = c
	}
	switch {
	case c.origin == OriginPeer && c.stage == StageRun:
		n.runHere(c)
	case c.route.Idempotent || !n.cfg.Policy.Ownership:
		n.try(c)
	default:
		n.own(c)
	}
}

func (n *Node) resolve(c *call, ev *CallArrived) Reason {
	if n.doc == nil {
		return ReasonNoDocument
	}
	if n.refusesNew(c) {
		return ReasonLeaving
	}
	if ev.Origin == OriginUpstream && ev.Parent != 0 && n.attempts[ev.Parent] == nil && n.cfg.Policy.Ownership {
		return ReasonCancelled
	}
	if len(n.calls) >= n.cfg.MaxCalls {
		return ReasonOverload
	}
	c.route = n.routeOf(ev.Request)
	if c.route == nil {
		return ReasonNoRoute
	}
	if !n.inherit(c, ev) {
		return ReasonCancelled
	}
	if c.deadline <= n.now {
		return ReasonDeadline
	}
	if n.catchingUp(c) {
		return ReasonWokeLate
	}
	if n.refusedAtEntry(c) {
		return ReasonOverload
	}
	return ReasonNone
}

func (n *Node) routeOf(r *Request) *document.Route {
	name := r.Service
	if name == "" {
		name = n.cfg.Service
	}
	service := n.doc.Service(name)
	if service == nil {
		return nil
	}
	return service.Resolve(r.Method, r.Path)
}

// inherit sets class, deadline, depth and tokens. Only what came from another
// node or from this node's own dispatch counts beside the document. It reports
// false for a call made on behalf of a dispatch that has ended: the request it
// belongs to is over, and its allotment with it.
func (n *Node) inherit(c *call, ev *CallArrived) bool {
	c.class = c.route.Class
	wait := c.route.Wait
	if ev.Wait > 0 && (n.cfg.Policy.Deadlines || ev.Origin == OriginCaller) {
		wait = min(wait, ev.Wait)
	}
	c.deadline = n.now + wait
	parent := n.attempts[ev.Parent]
	switch {
	case ev.Origin == OriginPeer:
		c.class, c.priority, c.depth, c.rerun = ev.Class, ev.Priority, ev.Depth, ev.Rerun
		n.recall(c, ev.Tokens)
	case ev.Origin == OriginUpstream && parent != nil && parent.local:
		n.adopt(c, parent)
	case ev.Origin == OriginUpstream && ev.Parent != 0 && n.cfg.Policy.Budget:
		return false
	default:
		c.priority = n.drawPriority()
		c.pool = budget.NewPool(c.route.Retries)
		n.recall(c, c.route.Retries)
	}
	return true
}

// maxAllotments is the number of keys whose allotment a node remembers.
const maxAllotments = 1 << 14

// recall lets a resent request draw on the allotment of its first send. That is
// the business of the node where the request enters and of its key's owner.
func (n *Node) recall(c *call, tokens int) {
	if !n.cfg.Policy.Budget || c.request.Key == "" || c.stage == StageRun {
		return
	}
	c.allotment = budget.RequestKey{Key: c.request.Key, Fingerprint: fingerprintOf(c.request)}
	d := n.allotments.Draw(n.now, c.allotment, tokens, c.deadline)
	c.pool = budget.NewPool(d.Tokens)
	c.again = d.Again
	c.rerun = c.rerun || d.Rerun
	c.remembered = d.Kept
}

// adopt makes c a child of the dispatch on whose behalf the upstream calls.
func (n *Node) adopt(c *call, parent *attempt) {
	c.parent = parent
	c.class = parent.call.class
	c.priority = parent.call.priority
	c.depth = parent.call.depth + 1
	if n.cfg.Policy.Deadlines {
		c.deadline = min(c.deadline, parent.call.deadline)
	}
	c.again, c.rerun = parent.call.rerun, parent.call.rerun
	c.loan = parent.pool.LendShare(len(parent.call.route.Calls)-parent.made, n.firstCost(c))
	c.pool = budget.NewPool(c.loan)
	parent.childStarted(n.now, c)
}

// refuseArrival answers a call that was never registered.
func (n *Node) refuseArrival(c *call, reason Reason) {
	n.settleParent(c)
	n.settleAllotment(c, OutcomeNotRun)
	reply := Reply{Outcome: OutcomeNotRun, Reason: reason, RetryAfter: retryLater}
	if reason == ReasonNoRoute {
		reply = Reply{Outcome: OutcomeBadRequest, Reason: reason}
	}
	n.refuseSend(c, &reply)
	n.replyTo(c, reply)
}

// replyTo answers a call that is not registered.
func (n *Node) replyTo(c *call, reply Reply) {
	n.settleAllotment(c, OutcomeNotRun)
	reply.Stamp = n.stamp()
	reply.Tokens = c.pool.Free()
	reply.Load = n.loadFor(c.route)
	n.countRefusal(c, reply)
	n.emit(&ReplyCall{ID: c.id, Reply: reply})
}

// settleParent gives the dispatch that c was made for its tokens back.
func (n *Node) settleParent(c *call) {
	if c.parent == nil {
		return
	}
	c.parent.childEnded(n.now, c)
	c.parent.pool.Return(c.loan, c.pool.Free())
	n.checkPool(&c.parent.pool, c)
	c.parent = nil
}

// settleAllotment keeps what c left of its tokens for a resend.
func (n *Node) settleAllotment(c *call, o Outcome) {
	if !c.remembered {
		return
	}
	c.remembered = false
	ran := c.mayHaveRun || o == OutcomeAnswered || o == OutcomeUpstreamError || o == OutcomeUnknown
	n.allotments.Settle(c.allotment, c.pool.Free(), c.launched, ran)
}

// checkPool asserts that p lends, spends and returns no more than it was given.
func (n *Node) checkPool(p *budget.Pool, c *call) {
	n.checker.Check(p.Conserved(), invariant.Violation{
		Name: invariant.AttemptBudget, Call: uint64(c.id), Detail: "tokens were made from nothing",
	})
}
