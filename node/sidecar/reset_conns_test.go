package sidecar_test

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/core/mesh"
)

// limitedListener resets each connection that it accepts beyond a number of open ones.
type limitedListener struct {
	net.Listener
	slots chan struct{}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.slots <- struct{}{}:
			return &limitedConn{Conn: conn, release: sync.OnceFunc(func() { <-l.slots })}, nil
		default:
			resetConn(conn)
		}
	}
}

type limitedConn struct {
	net.Conn
	release func()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.release()
	return c.Conn.Close()
}

// take keeps one of the connections that the listener accepts, until the test ends.
func (l *limitedListener) take(t *testing.T) { l.slots <- struct{}{}; t.Cleanup(func() { <-l.slots }) }

// TestResetConnectionIsNoOutageOfUpstream guards against an upstream that counts as down, and as
// faulty for seconds, because it reset one connection beyond those that it accepts.
func TestResetConnectionIsNoOutageOfUpstream(t *testing.T) {
	f := newFleet(t, "front/"+front, "deep/"+deep)
	u := f.upstreams[deep]
	_ = u.server.Shutdown()
	ln, err := net.Listen("tcp", f.address(deep, upstreamPort))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	u.server = &fasthttp.Server{Handler: u.handle, NoDefaultServerHeader: true}
	limited := &limitedListener{Listener: ln, slots: make(chan struct{}, 2)}
	go func() { _ = u.server.Serve(limited) }()
	// The node keeps one connection without a request. The other one is taken once it is closed.
	u.setResponse(func(ctx *fasthttp.RequestCtx) { ctx.SetConnectionClose() })
	if got := f.caller(deep).request("GET", "/read/x", "first"); got.status != fasthttp.StatusOK {
		t.Fatalf("got status %d for the first request, want 200", got.status)
	}
	limited.take(t)
	unsent := func() bool {
		for line := range strings.Lines(f.logs.String()) {
			if strings.Contains(line, "reset by peer") && (strings.Contains(line, "sent=false") || strings.Contains(line, "not connected")) {
				return true
			}
		}
		return false
	}
	for i := 0; !unsent(); i++ {
		if i == 30 {
			t.Fatal("no connection was reset before its request was sent")
		}
		// A request that was sent may count as failed. Far apart, such failures mean nothing.
		time.Sleep(5 * mesh.HeartbeatInterval)
		if got := f.caller(deep).request("POST", "/write/x", fmt.Sprint("beyond", i)); got.status == fasthttp.StatusOK {
			t.Fatal("a request is answered whose connection is reset")
		}
	}
	// Changes of what the node knows of its upstream are logged with the next plan.
	time.Sleep(4 * mesh.HeartbeatInterval)
	for line := range strings.Lines(f.logs.String()) {
		if strings.Contains(line, `msg="upstream faulty"`) || strings.Contains(line, `msg="upstream regained"`) {
			t.Errorf("a connection that was reset counts as an outage of the upstream: %s", line)
		}
	}
}
