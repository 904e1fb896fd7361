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

// upstream is a stand-in for one upstream. Its responses hold the name of its service
// and the request ID, so that a response to another request is recognised.
type upstream struct {
	history     *history
	service     string
	id          string
	address     string
	nodeAddress string // where the node accepts calls from this upstream
	workTime    time.Duration
	defect      Defect
	// slow multiplies the processing time by slowFactor; shedding rejects every
	// second request.
	slow, shedding atomic.Bool
	// resetting closes the connection of most runs without an answer; see resetRatio.
	resetting atomic.Bool
	// repeatsRefusals and malformsAnswers make answers malformed; see odd_input.go.
	repeatsRefusals, malformsAnswers atomic.Bool
	// outlivedByListener makes crash leave the proxy listening, as a listener does that
	// another process holds.
	outlivedByListener bool
	// streamsBodies is set if bodies are large and are not held.
	streamsBodies bool
	requestCount  atomic.Int64 // selects every second request
	callCount     atomic.Int64

	mu     sync.Mutex
	server *fasthttp.Server
	conns  map[net.Conn]struct{}
	// serving is false before start and after crash.
	serving bool
	// proxy refuses connections while the upstream does not serve.
	proxy *proxy
}

// start starts to accept connections, unless it does already.
func (u *upstream) start() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.serving {
		return nil
	}
	ln, err := net.Listen("tcp", u.address)
	if err != nil {
		return err
	}
	if u.server != nil && u.proxy.refusing() {
		if err := u.proxy.listen(); err != nil {
			_ = ln.Close()
			return err
		}
	}
	u.serving = true
	u.conns = map[net.Conn]struct{}{}
	u.server = &fasthttp.Server{
		Handler: u.handle, NoDefaultServerHeader: true, ConnState: u.trackConn, Logger: discardLogger{},
		StreamRequestBody: u.streamsBodies, MaxRequestBodySize: maxBodyBytes,
	}
	server := u.server
	go func() { _ = server.Serve(ln) }()
	return nil
}

// trackConn keeps the set of open connections, so that crash can reset them.
func (u *upstream) trackConn(c net.Conn, state fasthttp.ConnState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if state == fasthttp.StateClosed {
		delete(u.conns, c)
		return
	}
	u.conns[c] = struct{}{}
}

// discardLogger drops the server's messages about connections that the run resets.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// crash resets all connections and stops the server.
func (u *upstream) crash() {
	u.mu.Lock()
	server, serving := u.server, u.serving
	u.serving = false
	if serving && !u.outlivedByListener {
		u.proxy.refuse()
	}
	for c := range u.conns {
		resetConnection(c)
	}
	u.mu.Unlock()
	if serving {
		go func() { _ = server.Shutdown() }()
	}
}

const (
	// slowFactor multiplies the processing time of a slow upstream.
	slowFactor = 10
	// resetRatio is the fraction of runs whose connection a resetting upstream closes, in
	// each resetPeriod runs.
	resetRatio  = 0.7
	resetPeriod = 10
	// callTimeout is the timeout of an upstream's own calls. The upstream waits one
	// second longer for the response.
	callTimeout = time.Second
)

// responseBody returns the expected response body of a request.
func responseBody(service, id string) string {
	return service + " ran " + id + strings.Repeat(".", 200)
}

// handle records the arrival of a request and processes it. A request that expects
// another upstream is rejected without a record. Shedding and the defects
// falseNotExecuted and mixedResponses apply to every second request.
func (u *upstream) handle(ctx *fasthttp.RequestCtx) {
	id := string(ctx.Request.Header.Peek(platform.HeaderRequestID))
	remainingMS, _ := strconv.Atoi(string(ctx.Request.Header.Peek(platform.HeaderDeadline)))
	expected := string(ctx.Request.Header.Peek(platform.HeaderExpectInstance))
	a := arrival{id: id, service: u.service, upstream: u.id, remaining: time.Duration(remainingMS) * time.Millisecond, executed: true}
	ctx.Response.Header.SetNoDefaultContentType(true)
	ctx.Response.Header.Set(platform.HeaderRequestID, id)
	switch {
	case expected != "" && expected != u.id:
		ctx.SetStatusCode(fasthttp.StatusMisdirectedRequest)
		return
	case strings.HasPrefix(id, crasherID):
		u.history.recordArrival(a)
		u.crash()
		return
	case strings.HasPrefix(id, endlessID):
		u.history.recordArrival(a)
		u.answerWithoutEnd(ctx, id)
		return
	case u.shedding.Load() && u.requestCount.Add(1)%2 == 0:
		a.executed = false
		u.history.recordArrival(a)
		ctx.Response.Header.Set(platform.HeaderNotExecuted, "1")
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	if strings.HasPrefix(id, framingID) {
		a.id = markMalformed(&ctx.Request.Header, id)
	}
	u.history.recordArrival(a)
	if strings.HasPrefix(id, uploadsID) {
		u.receiveUpload(ctx)
		return
	}
	if u.defect == falseNotExecuted && u.requestCount.Add(1)%2 == 0 {
		ctx.Response.Header.Set(platform.HeaderNotExecuted, "1")
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	if u.resetting.Load() && float64(u.requestCount.Add(1)%resetPeriod) < resetRatio*resetPeriod {
		resetConnection(ctx.Conn())
		return
	}
	if u.malformAnswer(ctx, id) {
		return
	}
	u.repeatRefusal(ctx)
	work := u.workTime
	if u.slow.Load() {
		work *= slowFactor
	}
	time.Sleep(work)
	ctx.Response.Header.Set(platform.HeaderResponseStamp, u.id)
	if strings.HasPrefix(string(ctx.Path()), "/tree/") && !u.callLeaf(id) {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	if u.defect == mixedResponses && u.requestCount.Add(1)%2 == 0 {
		id += "-other"
	}
	ctx.SetBodyString(responseBody(u.service, id))
}

// callLeaf makes one call through the node on behalf of the request parent and returns
// whether it succeeded. The call's ID is that of parent, a dot and a number.
func (u *upstream) callLeaf(parent string) bool {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	r := &request{id: fmt.Sprintf("%s.%d", parent, u.callCount.Add(1)), node: -1, idempotent: true, fromUpstream: true, timeout: callTimeout}
	u.history.recordRequest(r)
	req.SetRequestURI("http://" + u.nodeAddress + "/leaf/" + r.id)
	req.UseHostHeader = true
	req.Header.SetHost(virtualHost)
	req.Header.Set(platform.HeaderRequestID, r.id)
	req.Header.Set(platform.HeaderDeadline, strconv.FormatInt(callTimeout.Milliseconds(), 10))
	err := fasthttp.DoTimeout(req, resp, callTimeout+time.Second)
	return err == nil && resp.StatusCode() == fasthttp.StatusOK
}
