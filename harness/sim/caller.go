package sim

import (
	"fmt"
	"strings"
	"time"

	"github.com/shallotspool/shallotspool/core/document"
	"github.com/shallotspool/shallotspool/core/engine"
	"github.com/shallotspool/shallotspool/harness/attempts"
)

// Load is a stream of requests from callers.
type Load struct {
	// Route is "service.route".
	Route string
	// Rate is in requests per second.
	Rate float64
	From time.Duration
	To   time.Duration
	// Resends is how often a caller sends a request again that got no answer.
	Resends int
	// ResendAfter is how long it waits before that; 0 means as it was told.
	ResendAfter time.Duration
	// Body is that of all its requests; empty gives each its own.
	Body string
	// Issued lets callers ask the node where they enter for a key.
	Issued bool
	// Patience is how long it goes on sending; 0 means the route's wait.
	Patience time.Duration
}

type request struct {
	load  Load
	route *document.Route
	req   *engine.Request
	sent  time.Duration
	sends int
}

// Offer starts a stream of requests.
func (w *World) Offer(l Load) {
	route := w.Route(l.Route)
	var next func()
	next = func() {
		if w.now >= l.To {
			return
		}
		w.issue(l, route)
		w.After(w.jitter(time.Duration(float64(time.Second)/l.Rate)), next)
	}
	w.After(l.From-w.now, next)
}

// Route returns the route of the given name, "service.route".
func (w *World) Route(name string) *document.Route {
	if r := w.Doc.Route(name); r != nil {
		return r
	}
	panic("no route " + name)
}

func (w *World) issue(l Load, route *document.Route) {
	w.Stats.nextKey++
	key := fmt.Sprintf("k%d", w.Stats.nextKey)
	r := &request{load: l, route: route, sent: w.now, req: newRequest(route, key)}
	if l.Body != "" {
		r.req.Body = []byte(l.Body)
	}
	w.Stats.offered(w.now, route)
	w.send(r)
}

// example turns a path pattern into a path that fits it.
var example = strings.NewReplacer("{", "", "}", "")

func newRequest(route *document.Route, key string) *engine.Request {
	return &engine.Request{
		Service: route.Service, Method: route.Method, Path: example.Replace(route.Path), Key: key, Body: []byte(key),
	}
}

// requestFor is the call an upstream makes while it works on parent.
func (w *World) requestFor(name string, parent *engine.Request) *engine.Request {
	r := newRequest(w.Route(name), parent.Key+"/"+name)
	r.Header = parent.Header
	return r
}

func (w *World) send(r *request) {
	r.sends++
	h := w.pickEntry(r.route.Service)
	if h == nil {
		return
	}
	if r.load.Issued && r.sends == 1 {
		r.req.Key = h.Node.IssueKey()
	}
	w.Stats.Attempts.Entered(r.req.Key, h.Target, attempts.Budget(w.Doc, r.route))
	incarnation, send := h.incarnation, *r.req
	send.Header = fmt.Appendf(nil, "%s#%d", send.Key, r.sends)
	w.After(callerDelay, func() {
		if !h.alive {
			w.After(callerDelay, func() { w.settle(r, engine.Reply{Outcome: engine.OutcomeUnknown}) })
			return
		}
		h.Call(&engine.CallArrived{Origin: engine.OriginCaller, Request: &send}, func(reply engine.Reply) {
			if w.OnReply != nil {
				w.OnReply(h, &send, reply)
			}
			if h.incarnation == incarnation {
				w.After(callerDelay, func() { w.settle(r, reply) })
			}
		})
	})
}

func (w *World) pickEntry(service string) *Host {
	var alive []*Host
	for _, h := range w.Hosts {
		if h.service == service && h.alive {
			alive = append(alive, h)
		}
	}
	if len(alive) == 0 {
		return nil
	}
	return alive[w.Random.IntN(len(alive))]
}

// settle is the caller's side of a reply.
func (w *World) settle(r *request, reply engine.Reply) {
	inTime := w.now-r.sent <= r.route.Wait+2*callerDelay
	if reply.Outcome == engine.OutcomeAnswered && inTime {
		w.Stats.answered(w.now, r, string(reply.Answer.Body) != string(r.req.Body))
		return
	}
	if r.sends <= r.load.Resends && w.now-r.sent < max(r.route.Wait, r.load.Patience) {
		after := r.load.ResendAfter
		if after == 0 {
			after = reply.RetryAfter
		}
		w.After(after, func() { w.send(r) })
		return
	}
	w.Stats.refused(r)
}
