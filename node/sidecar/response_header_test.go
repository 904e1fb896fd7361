package sidecar_test

import (
	"io"
	"net"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/node/internal/pool"
)

// TestLargestResponseHeaderIsDelivered guards against an answer that the node beside the upstream
// accepts and that is lost at the node where the request entered, because of the header fields
// that nodes add.
func TestLargestResponseHeaderIsDelivered(t *testing.T) {
	f := newFleet(t, "front/"+front, "deep/"+deep)
	u := f.upstreams[deep]
	for length := pool.MaxHeaderBytes - 400; length < pool.MaxHeaderBytes; length += 10 {
		u.setResponse(func(ctx *fasthttp.RequestCtx) { ctx.Response.Header.Set("Field", strings.Repeat("f", length)) })
		beside, entry := f.caller(deep).request("GET", "/read/x", "r1"), f.caller(front).request("GET", "/read/x", "r2")
		if beside.status != entry.status {
			t.Errorf("a field of %d bytes: status %d beside the upstream, %d at the other node", length, beside.status, entry.status)
		}
	}
}

// TestResponseHeaderThatNodesWriteLongerIsDelivered guards against an answer whose header grows
// beyond the limit between nodes, as the first one writes a blank after each colon.
func TestResponseHeaderThatNodesWriteLongerIsDelivered(t *testing.T) {
	f := newFleet(t, "front/"+front, "deep/"+deep)
	const head = "HTTP/1.1 200 OK\r\nX-Id:r\r\nX-Stamp:s\r\nContent-Length:2\r\n"
	const field = "A:\r\n"
	head16KB := head + strings.Repeat(field, (pool.MaxHeaderBytes-len(head)-len("\r\n"))/len(field)) + "\r\n"
	f.upstreams[deep].setResponse(func(ctx *fasthttp.RequestCtx) {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(conn net.Conn) { _, _ = io.WriteString(conn, head16KB+"ok") })
	})
	for _, entry := range []string{deep, front} {
		if got := f.caller(entry).request("GET", "/read/x", "r"); got.status != fasthttp.StatusOK || got.body != "ok" {
			t.Errorf("at %s: got status %d and body %q, want 200", entry, got.status, got.body)
		}
	}
}
