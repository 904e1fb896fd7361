package sidecar_test

import (
	"fmt"
	"io"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// TestTimeToReadBodyCountsInDeadline guards against an upstream that is given more time than its
// caller still waits, because the deadline was counted from the end of a body that came slowly.
func TestTimeToReadBodyCountsInDeadline(t *testing.T) {
	const timeout, pause = 4000, 700 * time.Millisecond
	f := newFleet(t, "front/"+front, "deep/"+deep)
	var left atomic.Int64
	f.upstreams[deep].setResponse(func(ctx *fasthttp.RequestCtx) {
		ms, _ := strconv.Atoi(string(ctx.Request.Header.Peek("X-Left")))
		left.Store(int64(ms))
	})
	c := f.caller(front)
	started := time.Now()
	if _, err := fmt.Fprintf(c.conn, "POST /write/1 HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\nX-Left: %d\r\nContent-Length: 4\r\n\r\nab", timeout); err != nil {
		t.Fatal(err)
	}
	time.Sleep(pause)
	waited := time.Since(started).Milliseconds()
	if _, err := io.WriteString(c.conn, "cd"); err != nil {
		t.Fatal(err)
	}
	if got := c.receive(); got.status != 200 {
		t.Fatalf("got %+v, want status 200", got)
	}
	if got := left.Load(); got > timeout-waited+50 {
		t.Errorf("the upstream was given %d ms, %d ms after the header of a request that waits %d ms", got, waited, timeout)
	}
}

// TestBodyIsNotReadBeyondDeadline guards against a request whose body stops, that holds its
// connection and memory though its caller no longer waits.
func TestBodyIsNotReadBeyondDeadline(t *testing.T) {
	f := newFleet(t, "front/"+front, "deep/"+deep)
	c := f.caller(front)
	if _, err := io.WriteString(c.conn, "POST /write/1 HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\nX-Left: 300\r\nContent-Length: 40000\r\n\r\nab"); err != nil {
		t.Fatal(err)
	}
	started := time.Now()
	if got := c.receive(); got.status != fasthttp.StatusRequestTimeout || time.Since(started) > waitTimeout/2 {
		t.Errorf("got %+v after %v, want status 408, which says that the request has not run", got, time.Since(started))
	}
	if n := len(f.upstreams[deep].receivedRequests()); n != 0 {
		t.Errorf("the upstream received %d requests, want none", n)
	}
}
