package sidecar_test

import (
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/core/registry"
	"github.com/shallotspool/shallotspool/core/route"
	"github.com/shallotspool/shallotspool/core/store"
)

const (
	front = "127.0.3.1"
	deep  = "127.0.3.2"
	deep2 = "127.0.3.3"
)

func TestRequestReachesAnotherInstance(t *testing.T) {
	f := newFleet(t, "front/"+front, "deep/"+deep)
	got := f.caller(front).ask("GET", "/read/1?q=2", "r1")
	if got.status != 200 || got.body != "from "+deep || got.header["X-Stamp"] != "s" {
		t.Fatalf("%+v\n%s", got, f.logs)
	}
	if runs := f.upstreams[deep].runs(); len(runs) != 1 || runs[0] != "r1 front /read/1?q=2" {
		t.Fatalf("runs %v", runs)
	}
	for name := range got.header {
		if strings.HasPrefix(name, "Shallot") {
			t.Fatalf("the caller sees %s", name)
		}
	}
}

func TestUnknownRouteIsNotFound(t *testing.T) {
	f := newFleet(t, "front/"+front)
	if got := f.caller(front).ask("GET", "/nothing/1", "r1"); got.status != 404 {
		t.Fatalf("%+v", got)
	}
}

// TestNodeWithoutTableRefuses: a node that knows no table says that the request
// has not run, never that there is no such route.
func TestNodeWithoutTableRefuses(t *testing.T) {
	f := &fleet{t: t, store: newFakeStore(), sidecars: nil, upstreams: map[string]*upstream{}, logs: &syncBuffer{}}
	f.sidecars = newFleet(t, "front/"+front).sidecars
	f.store.down = true
	for i := range f.ports {
		f.ports[i] = freePort(t)
	}
	f.start("front", front)
	got := f.caller(front).ask("GET", "/read/1", "r1")
	if got.status != 503 || got.header["Retry-After"] == "" {
		t.Fatalf("%+v", got)
	}
}

// TestPipelinedAnswersComeInOrder: the second answer is there first and waits for
// the first.
func TestPipelinedAnswersComeInOrder(t *testing.T) {
	f := newFleet(t, "front/"+front, "deep/"+deep)
	second := make(chan struct{})
	f.upstreams[deep].behave(func(ctx *fasthttp.RequestCtx) {
		if strings.HasSuffix(string(ctx.Path()), "/1") {
			<-second
		} else {
			defer close(second)
		}
		ctx.SetBody(ctx.Path())
	})
	c := f.caller(front)
	c.send("GET", "/read/1", "r1")
	c.send("GET", "/read/2", "r2")
	for _, want := range []string{"/read/1", "/read/2"} {
		if got := c.receive(); got.body != want {
			t.Fatalf("body %q, want %q", got.body, want)
		}
	}
}

// TestCallerThatLeavesEndsItsRun: the upstream's connection is closed soon after
// the caller's.
func TestCallerThatLeavesEndsItsRun(t *testing.T) {
	f := newFleet(t, "front/"+front, "deep/"+deep)
	began, ended := make(chan struct{}), make(chan struct{})
	f.upstreams[deep].behave(func(ctx *fasthttp.RequestCtx) {
		close(began)
		var b [1]byte
		_, _ = ctx.Conn().Read(b[:])
		close(ended)
	})
	c := f.caller(front)
	c.send("GET", "/read/1", "r1")
	<-began
	_ = c.conn.Close()
	select {
	case <-ended:
	case <-time.After(patience):
		t.Fatal("the run goes on")
	}
}

// TestMovedUpstreamIsTriedNoMore: after one answer of another upstream at its
// address an entry gets no more requests.
func TestMovedUpstreamIsTriedNoMore(t *testing.T) {
	f := newFleet(t, "front/"+front, "deep/"+deep)
	f.upstreams[deep].mu.Lock()
	f.upstreams[deep].id = "i-other"
	f.upstreams[deep].mu.Unlock()
	c := f.caller(front)
	for range 3 {
		if got := c.ask("POST", "/write/1", "r1"); got.status != 503 {
			t.Fatalf("%+v", got)
		}
	}
	if n := strings.Count(f.logs.String(), "reason=moved"); n != 1 {
		t.Fatalf("%d requests were sent to an upstream that has moved\n%s", n, f.logs)
	}
}

// TestShedRequestGoesElsewhere: what one upstream did not run another does, also
// if it must not run twice.
func TestShedRequestGoesElsewhere(t *testing.T) {
	f := newFleet(t, "front/"+front, "deep/"+deep, "deep/"+deep2)
	f.upstreams[deep].behave(func(ctx *fasthttp.RequestCtx) {
		ctx.Response.Header.Del("X-Stamp")
		ctx.Response.Header.Set("X-Not-Run", "1")
		ctx.SetStatusCode(503)
	})
	c := f.caller(front)
	for range 4 {
		if got := c.ask("POST", "/write/1", "r1"); got.status != 200 || got.body != "from "+deep2 {
			t.Fatalf("%+v\n%s", got, f.logs)
		}
	}
}

// TestLostAnswerIsUnknown: a request that must not run twice and whose answer is
// lost is neither sent again nor called not run.
func TestLostAnswerIsUnknown(t *testing.T) {
	f := newFleet(t, "front/"+front, "deep/"+deep, "deep/"+deep2)
	lose := func(ctx *fasthttp.RequestCtx) { _ = ctx.Conn().Close() }
	f.upstreams[deep].behave(lose)
	f.upstreams[deep2].behave(lose)
	if got := f.caller(front).ask("POST", "/write/1", "r1"); got.status != 502 {
		t.Fatalf("%+v", got)
	}
	if n := len(f.upstreams[deep].runs()) + len(f.upstreams[deep2].runs()); n != 1 {
		t.Fatalf("%d runs", n)
	}
}

// TestUnstampedAnswerIsNotPassedOn: bytes that are not the upstream's own never
// reach the caller as a success.
func TestUnstampedAnswerIsNotPassedOn(t *testing.T) {
	f := newFleet(t, "front/"+front, "deep/"+deep)
	f.upstreams[deep].behave(func(ctx *fasthttp.RequestCtx) {
		ctx.Response.Header.Del("X-Stamp")
		ctx.SetBodyString("nobody's")
	})
	if got := f.caller(front).ask("POST", "/write/1", "r1"); got.status != 502 || got.body != "" {
		t.Fatalf("%+v", got)
	}
}

func TestDrainingUpstreamGetsNoMore(t *testing.T) {
	f := newFleet(t, "front/"+front, "deep/"+deep, "deep/"+deep2)
	f.register("deep", deep, true)
	f.eventually("draining known", func() bool { return strings.Count(f.logs.String(), "draining=true") == 3 })
	c := f.caller(front)
	for range 8 {
		if got := c.ask("GET", "/read/1", "r1"); got.body != "from "+deep2 {
			t.Fatalf("%+v", got)
		}
	}
}

// TestNewerTableHolds: a table comes into force, and an older one does not turn
// it back.
func TestNewerTableHolds(t *testing.T) {
	f := newFleet(t, "front/"+front, "deep/"+deep)
	moved := testTable(3)
	moved.Routes = moved.Routes[:1]
	moved.Index()
	f.store.publish(store.Changes{Tables: []*route.Table{moved, testTable(2)}})
	f.eventually("version 3", func() bool { return strings.Contains(f.logs.String(), "version=3") })
	c := f.caller(front)
	f.eventually("the dropped route is gone", func() bool { return c.ask("POST", "/write/1", "r1").status == 404 })
	f.store.publish(store.Changes{Upstreams: []registry.Change{{ID: "x"}}, Tables: []*route.Table{testTable(1)}})
	if got := c.ask("POST", "/write/1", "r2"); got.status != 404 {
		t.Fatalf("%+v", got)
	}
}

// TestNodeLearnsFromOthers: a node that starts while it cannot reach the store
// gets table and upstreams from the nodes that know it.
func TestNodeLearnsFromOthers(t *testing.T) {
	f := newFleet(t, "front/"+front, "deep/"+deep, "deep/"+deep2)
	f.sidecars[front].Abort()
	working := f.store
	f.store = newFakeStore()
	f.store.down = true
	f.start("front", front)
	f.eventually("ready without the store", func() bool { return f.ready(front) })
	if got := f.caller(front).ask("POST", "/write/1", "r1"); got.status != 200 {
		t.Fatalf("%+v\n%s", got, f.logs)
	}
	// What the others hear of reaches it too.
	f.store = working
	f.register("deep", deep, true)
	f.eventually("draining known", func() bool {
		return f.caller(front).ask("GET", "/read/1", "r2").body == "from "+deep2 &&
			strings.Contains(f.logs.String(), "revision=5")
	})
}

// TestOldListingTakesNothingAway: a listing that is older than what a node knows
// removes none of it; changes after it still count.
func TestOldListingTakesNothingAway(t *testing.T) {
	f := newFleet(t, "front/"+front, "deep/"+deep)
	f.store.mu.Lock()
	f.store.forgets = 2
	f.store.mu.Unlock()
	f.eventually("history gone", func() bool { return strings.Count(f.logs.String(), "store history gone") == 2 })
	c := f.caller(front)
	for end := time.Now().Add(registry.ReturnGrace + time.Second); time.Now().Before(end); {
		if got := c.ask("GET", "/read/1", "r1"); got.status != 200 {
			t.Fatalf("%+v\n%s", got, f.logs)
		}
		time.Sleep(20 * time.Millisecond)
	}
	f.register("deep", deep, true)
	f.eventually("draining known", func() bool { return strings.Count(f.logs.String(), "draining=true") == 2 })
}

// TestRouteTimeoutEndsARequest: a request whose upstream does not answer gets its
// final answer at the route's timeout, not at the caller's deadline.
func TestRouteTimeoutEndsARequest(t *testing.T) {
	f := newFleet(t, "front/"+front, "deep/"+deep)
	table := testTable(2)
	for _, r := range table.Routes {
		r.Timeout = 200 * time.Millisecond
	}
	f.store.publish(store.Changes{Tables: []*route.Table{table}})
	f.eventually("version 2", func() bool { return strings.Count(f.logs.String(), "version=2") >= 2 })
	f.upstreams[deep].behave(func(*fasthttp.RequestCtx) { time.Sleep(3 * time.Second) })
	for _, path := range []string{"/write/1", "/read/1"} {
		began := time.Now()
		got := f.caller(front).ask("POST", path, "r1")
		if took := time.Since(began); got.status != 504 || took > 2*time.Second {
			t.Errorf("%s: %+v after %v\n%s", path, got, took, f.logs)
		}
	}
}
