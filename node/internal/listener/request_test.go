package listener_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/core/http1/http1test"
	"github.com/shallotspool/shallotspool/node/internal/listener"
)

// pipeListener accepts connections without a network, on which each write arrives as one packet.
type pipeListener struct {
	conns     chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeListener) dial() net.Conn {
	ours, theirs := net.Pipe()
	l.conns <- theirs
	return ours
}

// handledRequests are the requests that a handler got, as "method target body", in the order of their start.
type handledRequests struct {
	mu  sync.Mutex
	all []string
}

func (h *handledRequests) add(text string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.all = append(h.all, text)
}

func (h *handledRequests) take() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	taken := h.all
	h.all = nil
	return taken
}

// startOnPipes serves an echo on pipes.
func startOnPipes(tb testing.TB) (*pipeListener, *handledRequests) {
	handled := &handledRequests{}
	l := listener.New(listener.Config{
		Limits:         func() listener.Limits { return listener.Limits{MaxHeaderBytes: 1 << 10, MaxBodyBytes: 1 << 10} },
		MaxConnections: 16, Go: func(f func()) { go f() },
		Handler: func(ctx context.Context, x *listener.Exchange) {
			handled.add(fmt.Sprintf("%s %s %s", x.Request.Header.Method(), x.Request.Header.RequestURI(), x.Request.Body()))
			echo(ctx, x)
		},
	})
	pipes := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	go func() { _ = l.Serve(pipes) }()
	tb.Cleanup(l.Close)
	return pipes, handled
}

// exchange sends packets on a new connection until the listener closes it, and returns the responses, as "status body".
func exchange(pipes *pipeListener, packets []string) (responses []string) {
	conn := pipes.dial()
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		in := bufio.NewReader(conn)
		for {
			var resp fasthttp.Response
			if resp.Read(in) != nil {
				return
			}
			responses = append(responses, fmt.Sprintf("%d %s", resp.StatusCode(), resp.Body()))
			if resp.ConnectionClose() {
				return
			}
		}
	}()
	for _, packet := range packets {
		if _, err := io.WriteString(conn, packet); err != nil {
			break
		}
	}
	// A pipe cannot be closed for writing alone: the last packet is followed by a request that ends the connection.
	_, _ = io.WriteString(conn, lastRequest)
	<-ended
	return responses
}

const (
	lastPath    = "/last-of-the-connection"
	lastRequest = "GET " + lastPath + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
)

// scriptedConn is a connection on which packets arrive, and then its end.
type scriptedConn struct {
	net.Conn
	packets []string
	closed  chan struct{}
}

func (c *scriptedConn) Read(p []byte) (int, error) {
	for len(c.packets) > 0 && c.packets[0] == "" {
		c.packets = c.packets[1:]
	}
	if len(c.packets) == 0 {
		return 0, io.EOF
	}
	n := copy(p, c.packets[0])
	c.packets[0] = c.packets[0][n:]
	return n, nil
}

func (c *scriptedConn) Write(p []byte) (int, error)      { return len(p), nil }
func (c *scriptedConn) SetReadDeadline(time.Time) error  { return nil }
func (c *scriptedConn) SetWriteDeadline(time.Time) error { return nil }
func (c *scriptedConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }

func (c *scriptedConn) Close() error {
	close(c.closed)
	return nil
}

// split cuts text at positions.
func split(text string, positions ...int) (packets []string) {
	start := 0
	for _, end := range append(positions, len(text)) {
		packets, start = append(packets, text[start:end]), end
	}
	return packets
}

// TestRequestsAtAnySplitAreAnsweredInOrder guards against good requests that are lost or answered out of order because of a
// malformed one behind them, and against bytes behind that one that are read as a request.
func TestRequestsAtAnySplitAreAnsweredInOrder(t *testing.T) {
	const good = "PUT /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab\r\nPUT /2 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nc\r\n0\r\nA: b\r\n\r\n"
	const start = "PUT /odd HTTP/1.1\r\nHost: h\r\n"
	pipes, handled := startOnPipes(t)
	for _, odd := range []string{
		start + "Content Length: 2\r\n\r\nab", start + "Transfer-Encoding: identity\r\n\r\n", start + "Transfer-Encoding: chunked\r\n\r\n5;\nhello\r\n0\r\n\r\n",
		start + "A: b\n\r\n", start + "X A: b\r\n\r\n", start + "Transfer-Encoding: chunked\r\n\r\n0\r\nX A: b\r\n\r\n", "\x16\x03\x01\r\n\r\n",
	} {
		text := good + odd + "GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n"
		for at := 1; at < len(good+odd); at++ {
			got := exchange(pipes, split(text, at))
			if want := []string{"200 ab", "200 c", "400 "}; !slices.Equal(got, want) {
				t.Errorf("%q, split at %d: got %q, want %q", odd, at, got, want)
			}
			ran := handled.take()
			slices.Sort(ran)
			if want := []string{"PUT /1 ab", "PUT /2 c"}; !slices.Equal(ran, want) {
				t.Errorf("%q, split at %d: %q ran, want %q", odd, at, ran, want)
			}
		}
		if got := exchange(pipes, strings.Split(text, "")); len(got) != 3 || got[1] != "200 c" {
			t.Errorf("%q, byte by byte: got %q", odd, got)
		}
		handled.take()
	}
}

// FuzzConnection guards against a connection of which a request is handled that a strict reader does not see.
func FuzzConnection(f *testing.F) {
	const start = "PUT /a HTTP/1.1\r\nHost: h\r\n"
	f.Add(start+"Content-Length: 2\r\n\r\nab"+start+"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", uint16(40))
	f.Add(start+"Content Length: 2\r\n\r\nab", uint16(3))
	f.Add(start+"Transfer-Encoding: identity\r\n\r\n"+start+"\r\n", uint16(60))
	f.Add(start+"Transfer-Encoding: chunked\r\n\r\n5;\nhello\r\n0\r\n\r\n", uint16(70))
	f.Add("GET http://other/b?c HTTP/1.0\r\nConnection: keep-alive\r\nExpect: 100-continue\r\n\r\n", uint16(0))
	pipes, handled := startOnPipes(f)
	f.Fuzz(func(t *testing.T, text string, at uint16) {
		conn := &scriptedConn{packets: split(text, min(int(at), len(text))), closed: make(chan struct{})}
		pipes.conns <- conn
		<-conn.closed
		wanted, _ := http1test.Read(text, 1<<10)
		var want []string
		for _, r := range wanted {
			want = append(want, fmt.Sprintf("%s %s %s", r.Method, r.Path(), r.Body))
		}
		// Requests of a connection run at once, and may be refused for other reasons than their form.
		got := handled.take()
		for _, ran := range got {
			i := slices.Index(want, ran)
			if i < 0 {
				t.Fatalf("%q ran, want one of %q", ran, want)
			}
			want = slices.Delete(want, i, i+1)
		}
	})
}
