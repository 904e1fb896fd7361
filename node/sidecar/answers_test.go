package sidecar_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
)

// TestRepeatedRefusalIsNotTakenForTheAnswer guards against an upstream that writes an earlier
// refusal once more on a connection in use: callers were told "not run" of a request that had
// run, or it ran a second time elsewhere.
func TestRepeatedRefusalIsNotTakenForTheAnswer(t *testing.T) {
	for name, refusal := range map[string]string{
		"without ID": "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"empty ID":   "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nX-Id:\r\nContent-Length: 0\r\n\r\n",
		"own ID":     "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nX-Id: earlier\r\nContent-Length: 0\r\n\r\n",
		"moved":      "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n",
		"success":    "HTTP/1.1 200 OK\r\nX-Stamp: s\r\nContent-Length: 5\r\n\r\nother",
	} {
		f := newFleet(t, "front/"+front, "deep/"+deep, "deep/"+secondDeep)
		for _, upstream := range f.upstreams {
			// The first request on a connection gets one answer, each further one has the earlier
			// refusal before its own.
			upstream.setResponse(func(ctx *fasthttp.RequestCtx) {
				if ctx.ConnRequestNum() > 1 {
					_, _ = ctx.Conn().Write([]byte(refusal))
				}
				ctx.SetBodyString("ran " + string(ctx.Path()))
			})
		}
		c := f.caller(front)
		for i := range 12 {
			path := fmt.Sprintf("/write/%d", i)
			if got := c.request("POST", path, fmt.Sprintf("%s-%d", name, i)); got.status != 200 || got.body != "ran "+path {
				t.Errorf("%s: got %+v for request %d, want its own answer", name, got, i)
			}
		}
		received := append(f.upstreams[deep].receivedRequests(), f.upstreams[secondDeep].receivedRequests()...)
		if len(received) != 12 {
			t.Errorf("%s: upstreams ran %d requests, want each of 12 once: %s", name, len(received), strings.Join(received, ", "))
		}
	}
}

// TestAnswerWithTwoHeadsIsNotDelivered guards against an answer whose head stopped halfway and
// was continued by that of another answer.
func TestAnswerWithTwoHeadsIsNotDelivered(t *testing.T) {
	f := newFleet(t, "front/"+front, "deep/"+deep)
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nX-Stamp: s\r\nX-Id: %s\r\nX-Part: HTTP/1.1 200 OK\r\nX-Stamp: t\r\nX-Id: other\r\nContent-Length: 5\r\n\r\nother",
		"HTTP/1.1 200 OK\r\nX-Stamp: s\r\nX-Id: %s\r\nX-Part: HTTP/1.1 200 OK\r\nX-Stamp: t\r\nContent-Length: 5\r\n\r\nother",
		"HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nX-Id: %s\r\nX-Part: HTTP/1.1 200 OK\r\nX-Stamp: t\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
	} {
		f.upstreams[deep].setResponse(func(ctx *fasthttp.RequestCtx) {
			_, _ = fmt.Fprintf(ctx.Conn(), head, ctx.Request.Header.Peek("X-Id"))
			_ = ctx.Conn().Close()
		})
		if got := f.caller(front).request("POST", "/write/1", "r1"); got.status != 502 || got.body != "" {
			t.Errorf("got %+v after %q, want status 502 without a body", got, head)
		}
	}
}
