package pool_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/node/internal/memory"
	"github.com/shallotspool/shallotspool/node/internal/pool"
	"github.com/shallotspool/shallotspool/node/internal/rawserver"
)

// serve starts a server that writes the next of responses for each request it
// reads, and returns a pool of connections to it. It serves one connection at a
// time, and closes it after the last response or after one that ends with "END"
// (which is not sent).
func serve(t *testing.T, responses ...string) *pool.Pool {
	var mu sync.Mutex
	address := rawserver.Serve(t, func(conn net.Conn) {
		mu.Lock()
		defer mu.Unlock()
		defer conn.Close()
		in := bufio.NewReader(conn)
		for len(responses) > 0 {
			var req fasthttp.Request
			if req.Read(in) != nil {
				return
			}
			text, closes := strings.CutSuffix(responses[0], "END")
			responses = responses[1:]
			_, _ = io.WriteString(conn, text)
			if closes {
				return
			}
		}
	})
	p := pool.New(pool.Config{Address: address, MaxConnections: 2})
	t.Cleanup(p.Close)
	return p
}

// options identifies the response to the request by its header field "Id: own".
var options = pool.ExchangeOptions{MaxBodyBytes: 100, AllowUnknownLength: true, Match: pool.MatchField("Id", "own")}

// exchange sends a GET request on a connection of p.
func exchange(t *testing.T, p *pool.Pool) (*fasthttp.Response, *pool.Conn, error) {
	conn, err := p.Get(time.Second)
	if err != nil {
		t.Fatal(err)
	}
	var req fasthttp.Request
	resp := &fasthttp.Response{}
	req.SetRequestURI("/")
	req.Header.SetHost("h")
	_ = conn.SetDeadline(time.Now().Add(30 * time.Second))
	return resp, conn, conn.ExchangeWithOptions(&req, resp, options)
}

// TestExchangeSkipsUnmatchedResponse guards against a response to another
// request being returned as the response to this one.
func TestExchangeSkipsUnmatchedResponse(t *testing.T) {
	p := serve(t, "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nwrong"+
		"HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 5\r\n\r\nright")
	resp, conn, err := exchange(t, p)
	if err != nil || string(resp.Body()) != "right" || !conn.NotReusable {
		t.Fatalf("got body %q, error %v, NotReusable %v; want the second response, NotReusable true", resp.Body(), err, conn.NotReusable)
	}
}

// TestPutClosesConnectionWithUnreadBytes guards against bytes after a response
// being read as the response to the next request on the connection.
func TestPutClosesConnectionWithUnreadBytes(t *testing.T) {
	first := "HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 5\r\n\r\nfirst"
	p := serve(t, first+"HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 5\r\n\r\nextra", strings.ReplaceAll(first, "first", "other"))
	for _, want := range []string{"first", "other"} {
		resp, conn, err := exchange(t, p)
		if err != nil || string(resp.Body()) != want {
			t.Fatalf("got body %q, error %v; want body %q", resp.Body(), err, want)
		}
		p.Put(conn)
	}
}

func TestExchangeRejectsIncompleteResponse(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 9\r\n\r\nhalfEND",
		"HTTP/1.1 200 OK\r\nId: own\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\nEND",
		"HTTP/1.1 200 OK\r\nId: ownEND",
		"these bytes are no answer\r\n\r\nEND",
		"END",
	} {
		if resp, _, err := exchange(t, serve(t, text)); err == nil {
			t.Errorf("%q was accepted with body %q", text, resp.Body())
		}
	}
}

func TestExchangeReadsResponseWithoutLength(t *testing.T) {
	resp, conn, err := exchange(t, serve(t, "HTTP/1.1 200 OK\r\nId: own\r\n\r\nto the endEND"))
	if err != nil || string(resp.Body()) != "to the end" || !conn.NotReusable {
		t.Fatalf("got body %q, error %v; want the body up to the end of the connection, which is not reused", resp.Body(), err)
	}
}

func TestExchangeLimitsUnmatchedResponses(t *testing.T) {
	unmatched := "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 0\r\n\r\n"
	// At most 4 responses are read for a request.
	if _, _, err := exchange(t, serve(t, strings.Repeat(unmatched, 6))); !errors.Is(err, pool.ErrTooManyUnmatched) {
		t.Fatalf("got error %v, want ErrTooManyUnmatched", err)
	}
}

// TestGetClosesExpiredConnection checks that a connection that has been idle for
// too long is not reused.
func TestGetClosesExpiredConnection(t *testing.T) {
	text := "HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 0\r\n\r\n"
	p := serve(t, text, text)
	_, conn, err := exchange(t, p)
	if err != nil {
		t.Fatal(err)
	}
	p.Put(conn)
	fresh, err := p.GetWithMaxIdleTime(time.Second, time.Nanosecond)
	if err != nil || fresh == conn || fresh.Reused {
		t.Fatalf("got error %v, or the idle connection; want a new connection", err)
	}
}

// endlessResponses are responses that continue until the connection is closed. Each is a
// beginning and what is repeated after it.
var endlessResponses = map[string][2]string{
	"status line":       {"HTTP/1.1 200 ", "x"},
	"field":             {"HTTP/1.1 200 OK\r\nId: own\r\nA: ", "x"},
	"many fields":       {"HTTP/1.1 200 OK\r\nId: own\r\n", "A: x\r\n"},
	"interim responses": {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	"other responses":   {"", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1\r\n\r\nx"},
	"stated length":     {"HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 9000000000000000000\r\n\r\n", "x"},
	"chunks":            {"HTTP/1.1 200 OK\r\nId: own\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	"one chunk":         {"HTTP/1.1 200 OK\r\nId: own\r\nTransfer-Encoding: chunked\r\n\r\n7fffffff\r\n", "x"},
	"chunk size":        {"HTTP/1.1 200 OK\r\nId: own\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
	"chunk extension":   {"HTTP/1.1 200 OK\r\nId: own\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
	"trailer":           {"HTTP/1.1 200 OK\r\nId: own\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", "A: x\r\n"},
	"until closed":      {"HTTP/1.1 200 OK\r\nId: own\r\n\r\n", "x"},
}

// TestEndlessResponseIsCutOff guards against a response without end that takes memory and
// time without bound.
func TestEndlessResponseIsCutOff(t *testing.T) {
	const repeats, maxBody, timeout = 4 << 10, 1 << 20, 20 * time.Second
	for name, response := range endlessResponses {
		written := make(chan int, 1)
		address := rawserver.Serve(t, func(conn net.Conn) {
			var req fasthttp.Request
			_ = req.Read(bufio.NewReader(conn))
			_, err := io.WriteString(conn, response[0])
			block, total := []byte(strings.Repeat(response[1], repeats)), 0
			for err == nil {
				var n int
				n, err = conn.Write(block)
				total += n
			}
			_ = conn.Close()
			written <- total
		})
		p := pool.New(pool.Config{Address: address, MaxConnections: 1})
		budget := memory.NewBudget(maxBody)
		conn, err := p.Get(time.Second)
		if err != nil {
			t.Fatal(err)
		}
		lease, opts := budget.NewLease(), options
		opts.MaxBodyBytes, opts.Lease, opts.WaitUntil = maxBody, lease, time.Now().Add(timeout)
		var req fasthttp.Request
		req.SetRequestURI("/")
		req.Header.SetHost("h")
		_ = conn.SetDeadline(time.Now().Add(timeout))
		started := time.Now()
		err = conn.ExchangeWithOptions(&req, &fasthttp.Response{}, opts)
		if err == nil || time.Since(started) > timeout/2 {
			t.Errorf("%s: error %v after %v, want one long before the deadline", name, err, time.Since(started))
		}
		if budget.Used() > maxBody {
			t.Errorf("%s: %d bytes taken, want at most %d", name, budget.Used(), maxBody)
		}
		lease.Release()
		p.Discard(conn)
		p.Close()
		// Socket buffers of both sides may hold some megabytes more than was read.
		if total := <-written; total > 32<<20 {
			t.Errorf("%s: %d bytes were read", name, total)
		}
		if budget.Used() != 0 {
			t.Errorf("%s: %d bytes are still taken, want none", name, budget.Used())
		}
	}
}

// TestLongBodiesAreReadWhole guards against true long bodies being cut off or changed.
func TestLongBodiesAreReadWhole(t *testing.T) {
	body := strings.Repeat("0123456789abcdef", 200<<10)
	chunks := &strings.Builder{}
	for rest := body; rest != ""; {
		n := min(len(rest), 1+len(rest)/3)
		fmt.Fprintf(chunks, "%X ;a=b\r\n%s\r\n", n, rest[:n])
		rest = rest[n:]
	}
	for name, text := range map[string]string{
		"stated length": fmt.Sprintf("HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: %d\r\n\r\n%s", len(body), body),
		"chunks":        "HTTP/1.1 200 OK\r\nId: own\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks.String() + "0\r\nA: b\r\n\r\n",
		"until closed":  "HTTP/1.1 200 OK\r\nId: own\r\n\r\n" + body + "END",
	} {
		p := serve(t, text)
		conn, err := p.Get(time.Second)
		if err != nil {
			t.Fatal(err)
		}
		budget := memory.NewBudget(2 * len(body))
		lease, opts := budget.NewLease(), options
		opts.MaxBodyBytes, opts.Lease, opts.WaitUntil = len(body), lease, time.Now().Add(time.Minute)
		var req fasthttp.Request
		resp := &fasthttp.Response{}
		req.SetRequestURI("/")
		req.Header.SetHost("h")
		_ = conn.SetDeadline(time.Now().Add(time.Minute))
		if err := conn.ExchangeWithOptions(&req, resp, opts); err != nil || string(resp.Body()) != body {
			t.Errorf("%s: error %v and %d bytes, want the whole body of %d bytes", name, err, len(resp.Body()), len(body))
		}
		// A small part of each body is not charged.
		if held := budget.Used(); held < len(body)-32<<10 {
			t.Errorf("%s: %d bytes taken, want about the size of the body", name, held)
		}
	}
}

// TestUnnamedResponseIsAcceptedOnlyAsTheFirst guards against an earlier response, written once
// more without the name of its request, that is taken for the one to the next request.
func TestUnnamedResponseIsAcceptedOnlyAsTheFirst(t *testing.T) {
	own := "HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 5\r\n\r\nright"
	unnamed := "HTTP/1.1 503 Busy\r\nContent-Length: 5\r\n\r\nwrong"
	p := serve(t, own, unnamed+own)
	for range 2 {
		resp, conn, err := exchange(t, p)
		if err != nil || string(resp.Body()) != "right" {
			t.Fatalf("got body %q, error %v; want the response that names the request", resp.Body(), err)
		}
		p.Put(conn)
	}
	resp, conn, err := exchange(t, serve(t, unnamed+own))
	if err != nil || string(resp.Body()) != "wrong" || !conn.NotReusable {
		t.Fatalf("got body %q, error %v, NotReusable %v; want the first response, on a connection not used again", resp.Body(), err, conn.NotReusable)
	}
	other := "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 0\r\n\r\n"
	if resp, _, err := exchange(t, serve(t, other+unnamed+own)); err != nil || string(resp.Body()) != "right" {
		t.Fatalf("got body %q, error %v; want the response that names the request after others", resp.Body(), err)
	}
}

// TestHeadOfTwoResponsesIsRejected guards against a head that stopped halfway and was continued
// by that of another response.
func TestHeadOfTwoResponsesIsRejected(t *testing.T) {
	whole := "HTTP/1.1 200 OK\r\nId: own\r\nServer: a\r\nContent-Length: 5\r\n\r\nright"
	// After a cut within the status line, what follows is a whole response.
	first, end := strings.Index(whole, "Id: own")+1, strings.Index(whole, "\r\n\r\n")
	for cut := first; cut <= end; cut++ {
		if resp, _, err := exchange(t, serve(t, whole[:cut]+strings.ReplaceAll(whole, "right", "other")+"END")); err == nil {
			t.Errorf("accepted with head %q after %q", resp.Header.Header(), whole[:cut])
		}
	}
}
