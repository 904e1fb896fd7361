package listener_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/node/internal/listener"
	"github.com/shallotspool/shallotspool/node/internal/memory"
)

// startWithMemory is start with a budget for the bodies of requests.
func startWithMemory(t *testing.T, b *memory.Budget, pause time.Duration, maxBody int, h listener.Handler) (address string) {
	l := listener.New(listener.Config{
		Handler: h, Limits: func() listener.Limits { return listener.Limits{MaxBodyBytes: maxBody} }, MaxConnections: 64,
		Go: func(f func()) { go f() },
		BodyTerms: func(*listener.Exchange) listener.BodyTerms {
			return listener.BodyTerms{Lease: b.NewRequestLease("", 0), WaitUntil: time.Now().Add(pause)}
		},
		Refuse: func(x *listener.Exchange) {
			x.Response.SetStatusCode(fasthttp.StatusServiceUnavailable)
			x.Response.Header.Set("Retry-After", "1")
		},
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = l.Serve(ln) }()
	t.Cleanup(l.Close)
	return ln.Addr().String()
}

// expectReleased waits until no memory is taken.
func expectReleased(t *testing.T, what string, b *memory.Budget) {
	t.Helper()
	for end := time.Now().Add(testTimeout); b.Used() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: %d bytes stay taken", what, b.Used())
		}
	}
}

// TestMalformedBodyHoldsNothing guards against a body that is not what its header says, and is
// passed on, gets no clear answer or leaves memory taken.
func TestMalformedBodyHoldsNothing(t *testing.T) {
	const maxBody = 200_000
	chunk := fmt.Sprintf("%x\r\n%s\r\n", 60_000, strings.Repeat("x", 60_000))
	for name, c := range map[string]struct {
		request string
		// want is the status of the answer, 0 if the connection ends without one.
		want int
		// closes is set if the sender stops after the request.
		closes bool
	}{
		"length over the limit":    {"Content-Length: 200001\r\n\r\n", 413, false},
		"length beyond 64 bits":    {"Content-Length: 99999999999999999999\r\n\r\n", 400, false},
		"negative length":          {"Content-Length: -1\r\n\r\n", 400, false},
		"bytes beyond the length":  {"Content-Length: 3\r\n\r\nabcdef\r\n\r\n", 400, false},
		"chunks over the limit":    {"Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk, 4) + "0\r\n\r\n", 413, false},
		"chunk size too large":     {"Transfer-Encoding: chunked\r\n\r\n" + chunk + "7fffffff\r\n", 413, false},
		"chunk size over 32 bits":  {"Transfer-Encoding: chunked\r\n\r\n" + chunk + "fffffffff\r\n", 400, false},
		"chunk size is no number":  {"Transfer-Encoding: chunked\r\n\r\n" + chunk + "xyz\r\n", 400, false},
		"chunk without line end":   {"Transfer-Encoding: chunked\r\n\r\n3\r\nabcdef", 400, false},
		"stops within its length":  {"Content-Length: 150000\r\n\r\n" + strings.Repeat("x", 60_000), 0, true},
		"stops within its chunks":  {"Transfer-Encoding: chunked\r\n\r\n" + chunk + "ea60\r\nhalf", 0, true},
		"stops before its trailer": {"Transfer-Encoding: chunked\r\n\r\n" + chunk + "0\r\n", 0, true},
	} {
		b := memory.NewBudget(1 << 20)
		address := startWithMemory(t, b, 0, maxBody, echo)
		conn, in := dial(t, address)
		send(t, conn, "POST / HTTP/1.1\r\nHost: h\r\n"+c.request)
		if c.closes {
			_ = conn.(*net.TCPConn).CloseWrite()
		}
		var resp fasthttp.Response
		err := resp.Read(in)
		if name == "bytes beyond the length" && err == nil && resp.StatusCode() == 200 {
			// The request itself is sound; what follows it is not.
			err = resp.Read(in)
		}
		if c.want == 0 && err == nil || c.want != 0 && (err != nil || resp.StatusCode() != c.want || !resp.ConnectionClose()) {
			t.Errorf("%s: got status %d and error %v, want %d, and the connection closed", name, resp.StatusCode(), err, c.want)
		}
		expectReleased(t, name, b)
	}
}

// TestBodiesStayWithinMemory guards against bodies that take more memory than a node has: they
// wait for it, and what finds none is refused with when to come back, while small requests and
// those that fit are served.
func TestBodiesStayWithinMemory(t *testing.T) {
	const bodyBytes, callers = 1 << 20, 24
	b := memory.NewBudget(4 * bodyBytes)
	most := 0
	var mu sync.Mutex
	address := startWithMemory(t, b, 200*time.Millisecond, 2*bodyBytes, func(_ context.Context, x *listener.Exchange) {
		mu.Lock()
		most = max(most, b.Used())
		mu.Unlock()
		time.Sleep(20 * time.Millisecond)
		x.Response.SetBodyString(fmt.Sprint(len(x.Request.Body())))
	})
	large := strings.Repeat("x", bodyBytes)
	requests := map[string]string{
		"length": fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", bodyBytes, large),
		"chunks": fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", bodyBytes, large),
	}
	statuses := map[int]int{}
	var senders sync.WaitGroup
	for i := range callers {
		text := requests[[]string{"length", "chunks"}[i%2]]
		senders.Go(func() {
			conn, in := dial(t, address)
			go func() { _, _ = io.WriteString(conn, text) }()
			var resp fasthttp.Response
			if err := resp.Read(in); err != nil {
				t.Errorf("a request with a large body got no answer: %v", err)
				return
			}
			if status := resp.StatusCode(); status == 200 && string(resp.Body()) != fmt.Sprint(bodyBytes) ||
				status != 200 && (status != 503 || len(resp.Header.Peek("Retry-After")) == 0 || !resp.ConnectionClose()) {
				t.Errorf("got status %d and body %q, want 200, or 503 with Retry-After", status, resp.Body())
			}
			mu.Lock()
			statuses[resp.StatusCode()]++
			mu.Unlock()
		})
	}
	conn, in := dial(t, address)
	for range 20 {
		send(t, conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc")
		if status, body, _ := receive(t, in); status != 200 || body != "3" {
			t.Errorf("a small request beside large ones got status %d and body %q, want 200", status, body)
		}
	}
	senders.Wait()
	if most > b.Limit() || statuses[200] == 0 {
		t.Errorf("at most %d bytes taken, answers %v; want at most %d, and some with 200", most, statuses, b.Limit())
	}
	expectReleased(t, "large bodies", b)
}

// TestRefusedCallerReadsTheAnswer guards against a connection that is reset while the caller
// still sends its body, so that the caller loses the answer that its request has not run.
func TestRefusedCallerReadsTheAnswer(t *testing.T) {
	const bodyBytes = 8 << 20
	b := memory.NewBudget(1 << 20)
	address := startWithMemory(t, b, 0, bodyBytes, echo)
	for range 5 {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.SetDeadline(time.Now().Add(testTimeout))
		// The caller reads only after it has sent all.
		if _, err := fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", bodyBytes, strings.Repeat("x", bodyBytes)); err != nil {
			t.Fatalf("sending the body failed: %v", err)
		}
		if status, _, closes := receive(t, bufio.NewReader(conn)); status != 503 || !closes {
			t.Errorf("got status %d, want 503 and the connection closed", status)
		}
		_ = conn.Close()
	}
}
