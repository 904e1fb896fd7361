package standin

import (
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/core/document"
)

// Upstream is one service instance: it works for a while in one of its slots,
// calls what its route names through its node, and answers with the id it got.
type Upstream struct {
	Address string
	// Calls are the routes it calls, one after the other.
	Calls map[string][]*document.Route
	// Work is how long a request takes, in nanoseconds.
	Work atomic.Int64

	server *fasthttp.Server
	slots  chan struct{}
	node   atomic.Value
	mu     sync.Mutex
	runs   map[string]int
}

// IDHeader carries the caller's id of a request; answers carry it as body.
const IDHeader = "X-Id"

// NewUpstream starts an Upstream.
func NewUpstream(slots int, work time.Duration) (*Upstream, error) {
	u := &Upstream{slots: make(chan struct{}, slots), runs: map[string]int{}}
	u.Work.Store(int64(work))
	u.server = &fasthttp.Server{Handler: u.handle}
	var err error
	u.Address, err = serve(u.server)
	return u, err
}

// SetNode tells where its node takes its calls, IP:port.
func (u *Upstream) SetNode(address string) { u.node.Store(&Caller{Address: address}) }

// Close ends the Upstream.
func (u *Upstream) Close() { _ = u.server.Shutdown() }

// Runs tells how often the request with an id ran here.
func (u *Upstream) Runs(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[id]
}

func (u *Upstream) handle(ctx *fasthttp.RequestCtx) {
	u.slots <- struct{}{}
	defer func() { <-u.slots }()
	id := string(ctx.Request.Header.Peek(IDHeader))
	if !ctx.IsGet() {
		u.mu.Lock()
		u.runs[id]++
		u.mu.Unlock()
	}
	time.Sleep(time.Duration(u.Work.Load()))
	for _, route := range u.Calls[string(ctx.Method())+" "+firstSegment(string(ctx.Path()))] {
		call := Request(route, id+"/"+route.Service)
		call.Parent = string(ctx.Request.Header.Peek("Shallot-Parent"))
		if r := u.node.Load().(*Caller).Do(call); r.Outcome != "answered" || r.Body != call.ID {
			ctx.SetStatusCode(fasthttp.StatusBadGateway)
			return
		}
	}
	ctx.SetBodyString(id)
}

func firstSegment(path string) string {
	return strings.SplitN(strings.TrimPrefix(path, "/"), "/", 2)[0]
}

// SetCalls tells u what the routes of its service call.
func (u *Upstream) SetCalls(doc *document.Document, service string) {
	u.Calls = map[string][]*document.Route{}
	for _, r := range doc.Service(service).Routes {
		for _, name := range r.Calls {
			callee, route, _ := strings.Cut(name, ".")
			for _, c := range doc.Service(callee).Routes {
				if c.Name == route {
					at := r.Method + " " + firstSegment(r.Path)
					u.Calls[at] = append(u.Calls[at], c)
				}
			}
		}
	}
}
