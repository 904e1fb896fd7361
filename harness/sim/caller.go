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
	// Rate is the mean rate in requests per second; intervals are exponentially
	// distributed.
	Rate float64
	// Callers start new requests from From until To.
	From time.Duration
	To   time.Duration
	// MaxResends is the maximum number of times that a caller resends a request
	// after the first send was not answered in time.
	MaxResends int
	// ResendDelay is the delay before a resend; 0 means the retry-after time of
	// the last reply.
	ResendDelay time.Duration
	// Body is the body of all requests; if it is empty, each request has its own.
	Body string
	// UseIssuedKeys makes callers use idempotency keys issued by the entry node
	// instead of keys of their own.
	UseIssuedKeys bool
	// ResendTimeout is how long after the first send a caller resends, if it is longer
	// than the timeout of the route.
	ResendTimeout time.Duration
}

// callerRequest is the state of one request of a caller over all its sends.
type callerRequest struct {
	load      Load
	route     *document.Route
	message   *engine.Request
	firstSent time.Duration
	sends     int
}

// AddLoad starts a stream of requests.
func (w *World) AddLoad(l Load) {
	route := w.Route(l.Route)
	var sendNext func()
	sendNext = func() {
		if w.now >= l.To {
			return
		}
		w.sendNewRequest(l, route)
		w.After(w.exponentialTime(time.Duration(float64(time.Second)/l.Rate)), sendNext)
	}
	w.After(l.From-w.now, sendNext)
}

// Route returns the route with the given name, "service.route". It panics if there
// is none.
func (w *World) Route(name string) *document.Route {
	if r := w.Document.Route(name); r != nil {
		return r
	}
	panic("unknown route " + name)
}

// sendNewRequest creates a request of a load with a new key and sends it.
func (w *World) sendNewRequest(l Load, route *document.Route) {
	w.Stats.lastKey++
	key := fmt.Sprintf("k%d", w.Stats.lastKey)
	r := &callerRequest{load: l, route: route, firstSent: w.now, message: newRequest(route, key)}
	if l.Body != "" {
		r.message.Body = []byte(l.Body)
	}
	w.Stats.recordOffered(w.now, route)
	w.sendRequest(r)
}

// patternReplacer turns a path pattern into a path that matches it.
var patternReplacer = strings.NewReplacer("{", "", "}", "")

func newRequest(route *document.Route, key string) *engine.Request {
	return &engine.Request{
		Service: route.Service, Method: route.Method, Path: patternReplacer.Replace(route.Path), Key: key, Body: []byte(key),
	}
}

// childRequest returns the request of the call that an upstream makes to the named
// route while it runs parent. Its key is the key of parent, a slash and the route.
func (w *World) childRequest(name string, parent *engine.Request) *engine.Request {
	r := newRequest(w.Route(name), parent.Key+"/"+name)
	r.Header = parent.Header
	return r
}

// sendRequest sends a request to a random entry node. The Header of the message
// identifies the send as KEY#NUMBER. A node that is down when the request arrives
// gives an unknown outcome. There is no reply if no node of the service is
// running, or if the node is killed or restarted with the request open. Such a
// request counts neither as answered nor as refused.
func (w *World) sendRequest(r *callerRequest) {
	r.sends++
	h := w.pickEntryHost(r.route.Service)
	if h == nil {
		return
	}
	if r.load.UseIssuedKeys && r.sends == 1 {
		r.message.Key = h.Node.IssueKey()
	}
	w.Stats.Attempts.RecordEntry(r.message.Key, h.Target, attempts.Budget(w.Document, r.route))
	incarnation, message := h.incarnation, *r.message
	message.Header = fmt.Appendf(nil, "%s#%d", message.Key, r.sends)
	w.After(callerDelay, func() {
		if !h.alive {
			w.After(callerDelay, func() { w.handleReply(r, engine.Reply{Outcome: engine.OutcomeUnknown}) })
			return
		}
		h.Call(&engine.CallArrived{Origin: engine.OriginCaller, Request: &message}, func(reply engine.Reply) {
			if w.OnReply != nil {
				w.OnReply(h, &message, reply)
			}
			if h.incarnation == incarnation {
				w.After(callerDelay, func() { w.handleReply(r, reply) })
			}
		})
	})
}

// pickEntryHost returns a random running node of a service, nil if there is none.
func (w *World) pickEntryHost(service string) *Host {
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

// handleReply processes a reply at the caller: it records a complete answer in
// time, resends the request if the load allows it, or records a failure.
func (w *World) handleReply(r *callerRequest, reply engine.Reply) {
	inTime := w.now-r.firstSent <= r.route.Timeout+2*callerDelay
	if reply.Outcome == engine.OutcomeAnswered && inTime {
		w.Stats.recordAnswered(w.now, r, string(reply.Response.Body) != string(r.message.Body))
		return
	}
	if r.sends <= r.load.MaxResends && w.now-r.firstSent < max(r.route.Timeout, r.load.ResendTimeout) {
		delay := r.load.ResendDelay
		if delay == 0 {
			delay = reply.RetryAfter
		}
		w.After(delay, func() { w.sendRequest(r) })
		return
	}
	w.Stats.recordRefused(r)
}
