package sidecar_test

import (
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
