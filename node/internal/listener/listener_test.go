package listener_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/node/internal/listener"
)

const patience = 30 * time.Second

func start(t *testing.T, limits listener.Limits, h listener.Handler) (*listener.Listener, string) {
	l := listener.New(listener.Config{
		Handler: h, Limits: func() listener.Limits { return limits }, MaxConnections: 16, Go: func(do func()) { go do() },
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = l.Serve(ln) }()
	t.Cleanup(l.Close)
	return l, ln.Addr().String()
}

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
	_ = conn.SetDeadline(time.Now().Add(patience))
	return conn, bufio.NewReader(conn)
}

func send(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}

func receive(t *testing.T, in *bufio.Reader) (status int, body string, closes bool) {
	t.Helper()
	var resp fasthttp.Response
	if err := resp.Read(in); err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode(), string(resp.Body()), resp.ConnectionClose()
}

func atEnd(t *testing.T, in *bufio.Reader) {
	t.Helper()
	if b, err := in.ReadByte(); err != io.EOF {
		t.Fatalf("byte %q, error %v; want the end", b, err)
	}
}

func TestBodiesWithLengthAndInChunks(t *testing.T) {
	_, address := start(t, listener.Limits{}, echo)
	conn, in := dial(t, address)
	send(t, conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc")
	send(t, conn, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nde\r\n1\r\nf\r\n0\r\n\r\n")
	for _, want := range []string{"abc", "def"} {
		if status, body, closes := receive(t, in); status != 200 || body != want || closes {
			t.Fatalf("%d %q %v, want %q", status, body, closes, want)
		}
	}
}

// TestCallerThatCloses: a caller that asks for the end of the connection gets it
// after its answer, whatever the handler did to the request.
func TestCallerThatCloses(t *testing.T) {
	_, address := start(t, listener.Limits{}, echo)
	conn, in := dial(t, address)
	send(t, conn, "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 1\r\n\r\na")
	if _, body, closes := receive(t, in); body != "a" || !closes {
		t.Fatalf("%q %v", body, closes)
	}
	atEnd(t, in)
}

func TestRequestsOverTheLimits(t *testing.T) {
	limits := listener.Limits{HeaderBytes: 4096, BodyBytes: 10}
	for text, want := range map[string]int{
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n01234567890":       413,
		"GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 5000) + "\r\n\r\n": 431,
		"what is this\r\n\r\n": 400,
	} {
		_, address := start(t, limits, echo)
		conn, in := dial(t, address)
		send(t, conn, text)
		if status, _, closes := receive(t, in); status != want || !closes {
			t.Errorf("%.40q: %d, closes %v; want %d", text, status, closes, want)
		}
	}
}

func TestContextEndsWithTheCaller(t *testing.T) {
	began, ended := make(chan struct{}), make(chan struct{})
	_, address := start(t, listener.Limits{}, func(ctx context.Context, _ *listener.Exchange) {
		close(began)
		<-ctx.Done()
		close(ended)
	})
	conn, _ := dial(t, address)
	send(t, conn, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	<-began
	_ = conn.Close()
	select {
	case <-ended:
	case <-time.After(patience):
		t.Fatal("the context goes on")
	}
}

// TestDrainEndsConnections: while draining, the last answer of a connection says
// that it ends, and an idle connection is closed.
func TestDrainEndsConnections(t *testing.T) {
	release, began := make(chan struct{}), make(chan struct{})
	l, address := start(t, listener.Limits{}, func(_ context.Context, x *listener.Exchange) {
		close(began)
		<-release
		x.Response.SetBody(x.Request.Body())
	})
	busy, in := dial(t, address)
	send(t, busy, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\na")
	idle, idleIn := dial(t, address)
	_ = idle
	<-began
	for l.Open() < 2 {
		time.Sleep(time.Millisecond)
	}
	l.Drain()
	l.CloseIdle()
	atEnd(t, idleIn)
	close(release)
	if _, body, closes := receive(t, in); body != "a" || !closes {
		t.Fatalf("%q %v", body, closes)
	}
	atEnd(t, in)
	for end := time.Now().Add(patience); l.Open() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("connections stay open")
		}
	}
}

// TestTwoLengths: with both a length and chunks the chunks hold, and nothing is
// read behind them.
func TestTwoLengths(t *testing.T) {
	_, address := start(t, listener.Limits{}, echo)
	conn, in := dial(t, address)
	send(t, conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 40\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n")
	if _, body, closes := receive(t, in); body != "ab" || !closes {
		t.Fatalf("%q %v", body, closes)
	}
	atEnd(t, in)
}
