package engine

import (
	"time"

	"github.com/shallotspool/shallotspool/core/budget"
	"github.com/shallotspool/shallotspool/core/document"
	"github.com/shallotspool/shallotspool/core/wire"
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
	if reason := n.resolve(c, ev); reason != ReasonNone {
		n.refuseArrival(c, reason)
		return
	}
	if reply := n.receive(c); reply.Outcome != 0 {
		n.replyTo(c, reply)
		return
	}
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
	if n.state >= wire.NodeLeaving && c.origin != OriginUpstream && !n.faults().WorkWhileLeaving {
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
	n.inherit(c, ev)
	if c.deadline <= n.now {
		return ReasonDeadline
	}
	if n.catchingUp(c) {
		return ReasonWokeLate
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
// node or from this node's own dispatch counts beside the document.
func (n *Node) inherit(c *call, ev *CallArrived) {
	c.class = c.route.Class
	wait := c.route.Wait
	if ev.Wait > 0 {
		wait = min(wait, ev.Wait)
	}
	c.deadline = n.now + wait
	parent := n.attempts[ev.Parent]
	switch {
	case ev.Origin == OriginPeer:
		c.class, c.depth = ev.Class, ev.Depth
		c.pool = budget.NewPool(ev.Tokens)
	case ev.Origin == OriginUpstream && parent != nil && parent.local:
		n.adopt(c, parent)
	default:
		c.pool = budget.NewPool(c.route.Retries)
	}
	c.allotment = c.pool.Free()
}

// adopt makes c a child of the dispatch on whose behalf the upstream calls.
func (n *Node) adopt(c *call, parent *attempt) {
	c.parent = parent
	c.class = parent.call.class
	c.depth = parent.call.depth + 1
	c.deadline = min(c.deadline, parent.call.deadline)
	c.loan = parent.pool.LendShare()
	c.pool = budget.NewPool(c.loan)
	parent.childStarted(n.now)
}

// refuseArrival answers a call that was never registered.
func (n *Node) refuseArrival(c *call, reason Reason) {
	n.settleParent(c)
	reply := Reply{Outcome: OutcomeNotRun, Reason: reason, RetryAfter: retryLater}
	if reason == ReasonNoRoute {
		reply = Reply{Outcome: OutcomeBadRequest, Reason: reason}
	}
	n.refuseSend(c, &reply)
	n.replyTo(c, reply)
}

// replyTo answers a call that is not registered.
func (n *Node) replyTo(c *call, reply Reply) {
	reply.Tokens = c.pool.Free()
	reply.Load = n.Load()
	reply.Stamp = n.stamp()
	n.countRefusal(c, reply)
	n.emit(&ReplyCall{ID: c.id, Reply: reply})
}

// settleParent gives the dispatch that c was made for its tokens back.
func (n *Node) settleParent(c *call) {
	if c.parent == nil {
		return
	}
	c.parent.childEnded(n.now)
	c.parent.pool.Return(c.loan, c.pool.Free())
	c.parent = nil
}
