package standin

import (
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/core/document"
)

// Upstream is a service instance. For each request it occupies a slot for the
// working time, then calls the callees of the route through its node, and returns
// the id of the request as the body of its answer.
type Upstream struct {
	Address string
	// Callees holds the routes to call, one after the other, by the method and the
	// first path segment of the request, such as "GET lists".
	Callees map[string][]*document.Route
	// WorkTime is the working time per request in nanoseconds.
	WorkTime atomic.Int64

	server     *fasthttp.Server
	slots      chan struct{}
	nodeCaller atomic.Value
	mu         sync.Mutex
	runs       map[string]int
}

// IDHeader is the header with the id that the caller gave to a request.
const IDHeader = "X-Id"

// NewUpstream starts an Upstream with the given number of slots and working time.
func NewUpstream(slots int, work time.Duration) (*Upstream, error) {
	u := &Upstream{slots: make(chan struct{}, slots), runs: map[string]int{}}
	u.WorkTime.Store(int64(work))
	u.server = &fasthttp.Server{Handler: u.handle}
	var err error
	u.Address, err = serve(u.server)
	return u, err
}

// SetNodeAddress sets the address, as IP:port, at which the node of the upstream
// accepts its calls.
func (u *Upstream) SetNodeAddress(address string) { u.nodeCaller.Store(&Caller{Address: address}) }

// Close shuts the server down.
func (u *Upstream) Close() { _ = u.server.Shutdown() }

// RunCount returns how often the request with the given id ran here. GET requests
// are not counted.
func (u *Upstream) RunCount(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[id]
}

func (u *Upstream) handle(ctx *fasthttp.RequestCtx) {
	u.slots <- struct{}{}
	defer func() { <-u.slots }()
	id := string(ctx.Request.Header.Peek(IDHeader))
	// Connections to an upstream that does not copy the field carry one request each.
	ctx.Response.Header.SetBytesV("Shallot-Parent", ctx.Request.Header.Peek("Shallot-Parent"))
	if !ctx.IsGet() {
		u.mu.Lock()
		u.runs[id]++
		u.mu.Unlock()
	}
	time.Sleep(time.Duration(u.WorkTime.Load()))
	for _, route := range u.Callees[string(ctx.Method())+" "+firstSegment(string(ctx.Path()))] {
		call := NewCall(route, id+"/"+route.Service)
		call.Parent = string(ctx.Request.Header.Peek("Shallot-Parent"))
		if r := u.nodeCaller.Load().(*Caller).Do(call); r.Outcome != "answered" || r.Body != call.ID {
			ctx.SetStatusCode(fasthttp.StatusBadGateway)
			return
		}
	}
	ctx.SetBodyString(id)
}

// firstSegment returns the first segment of a path, without slashes.
func firstSegment(path string) string {
	return strings.SplitN(strings.TrimPrefix(path, "/"), "/", 2)[0]
}

// SetCallees sets Callees to the callees of all routes of a service.
func (u *Upstream) SetCallees(doc *document.Document, service string) {
	u.Callees = map[string][]*document.Route{}
	for _, r := range doc.Service(service).Routes {
		for _, name := range r.Callees {
			callee, route, _ := strings.Cut(name, ".")
			for _, c := range doc.Service(callee).Routes {
				if c.Name == route {
					key := r.Method + " " + firstSegment(r.Path)
					u.Callees[key] = append(u.Callees[key], c)
				}
			}
		}
	}
}
