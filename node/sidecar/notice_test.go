package sidecar_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// limitedRequests sends requests from callers of two nodes for a while, and returns how
// many reached an upstream that names a limit, and the time from its first answer on.
func limitedRequests(t *testing.T, f *fleet, limit string, d time.Duration) (arrived int, elapsed time.Duration) {
	upstream := f.upstreams[deep]
	upstream.setResponse(func(ctx *fasthttp.RequestCtx) { ctx.Response.Header.Set("X-Limit", limit) })
	callers := []*caller{f.caller(front), f.caller(deep)}
	before := len(upstream.receivedRequests())
	start := time.Now()
	for i := 0; time.Since(start) < d; i++ {
		got := callers[i%2].request("GET", fmt.Sprintf("/read/%d", i), fmt.Sprint("r", i))
		if got.status != 200 && (got.status != 503 || got.header["Retry-After"] == "") {
			t.Fatalf("got %+v, want status 200, or 503 with Retry-After", got)
		}
		time.Sleep(2 * time.Millisecond)
	}
	return len(upstream.receivedRequests()) - before, time.Since(start)
}

// TestNamedLimitHoldsForAllNodes guards against sending an upstream more requests than the
// limit that it names, summed over all nodes.
func TestNamedLimitHoldsForAllNodes(t *testing.T) {
	const limit = 5.0
	f := newFleet(t, "front/"+front, "deep/"+deep)
	arrived, elapsed := limitedRequests(t, f, "5.0", 2*time.Second)
	// The platform allows one and a half times the limit, and 5 requests.
	if allowed := 1.5*limit*elapsed.Seconds() + 5; float64(arrived) > allowed {
		t.Errorf("%d requests arrived in %v, allowed %.0f", arrived, elapsed, allowed)
	}
	if arrived == 0 {
		t.Error("no request arrived, want about as many as the limit allows")
	}
}

// TestLeavingUpstreamGetsNoMoreRequests guards against sending requests to an upstream
// after it said in an answer that it is about to leave.
func TestLeavingUpstreamGetsNoMoreRequests(t *testing.T) {
	f := newFleet(t, "front/"+front, "deep/"+deep, "deep/"+secondDeep)
	f.upstreams[deep].setResponse(func(ctx *fasthttp.RequestCtx) {
		ctx.Response.Header.Set("X-Leaving", "1")
		ctx.SetBodyString("from " + deep)
	})
	c := f.caller(front)
	for i := 0; c.request("GET", "/read/1", fmt.Sprint("first", i)).body != "from "+deep; i++ {
		if i > 1000 {
			t.Fatal("no request reached the upstream that is about to leave")
		}
	}
	for i := range 50 {
		if got := c.request("GET", "/read/1", fmt.Sprint("next", i)); got.body != "from "+secondDeep {
			t.Fatalf("request %d after the answer got %+v, want an answer from %s", i, got, secondDeep)
		}
	}
}
