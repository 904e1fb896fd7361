package faults

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/platform"
)

// upstream is the stand-in of one upstream. It answers what it ran with the name of
// its service and the request's id, so that each answer shows whose it is.
type upstream struct {
	ledger   *ledger
	service  string
	id       string
	address  string
	outbound string
	work     time.Duration
	broken   Broken
	// slow multiplies its work by ten, and sheds makes it turn every second
	// request away.
	slow, sheds atomic.Bool
	count       atomic.Int64
	calls       atomic.Int64

	mu     sync.Mutex
	server *fasthttp.Server
	open   map[net.Conn]struct{}
}

// start lets the upstream take connections.
func (u *upstream) start() error {
	ln, err := net.Listen("tcp", u.address)
	if err != nil {
		return err
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.open = map[net.Conn]struct{}{}
	u.server = &fasthttp.Server{Handler: u.handle, NoDefaultServerHeader: true, ConnState: u.track, Logger: silent{}}
	server := u.server
	go func() { _ = server.Serve(ln) }()
	return nil
}

func (u *upstream) track(c net.Conn, state fasthttp.ConnState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if state == fasthttp.StateClosed {
		delete(u.open, c)
		return
	}
	u.open[c] = struct{}{}
}

// silent drops what the server says of connections that the run breaks.
type silent struct{}

// Printf implements fasthttp.Logger.
func (silent) Printf(string, ...any) {}

// crash ends the upstream with all it works on.
func (u *upstream) crash() {
	u.mu.Lock()
	server := u.server
	for c := range u.open {
		reset(c)
	}
	u.mu.Unlock()
	go func() { _ = server.Shutdown() }()
}

const (
	// slowFactor is how much longer a slow upstream works.
	slowFactor = 10
	// callWait is how long an upstream waits for a call of its own.
	callWait = time.Second
)

// bodyOf is the answer to a request.
func bodyOf(service, id string) string { return service + " ran " + id + strings.Repeat(".", 200) }

func (u *upstream) handle(ctx *fasthttp.RequestCtx) {
	id := string(ctx.Request.Header.Peek(platform.HeaderRequestID))
	left, _ := strconv.Atoi(string(ctx.Request.Header.Peek(platform.HeaderDeadline)))
	expected := string(ctx.Request.Header.Peek(platform.HeaderExpect))
	a := arrival{id: id, service: u.service, upstream: u.id, left: time.Duration(left) * time.Millisecond, run: true}
	ctx.Response.Header.SetNoDefaultContentType(true)
	ctx.Response.Header.Set(platform.HeaderRequestID, id)
	switch {
	case expected != "" && expected != u.id:
		ctx.SetStatusCode(fasthttp.StatusMisdirectedRequest)
		return
	case u.sheds.Load() && u.count.Add(1)%2 == 0:
		a.run = false
		u.ledger.arrived(a)
		ctx.Response.Header.Set(platform.HeaderNotRun, "1")
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	u.ledger.arrived(a)
	if u.broken == upstreamLies && u.count.Add(1)%2 == 0 {
		ctx.Response.Header.Set(platform.HeaderNotRun, "1")
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	work := u.work
	if u.slow.Load() {
		work *= slowFactor
	}
	time.Sleep(work)
	ctx.Response.Header.Set(platform.HeaderStamp, u.id)
	if strings.HasPrefix(string(ctx.Path()), "/tree/") && !u.call(id) {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	if u.broken == upstreamMixes && u.count.Add(1)%2 == 0 {
		id += "-other"
	}
	ctx.SetBodyString(bodyOf(u.service, id))
}

// call makes one call for a request, and tells whether it succeeded.
func (u *upstream) call(parent string) bool {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	r := &request{id: fmt.Sprintf("%s.%d", parent, u.calls.Add(1)), node: -1, idempotent: true, inner: true, wait: callWait}
	u.ledger.asked(r)
	req.SetRequestURI("http://" + u.outbound + "/leaf/" + r.id)
	req.UseHostHeader = true
	req.Header.SetHost(host)
	req.Header.Set(platform.HeaderRequestID, r.id)
	req.Header.Set(platform.HeaderDeadline, strconv.FormatInt(callWait.Milliseconds(), 10))
	err := fasthttp.DoTimeout(req, resp, callWait+time.Second)
	return err == nil && resp.StatusCode() == fasthttp.StatusOK
}
