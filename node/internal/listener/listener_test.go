package listener_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/node/internal/listener"
)

// testTimeout bounds each wait for an expected event.
const testTimeout = 30 * time.Second

// start serves h on a loopback address and returns the Listener and that address.
func start(t *testing.T, limits listener.Limits, h listener.Handler) (*listener.Listener, string) {
	l := listener.New(listener.Config{
		Handler: h, Limits: func() listener.Limits { return limits }, MaxConnections: 16, Go: func(f func()) { go f() },
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = l.Serve(ln) }()
	t.Cleanup(l.Close)
	return l, ln.Addr().String()
}

// echo responds with the request's body. It also removes "Connection: close"
// from the request, which must not influence the connection any more.
func echo(_ context.Context, x *listener.Exchange) {
	x.Request.Header.ResetConnectionClose()
	x.Response.SetBody(x.Request.Body())
}

func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	return conn, bufio.NewReader(conn)
}

func send(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}

// receive reads one response; closes reports whether it has "Connection: close".
func receive(t *testing.T, in *bufio.Reader) (status int, body string, closes bool) {
	t.Helper()
	var resp fasthttp.Response
	if err := resp.Read(in); err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode(), string(resp.Body()), resp.ConnectionClose()
}

// expectEOF checks that the listener has closed the connection.
func expectEOF(t *testing.T, in *bufio.Reader) {
	t.Helper()
	if b, err := in.ReadByte(); err != io.EOF {
		t.Fatalf("got byte %q, error %v; want EOF", b, err)
	}
}

func TestReadsBodiesWithLengthAndChunked(t *testing.T) {
	_, address := start(t, listener.Limits{}, echo)
	conn, in := dial(t, address)
	send(t, conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc")
	send(t, conn, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nde\r\n1\r\nf\r\n0\r\n\r\n")
	for _, want := range []string{"abc", "def"} {
		if status, body, closes := receive(t, in); status != 200 || body != want || closes {
			t.Fatalf("got status %d, body %q, closes %v; want status 200, body %q, closes false", status, body, closes, want)
		}
	}
}

// TestClosesConnectionOnCallersRequest checks that a request with "Connection:
// close" ends the connection after its response, even if the handler removes the
// field from the request.
func TestClosesConnectionOnCallersRequest(t *testing.T) {
	_, address := start(t, listener.Limits{}, echo)
	conn, in := dial(t, address)
	send(t, conn, "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 1\r\n\r\na")
	if _, body, closes := receive(t, in); body != "a" || !closes {
		t.Fatalf("got body %q, closes %v; want body \"a\", closes true", body, closes)
	}
	expectEOF(t, in)
}

func TestRejectsRequestsOverLimits(t *testing.T) {
	limits := listener.Limits{MaxHeaderBytes: 4096, MaxBodyBytes: 10}
	for text, want := range map[string]int{
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n01234567890":       413,
		"GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 5000) + "\r\n\r\n": 431,
		"what is this\r\n\r\n": 400,
	} {
		_, address := start(t, limits, echo)
		conn, in := dial(t, address)
		send(t, conn, text)
		if status, _, closes := receive(t, in); status != want || !closes {
			t.Errorf("%.40q: got status %d, closes %v; want status %d, closes true", text, status, closes, want)
		}
	}
}

func TestCancelsContextOnDisconnect(t *testing.T) {
	started, cancelled := make(chan struct{}), make(chan struct{})
	_, address := start(t, listener.Limits{}, func(ctx context.Context, _ *listener.Exchange) {
		close(started)
		<-ctx.Done()
		close(cancelled)
	})
	conn, _ := dial(t, address)
	// After "Connection: close" only watchDisconnect reads from the connection.
	send(t, conn, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	<-started
	_ = conn.Close()
	select {
	case <-cancelled:
	case <-time.After(testTimeout):
		t.Fatal("the context was not cancelled")
	}
}

// TestDrainClosesConnections checks that while draining, the last response on a
// connection has "Connection: close", and idle connections are closed.
func TestDrainClosesConnections(t *testing.T) {
	release, started := make(chan struct{}), make(chan struct{})
	l, address := start(t, listener.Limits{}, func(_ context.Context, x *listener.Exchange) {
		close(started)
		<-release
		x.Response.SetBody(x.Request.Body())
	})
	busy, in := dial(t, address)
	send(t, busy, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\na")
	_, idleIn := dial(t, address)
	<-started
	for l.ConnectionCount() < 2 {
		time.Sleep(time.Millisecond)
	}
	l.Drain()
	l.CloseIdle()
	expectEOF(t, idleIn)
	close(release)
	if _, body, closes := receive(t, in); body != "a" || !closes {
		t.Fatalf("got body %q, closes %v; want body \"a\", closes true", body, closes)
	}
	expectEOF(t, in)
	for deadline := time.Now().Add(testTimeout); l.ConnectionCount() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d connections are still open, want 0", l.ConnectionCount())
		}
	}
}

// TestChunkedOverridesContentLength guards against request smuggling: a request
// with both Content-Length and chunked encoding is read as chunked, and bytes
// after it are not read as another request.
func TestChunkedOverridesContentLength(t *testing.T) {
	_, address := start(t, listener.Limits{}, echo)
	conn, in := dial(t, address)
	send(t, conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 40\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n")
	if _, body, closes := receive(t, in); body != "ab" || !closes {
		t.Fatalf("got body %q, closes %v; want body \"ab\", closes true", body, closes)
	}
	expectEOF(t, in)
}

// TestServeAfterCloseReturns guards against a node that waits for ever when it is ended
// right after its start, before its listener serves.
func TestServeAfterCloseReturns(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := listener.New(listener.Config{})
	l.Close()
	if err := l.Serve(ln); err != nil {
		t.Errorf("got error %v, want none", err)
	}
	if _, err := ln.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("got error %v, want the listener closed", err)
	}
}
