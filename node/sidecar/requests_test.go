package sidecar_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/core/registry"
	"github.com/shallotspool/shallotspool/core/route"
	"github.com/shallotspool/shallotspool/core/store"
)

// The instances of the tests. The service "front" runs on the first, "deep" on the
// others.
const (
	front      = "127.0.3.1"
	deep       = "127.0.3.2"
	secondDeep = "127.0.3.3"
)

func TestRequestReachesAnotherInstance(t *testing.T) {
	f := newFleet(t, "front/"+front, "deep/"+deep)
	got := f.caller(front).request("GET", "/read/1?q=2", "r1")
	if got.status != 200 || got.body != "from "+deep || got.header["X-Stamp"] != "s" {
		t.Fatalf("got %+v, want status 200 from %s and its stamp\n%s", got, deep, f.logs)
	}
	if receivedRequests := f.upstreams[deep].receivedRequests(); len(receivedRequests) != 1 || receivedRequests[0] != "r1 front /read/1?q=2" {
		t.Fatalf("upstream received %v, want only \"r1 front /read/1?q=2\"", receivedRequests)
	}
	for name := range got.header {
		if strings.HasPrefix(name, "Shallot") {
			t.Fatalf("the caller received the header field %s", name)
		}
	}
}

func TestUnknownRouteIsNotFound(t *testing.T) {
	f := newFleet(t, "front/"+front)
	if got := f.caller(front).request("GET", "/nothing/1", "r1"); got.status != 404 {
		t.Fatalf("got %+v, want status 404", got)
	}
}

// TestNodeWithoutTableAnswers503 checks that a node without a routing table responds
// that the request did not run, and not that the route does not exist.
func TestNodeWithoutTableAnswers503(t *testing.T) {
	f := &fleet{t: t, store: newFakeStore(), sidecars: nil, upstreams: map[string]*fakeUpstream{}, logs: &syncBuffer{}}
	f.sidecars = newFleet(t, "front/"+front).sidecars
	f.store.unavailable = true
	for i := range f.ports {
		f.ports[i] = freePort(t)
	}
	f.startNode("front", front)
	got := f.caller(front).request("GET", "/read/1", "r1")
	if got.status != 503 || got.header["Retry-After"] == "" {
		t.Fatalf("got %+v, want status 503 with Retry-After", got)
	}
}

// TestPipelinedResponsesComeInOrder checks that the response to the second of two
// pipelined requests, which is available first, is held back until the first response
// is sent.
func TestPipelinedResponsesComeInOrder(t *testing.T) {
	f := newFleet(t, "front/"+front, "deep/"+deep)
	secondServed := make(chan struct{})
	f.upstreams[deep].setResponse(func(ctx *fasthttp.RequestCtx) {
		if strings.HasSuffix(string(ctx.Path()), "/1") {
			<-secondServed
		} else {
			defer close(secondServed)
		}
		ctx.SetBody(ctx.Path())
	})
	c := f.caller(front)
	c.send("GET", "/read/1", "r1")
	c.send("GET", "/read/2", "r2")
	for _, want := range []string{"/read/1", "/read/2"} {
		if got := c.receive(); got.body != want {
			t.Fatalf("body %q, want %q", got.body, want)
		}
	}
}

// TestCallerDisconnectCancelsRun checks that the connection to the upstream is closed
// once the caller has closed its own.
func TestCallerDisconnectCancelsRun(t *testing.T) {
	f := newFleet(t, "front/"+front, "deep/"+deep)
	started, ended := make(chan struct{}), make(chan struct{})
	f.upstreams[deep].setResponse(func(ctx *fasthttp.RequestCtx) {
		close(started)
		var b [1]byte
		_, _ = ctx.Conn().Read(b[:])
		close(ended)
	})
	c := f.caller(front)
	c.send("GET", "/read/1", "r1")
	<-started
	_ = c.conn.Close()
	select {
	case <-ended:
	case <-time.After(waitTimeout):
		t.Fatal("the run was not cancelled")
	}
}

// TestMovedUpstreamGetsNoMoreRequests checks that a registration gets no more requests
// after a different upstream responded once at its address.
func TestMovedUpstreamGetsNoMoreRequests(t *testing.T) {
	f := newFleet(t, "front/"+front, "deep/"+deep)
	f.upstreams[deep].mu.Lock()
	f.upstreams[deep].id = "i-other"
	f.upstreams[deep].mu.Unlock()
	c := f.caller(front)
	for range 3 {
		if got := c.request("POST", "/write/1", "r1"); got.status != 503 {
			t.Fatalf("got %+v, want status 503", got)
		}
	}
	f.upstreams[deep].mu.Lock()
	defer f.upstreams[deep].mu.Unlock()
	if n := f.upstreams[deep].misdirected; n != 1 {
		t.Fatalf("%d requests were sent to the moved upstream, want 1\n%s", n, f.logs)
	}
}

// TestNotExecutedRequestRunsElsewhere checks that a request that one upstream did not
// run is sent to another one, even if it is not idempotent.
func TestNotExecutedRequestRunsElsewhere(t *testing.T) {
	f := newFleet(t, "front/"+front, "deep/"+deep, "deep/"+secondDeep)
	f.upstreams[deep].setResponse(func(ctx *fasthttp.RequestCtx) {
		ctx.Response.Header.Del("X-Stamp")
		ctx.Response.Header.Set("X-Not-Run", "1")
		ctx.SetStatusCode(503)
	})
	c := f.caller(front)
	for range 4 {
		if got := c.request("POST", "/write/1", "r1"); got.status != 200 || got.body != "from "+secondDeep {
			t.Fatalf("got %+v, want status 200 from %s\n%s", got, secondDeep, f.logs)
		}
	}
}

// TestLostResponseIsNotRetried checks that a non-idempotent request whose response is
// lost is not sent again, and that the caller is not told that it did not run.
func TestLostResponseIsNotRetried(t *testing.T) {
	f := newFleet(t, "front/"+front, "deep/"+deep, "deep/"+secondDeep)
	dropConnection := func(ctx *fasthttp.RequestCtx) { _ = ctx.Conn().Close() }
	f.upstreams[deep].setResponse(dropConnection)
	f.upstreams[secondDeep].setResponse(dropConnection)
	if got := f.caller(front).request("POST", "/write/1", "r1"); got.status != 502 {
		t.Fatalf("got %+v, want status 502", got)
	}
	if n := len(f.upstreams[deep].receivedRequests()) + len(f.upstreams[secondDeep].receivedRequests()); n != 1 {
		t.Fatalf("upstreams received %d requests, want 1", n)
	}
}

// TestUnstampedResponseIsNotDelivered checks that a response that the upstream did not
// stamp is not delivered to the caller.
func TestUnstampedResponseIsNotDelivered(t *testing.T) {
	f := newFleet(t, "front/"+front, "deep/"+deep)
	f.upstreams[deep].setResponse(func(ctx *fasthttp.RequestCtx) {
		ctx.Response.Header.Del("X-Stamp")
		ctx.SetBodyString("nobody's")
	})
	if got := f.caller(front).request("POST", "/write/1", "r1"); got.status != 502 || got.body != "" {
		t.Fatalf("got %+v, want status 502 without a body\n%s", got, f.logs)
	}
}

func TestDrainingUpstreamGetsNoRequests(t *testing.T) {
	f := newFleet(t, "front/"+front, "deep/"+deep, "deep/"+secondDeep)
	f.register("deep", deep, true)
	f.eventually("draining state known", func() bool { return strings.Count(f.logs.String(), "draining=true") == 3 })
	c := f.caller(front)
	for range 8 {
		if got := c.request("GET", "/read/1", "r1"); got.body != "from "+secondDeep {
			t.Fatalf("got %+v, want a response from %s", got, secondDeep)
		}
	}
}

// TestOlderTableIsIgnored checks that a new table takes effect and that an older table,
// published later, does not replace it.
func TestOlderTableIsIgnored(t *testing.T) {
	f := newFleet(t, "front/"+front, "deep/"+deep)
	newer := testTable(3)
	newer.Routes = newer.Routes[:1]
	newer.BuildIndex()
	f.store.publish(store.Changes{Tables: []*route.Table{newer, testTable(2)}})
	f.eventually("version 3", func() bool { return strings.Contains(f.logs.String(), "version=3") })
	c := f.caller(front)
	f.eventually("the removed route is unknown", func() bool { return c.request("POST", "/write/1", "r1").status == 404 })
	f.store.publish(store.Changes{Upstreams: []registry.Change{{ID: "x"}}, Tables: []*route.Table{testTable(1)}})
	if got := c.request("POST", "/write/1", "r2"); got.status != 404 {
		t.Fatalf("got %+v, want status 404", got)
	}
}

// TestNodeGetsStateFromPeers checks that a node that starts while it cannot reach the
// store gets the table and the upstreams from other nodes.
func TestNodeGetsStateFromPeers(t *testing.T) {
	f := newFleet(t, "front/"+front, "deep/"+deep, "deep/"+secondDeep)
	f.sidecars[front].Abort()
	workingStore := f.store
	f.store = newFakeStore()
	f.store.unavailable = true
	f.startNode("front", front)
	f.eventually("ready without the store", func() bool { return f.ready(front) })
	if got := f.caller(front).request("POST", "/write/1", "r1"); got.status != 200 {
		t.Fatalf("got %+v, want status 200\n%s", got, f.logs)
	}
	// Later changes that the other nodes read from the store reach the node too. The
	// change to draining has revision 5, after the table and three registrations.
	f.store = workingStore
	f.register("deep", deep, true)
	f.eventually("draining state known", func() bool {
		return f.caller(front).request("GET", "/read/1", "r2").body == "from "+secondDeep &&
			strings.Contains(f.logs.String(), "revision=5")
	})
}

// TestOldListingRemovesNothing checks that a listing older than a node's own state
// removes no upstream, and that later changes still apply. Such a listing is read after
// the store has dropped its history.
func TestOldListingRemovesNothing(t *testing.T) {
	f := newFleet(t, "front/"+front, "deep/"+deep)
	f.store.mu.Lock()
	f.store.watchesWithoutHistory = 2
	f.store.mu.Unlock()
	f.eventually("history gone", func() bool { return strings.Count(f.logs.String(), "store history gone") == 2 })
	c := f.caller(front)
	// The grace period could delay a removal.
	for end := time.Now().Add(registry.ReturnGracePeriod + time.Second); time.Now().Before(end); {
		if got := c.request("GET", "/read/1", "r1"); got.status != 200 {
			t.Fatalf("got %+v, want status 200\n%s", got, f.logs)
		}
		time.Sleep(20 * time.Millisecond)
	}
	f.register("deep", deep, true)
	f.eventually("draining state known", func() bool { return strings.Count(f.logs.String(), "draining=true") == 2 })
}

// TestRouteTimeoutEndsRequest checks that a request whose upstream does not respond
// fails at the route's timeout and not only at the caller's deadline of 4 s.
func TestRouteTimeoutEndsRequest(t *testing.T) {
	f := newFleet(t, "front/"+front, "deep/"+deep)
	table := testTable(2)
	for _, r := range table.Routes {
		r.Timeout = 200 * time.Millisecond
	}
	f.store.publish(store.Changes{Tables: []*route.Table{table}})
	f.eventually("version 2", func() bool { return strings.Count(f.logs.String(), "version=2") >= 2 })
	f.upstreams[deep].setResponse(func(*fasthttp.RequestCtx) { time.Sleep(3 * time.Second) })
	for _, path := range []string{"/write/1", "/read/1"} {
		started := time.Now()
		got := f.caller(front).request("POST", path, "r1")
		if took := time.Since(started); got.status != 504 || took > 2*time.Second {
			t.Errorf("%s: got %+v after %v, want status 504 within 2s\n%s", path, got, took, f.logs)
		}
	}
}

// TestCrashIsRecognisedBesideOpenConnection guards against a crash of the upstream that is
// taken for a lost response, because the reset of an idle connection to it has not arrived
// yet.
func TestCrashIsRecognisedBesideOpenConnection(t *testing.T) {
	f := newFleet(t, "front/"+front, "deep/"+deep)
	upstream := f.upstreams[deep]
	both := make(chan struct{}, 2)
	upstream.setResponse(func(*fasthttp.RequestCtx) {
		both <- struct{}{}
		for len(both) < 2 {
			time.Sleep(time.Millisecond)
		}
	})
	first, second := f.caller(front), f.caller(front)
	first.send("POST", "/write/1", "r1")
	second.send("POST", "/write/2", "r2")
	if a, b := first.receive(), second.receive(); a.status != 200 || b.status != 200 {
		t.Fatalf("got status %d and %d, want 200 twice, on two connections to the upstream", a.status, b.status)
	}
	upstream.setResponse(func(ctx *fasthttp.RequestCtx) {
		_ = upstream.listener.Close()
		_ = ctx.Conn().Close()
	})
	if got := first.request("POST", "/write/3", "r3"); got.status != 502 {
		t.Fatalf("got %+v, want status 502", got)
	}
	f.eventually("the crash is recognised", func() bool {
		for line := range strings.Lines(f.logs.String()) {
			if strings.Contains(line, `msg="upstream crashed"`) && strings.Contains(line, "request=r3") {
				return true
			}
		}
		return false
	})
}

// TestCrashIsRecognisedWhileListenerLives guards against a request that goes on crashing an
// upstream whose connections are still accepted, by a proxy or a listener that outlives the
// process; and against taking a single closed connection for a crash.
func TestCrashIsRecognisedWhileListenerLives(t *testing.T) {
	for _, processEnds := range []bool{true, false} {
		f := newFleet(t, "front/"+front, "deep/"+deep)
		upstream := f.upstreams[deep]
		conns := make(chan net.Conn, 2)
		upstream.setResponse(func(ctx *fasthttp.RequestCtx) {
			conns <- ctx.Conn()
			for len(conns) < 2 {
				time.Sleep(time.Millisecond)
			}
		})
		first, second := f.caller(front), f.caller(front)
		first.send("POST", "/write/1", "r1")
		second.send("POST", "/write/2", "r2")
		if a, b := first.receive(), second.receive(); a.status != 200 || b.status != 200 {
			t.Fatalf("got status %d and %d, want 200 twice, on two connections to the upstream", a.status, b.status)
		}
		upstream.setResponse(func(ctx *fasthttp.RequestCtx) {
			for len(conns) > 0 && processEnds {
				_ = (<-conns).Close()
			}
			_ = ctx.Conn().Close()
		})
		if got := first.request("POST", "/write/3", "r3"); got.status != 502 {
			t.Fatalf("got %+v, want status 502", got)
		}
		want := `msg="answer lost"`
		if processEnds {
			want = `msg="upstream crashed"`
		}
		f.eventually(want, func() bool {
			for line := range strings.Lines(f.logs.String()) {
				if strings.Contains(line, want) && strings.Contains(line, "request=r3") {
					return true
				}
			}
			return false
		})
	}
}

// TestEndlessBodiesLeaveRoomForOthers guards against bodies without end, and callers that
// read slowly, that take all the memory for responses: they are cut off, true long bodies
// are delivered whole, other requests go on, and no memory stays taken.
func TestEndlessBodiesLeaveRoomForOthers(t *testing.T) {
	const longBody = 20 << 20
	f := newFleet(t, "front/"+front, "deep/"+deep)
	long := strings.Repeat("0123456789abcdef", longBody/16)
	f.upstreams[deep].setResponse(func(ctx *fasthttp.RequestCtx) {
		switch path := string(ctx.Path()); {
		case strings.HasPrefix(path, "/read/endless"):
			id := string(ctx.Request.Header.Peek("X-Id"))
			ctx.HijackSetNoResponse(true)
			ctx.Hijack(func(conn net.Conn) {
				_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: "+id+"\r\nX-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n")
				for block := "400\r\n" + strings.Repeat("x", 0x400) + "\r\n"; err == nil; {
					_, err = io.WriteString(conn, block)
				}
			})
		case strings.HasPrefix(path, "/read/long"):
			ctx.SetBodyString(long)
		}
	})
	var notReading []*caller
	for i := range 6 {
		endless, slow := f.caller(front), f.caller(front)
		endless.send("GET", fmt.Sprintf("/read/endless/%d", i), fmt.Sprint("e", i))
		slow.send("GET", fmt.Sprintf("/read/long/%d", i), fmt.Sprint("l", i))
		notReading = append(notReading, endless, slow)
	}
	// The only upstream counts as faulty meanwhile, so that some requests are refused.
	other, served := f.caller(front), 0
	for i := range 50 {
		got := other.request("GET", "/read/short", fmt.Sprint("s", i))
		if got.status != 200 && (got.status != 503 || got.header["Retry-After"] == "") {
			t.Fatalf("request %d beside endless ones got %+v, want status 200, or 503 with Retry-After", i, got)
		}
		if got.status == 200 {
			served++
		}
	}
	if served == 0 {
		t.Error("no request was served beside endless ones")
	}
	// A slow machine reaches the deadline before it has read too much.
	if got := f.requestUntilSent(deep, "/read/endless", "e"); got.status != 502 && got.status != 504 {
		t.Errorf("got status %d for a body without end, want 502 or 504", got.status)
	}
	for _, c := range notReading {
		_ = c.conn.Close()
	}
	f.eventually("a long body is delivered", func() bool {
		got := f.caller(deep).request("GET", "/read/long", "l")
		return got.status == 200 && got.body == long
	})
	f.eventually("no memory is taken", func() bool { return f.responseMemory(front) == 0 && f.responseMemory(deep) == 0 })
}

// TestPopularRequestWithLostAnswersIsServed guards against a harmless request of many callers
// that is blocked as if it crashed upstreams, because the answers to some of its runs are
// lost or are garbage. The upstreams stay up. Of the requests as many are served as runs
// complete, less a tenth.
func TestPopularRequestWithLostAnswersIsServed(t *testing.T) {
	const requests = 100
	for _, tt := range []struct {
		name      string
		lostOfTen uint64
		lose      func(net.Conn)
	}{
		{"3 of 10 reset", 3, resetConn}, {"7 of 10 reset", 7, resetConn}, {"7 of 10 garbage", 7, sendGarbage},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(t, "front/"+front, "deep/"+deep, "deep/"+secondDeep)
			for i, ip := range []string{deep, secondDeep} {
				random := rand.New(rand.NewPCG(1, uint64(i)))
				var mu sync.Mutex
				f.upstreams[ip].setResponse(func(ctx *fasthttp.RequestCtx) {
					mu.Lock()
					lost := random.Uint64N(10) < tt.lostOfTen
					mu.Unlock()
					if lost {
						ctx.HijackSetNoResponse(true)
						ctx.Hijack(tt.lose)
					}
				})
			}
			served, c := 0, f.caller(front)
			for i := range requests {
				if c.request("GET", "/read/popular", fmt.Sprint("p", i)).status == 200 {
					served++
				}
			}
			want := requests * (10 - int(tt.lostOfTen)) / 10 * 9 / 10
			if served < want || strings.Contains(f.logs.String(), `msg="request blocked"`) {
				t.Errorf("%d of %d served, want at least %d and no request blocked", served, requests, want)
			}
		})
	}
}

// resetConn closes a connection so that the remote side is sent a reset.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func sendGarbage(conn net.Conn) {
	_, _ = io.WriteString(conn, "\x00\x01garbage")
	_ = conn.Close()
}

// acceptedConns is a listener that keeps the connections it has accepted, so that a test can
// end them all, as the end of a process does.
type acceptedConns struct {
	net.Listener
	mu    sync.Mutex
	conns []net.Conn
}

// Accept implements net.Listener.
func (l *acceptedConns) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.mu.Lock()
		l.conns = append(l.conns, conn)
		l.mu.Unlock()
	}
	return conn, err
}

// end resets all connections accepted so far.
func (l *acceptedConns) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.conns {
		resetConn(conn)
	}
	l.conns = nil
}

// TestLoneCrasherIsBlockedBehindListener guards against a request that goes on crashing
// upstreams behind listeners that outlive them, because no other request's connection shows
// that the process ended.
func TestLoneCrasherIsBlockedBehindListener(t *testing.T) {
	f := newFleet(t, "front/"+front, "deep/"+deep, "deep/"+secondDeep)
	var runs atomic.Int32
	for _, ip := range []string{deep, secondDeep} {
		u := f.upstreams[ip]
		_ = u.server.Shutdown()
		ln, err := net.Listen("tcp", f.address(ip, upstreamPort))
		if err != nil {
			t.Fatal(err)
		}
		conns := &acceptedConns{Listener: ln}
		t.Cleanup(func() { _ = ln.Close() })
		u.server = &fasthttp.Server{Handler: u.handle, NoDefaultServerHeader: true}
		go func() { _ = u.server.Serve(conns) }()
		u.setResponse(func(*fasthttp.RequestCtx) {
			runs.Add(1)
			conns.end()
		})
	}
	c := f.caller(front)
	for i := range 30 {
		c.request("GET", "/read/deadly", fmt.Sprint("d", i))
		time.Sleep(20 * time.Millisecond)
	}
	if got := runs.Load(); got > 3 {
		t.Errorf("the request ran at %d crashes, want at most 3", got)
	}
}
