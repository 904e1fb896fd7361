package pool_test

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/core/http1"
)

// TestMalformedBytesAfterResponseCloseConnection guards against a connection that is used again although bytes that
// are no response follow the last one.
func TestMalformedBytesAfterResponseCloseConnection(t *testing.T) {
	for _, after := range []string{"x", "\x00\x01", "\r\n", "HTTP/1.1 000 OK\r\n\r\n"} {
		p := serve(t, "HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 2\r\n\r\nok"+after, "HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 5\r\n\r\nright")
		_, first, err := exchange(t, p)
		if err != nil {
			t.Fatalf("%q after a response: %v", after, err)
		}
		p.Put(first)
		resp, second, err := exchange(t, p)
		if err != nil || second == first || string(resp.Body()) != "right" {
			t.Errorf("%q after a response: body %q and error %v on the same connection: %v", after, resp.Body(), err, second == first)
		}
	}
}

// TestMalformedResponseToHeadIsRejected guards against a malformed response that is accepted because no body is due.
func TestMalformedResponseToHeadIsRejected(t *testing.T) {
	for text, rejected := range map[string]bool{
		"HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 5\r\n\r\n":           false,
		"HTTP/1.1 000 OK\r\nId: own\r\nContent-Length: 5\r\n\r\n":           true,
		"HTTP/1.1 200 OK\r\nId: own\r\nX A: b\r\nContent-Length: 5\r\n\r\n": true,
	} {
		p := serve(t, text)
		conn, err := p.Get(time.Second)
		if err != nil {
			t.Fatal(err)
		}
		var req fasthttp.Request
		var resp fasthttp.Response
		req.Header.SetMethod(fasthttp.MethodHead)
		req.SetRequestURI("/")
		req.Header.SetHost("h")
		_ = conn.SetDeadline(time.Now().Add(30 * time.Second))
		err = conn.ExchangeWithOptions(&req, &resp, options)
		if got := new(*http1.MalformedError); errors.As(err, got) != rejected || (err == nil) == rejected {
			t.Errorf("%q: error %v, want one: %v", text, err, rejected)
		}
	}
}
