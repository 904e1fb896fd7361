package sidecar_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// zeroStatusLines are status lines with status 000.
var zeroStatusLines = []string{"HTTP/1.1 000 OK", "HTTP/1.1 000", "HTTP/1.1 000 ", "HTTP/1.0 000 OK"}

// zeroFramings are fields and bodies of a response, with a length, in chunks, until the connection is
// closed, and without a body.
var zeroFramings = []string{
	"Content-Length: 6\r\n\r\nbroken", "Transfer-Encoding: chunked\r\n\r\n6\r\nbroken\r\n0\r\n\r\n", "\r\nbroken", "Content-Length: 0\r\n\r\n",
	// What follows would be a whole response, if the first head were an interim one.
	"\r\nHTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Stamp: s\r\nContent-Length: 6\r\n\r\nbroken",
}

// receiveTo receives the response to a request of a method.
func (c *caller) receiveTo(method string) (got callerResponse) {
	c.t.Helper()
	_ = c.conn.SetReadDeadline(time.Now().Add(waitTimeout))
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		c.t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	return callerResponse{status: resp.StatusCode, body: string(body), header: map[string]string{"X-Stamp": resp.Header.Get("X-Stamp")}}
}

// TestStatusZeroIsNeverDelivered guards against an answer with status 000 that reaches a caller, as a
// success or at all: on a new connection to the upstream or one in use, beside it and at another node,
// marked as not run or not, to GET, POST and HEAD.
func TestStatusZeroIsNeverDelivered(t *testing.T) {
	f := newFleet(t, "front/"+front, "deep/"+deep)
	played := 0
	for _, kept := range []bool{false, true} {
		for i, line := range zeroStatusLines {
			for j, rest := range zeroFramings {
				f.upstreams[deep].setResponse(func(ctx *fasthttp.RequestCtx) {
					if kept && strings.HasSuffix(string(ctx.Path()), "/good") {
						return
					}
					head := line + "\r\nX-Id: %s\r\nX-Stamp: s\r\n"
					if j%2 == 1 {
						head += "X-Not-Run: 1\r\n"
					}
					text := strings.ReplaceAll(head+rest, "%s", string(ctx.Request.Header.Peek("X-Id")))
					ctx.HijackSetNoResponse(true)
					ctx.Hijack(func(conn net.Conn) { _, _ = io.WriteString(conn, text) })
				})
				for k, method := range []string{"GET", "POST", "HEAD"} {
					path := map[string]string{"GET": "/read/", "POST": "/write/", "HEAD": "/read/"}[method]
					entry := []string{deep, front}[(i+j+k)%2]
					id := fmt.Sprintf("%v-%d-%d-%s", kept, i, j, method)
					c := f.caller(entry)
					if kept {
						c.send(method, path+"good", id+"-good")
						c.receiveTo(method)
					}
					c.send(method, path+"1", id)
					got := c.receiveTo(method)
					if got.status != fasthttp.StatusBadGateway && got.status != fasthttp.StatusServiceUnavailable || got.body != "" || got.header["X-Stamp"] != "" {
						t.Errorf("%q, %q, kept connection %v, %s: got %+v, want 502 or 503 with nothing of the answer", line, rest, kept, method, got)
					}
					ran := strings.Contains(strings.Join(f.upstreams[deep].receivedRequests(), "\n"), id+" ")
					if ran && method == "POST" && got.status != fasthttp.StatusBadGateway {
						t.Errorf("%q, %q, kept connection %v: status %d for a POST that has run, want 502", line, rest, kept, got.status)
					}
					if ran {
						played++
					}
				}
			}
		}
	}
	if all := 2 * len(zeroStatusLines) * len(zeroFramings) * 3; played < all/2 {
		t.Errorf("only %d of %d requests reached the upstream", played, all)
	}
}
