package pool_test

import (
	"bufio"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/node/internal/pool"
	"github.com/shallotspool/shallotspool/node/internal/rawserver"
)

// serve answers each request on each connection with the next of answers; an
// answer that ends with "END" closes the connection.
func serve(t *testing.T, answers ...string) *pool.Pool {
	var mu sync.Mutex
	address := rawserver.Serve(t, func(conn net.Conn) {
		mu.Lock()
		defer mu.Unlock()
		defer conn.Close()
		in := bufio.NewReader(conn)
		for len(answers) > 0 {
			var req fasthttp.Request
			if req.Read(in) != nil {
				return
			}
			text, ends := strings.CutSuffix(answers[0], "END")
			answers = answers[1:]
			_, _ = io.WriteString(conn, text)
			if ends {
				return
			}
		}
	})
	p := pool.New(pool.Config{Address: address, Max: 2})
	t.Cleanup(p.Close)
	return p
}

var terms = pool.Terms{MaxBody: 100, ToEnd: true, Own: func(h *fasthttp.ResponseHeader) bool {
	return string(h.Peek("Id")) == "own"
}}

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
	return resp, conn, conn.ExchangeOn(&req, resp, terms)
}

// TestLateAnswerIsPassedOver: an answer to another request does not become the
// answer to this one.
func TestLateAnswerIsPassedOver(t *testing.T) {
	p := serve(t, "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nwrong"+
		"HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 5\r\n\r\nright")
	resp, conn, err := exchange(t, p)
	if err != nil || string(resp.Body()) != "right" || !conn.Spent {
		t.Fatalf("%q %v, spent %v", resp.Body(), err, conn.Spent)
	}
}

// TestExtraAnswerSpendsTheConnection: bytes behind an answer never reach the next
// request.
func TestExtraAnswerSpendsTheConnection(t *testing.T) {
	one := "HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 5\r\n\r\nfirst"
	p := serve(t, one+"HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 5\r\n\r\nextra", strings.ReplaceAll(one, "first", "other"))
	for _, want := range []string{"first", "other"} {
		resp, conn, err := exchange(t, p)
		if err != nil || string(resp.Body()) != want {
			t.Fatalf("%q %v, want %q", resp.Body(), err, want)
		}
		p.Put(conn)
	}
}

func TestAnswersThatAreNotWhole(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 9\r\n\r\nhalfEND",
		"HTTP/1.1 200 OK\r\nId: own\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\nEND",
		"HTTP/1.1 200 OK\r\nId: ownEND",
		"these bytes are no answer\r\n\r\nEND",
		"END",
	} {
		if resp, _, err := exchange(t, serve(t, text)); err == nil {
			t.Errorf("%q was taken as %q", text, resp.Body())
		}
	}
}

func TestAnswerThatEndsWithItsConnection(t *testing.T) {
	resp, conn, err := exchange(t, serve(t, "HTTP/1.1 200 OK\r\nId: own\r\n\r\nto the endEND"))
	if err != nil || string(resp.Body()) != "to the end" || !conn.Spent {
		t.Fatalf("%q %v", resp.Body(), err)
	}
}

func TestTooManyForeignAnswers(t *testing.T) {
	foreign := "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 0\r\n\r\n"
	if _, _, err := exchange(t, serve(t, strings.Repeat(foreign, 6))); !errors.Is(err, pool.ErrForeign) {
		t.Fatal(err)
	}
}

// TestIdleConnectionIsNotTrusted: a connection that was idle for too long is
// closed instead of used.
func TestIdleConnectionIsNotTrusted(t *testing.T) {
	one := "HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 0\r\n\r\n"
	p := serve(t, one, one)
	_, conn, err := exchange(t, p)
	if err != nil {
		t.Fatal(err)
	}
	p.Put(conn)
	fresh, err := p.GetFresh(time.Second, time.Nanosecond)
	if err != nil || fresh == conn || fresh.Reused {
		t.Fatalf("the idle connection was used, %v", err)
	}
}
