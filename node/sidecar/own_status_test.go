package sidecar_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
)

// ownStatuses are statuses by which callers take a request for not run.
var ownStatuses = []int{fasthttp.StatusRequestTimeout, fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable}

// answerOwn lets an upstream answer with a status of its own, after it has run the request.
func (u *fakeUpstream) answerOwn(status int) {
	u.setResponse(func(ctx *fasthttp.RequestCtx) {
		ctx.SetStatusCode(status)
		ctx.Response.Header.Set("Retry-After", "1")
		ctx.SetBodyString("written, receipt failed")
	})
}

// expectFailedAfterRun checks that the caller is not told that a request has not run, and gets nothing
// of the upstream's answer.
func expectFailedAfterRun(t *testing.T, name string, got callerResponse) {
	t.Helper()
	if got.status != fasthttp.StatusBadGateway || got.body != "" || got.header["X-Stamp"] != "" || got.header["Retry-After"] != "" {
		t.Errorf("%s: got %+v, want status 502 with nothing of the answer", name, got)
	}
}

// TestStatusOfUpstreamDoesNotPromiseNotRun guards against an upstream's own 408, 429 or 503 that reaches
// the caller of a request that must not run twice and has run: the status says that it has not.
func TestStatusOfUpstreamDoesNotPromiseNotRun(t *testing.T) {
	f := newFleet(t, "front/"+front, "deep/"+deep)
	for _, status := range ownStatuses {
		f.upstreams[deep].answerOwn(status)
		for _, entry := range []string{deep, front} {
			name := fmt.Sprintf("%d at %s", status, entry)
			id := strings.ReplaceAll(name, " ", "-")
			got := f.caller(entry).request("POST", "/write/1", id)
			expectFailedAfterRun(t, name, got)
			if n := strings.Count(strings.Join(f.upstreams[deep].receivedRequests(), "\n"), id); n != 1 {
				t.Errorf("%s: ran %d times, want once", name, n)
			}
			got = f.caller(entry).request("GET", "/read/1", "r-"+id)
			if got.status != status || got.body != "written, receipt failed" || got.header["X-Stamp"] != "s" || got.header["Retry-After"] != "1" {
				t.Errorf("%s: got %+v for an idempotent request, want the upstream's answer", name, got)
			}
		}
	}
	f.eventually("the reason is logged", func() bool { return strings.Contains(f.logs.String(), "reason=ambiguous_status") })
}

// TestStatusAfterRetryDoesNotPromiseNotRun guards against an upstream's own 503 to a request that another
// upstream has refused before, since that one has not run it.
func TestStatusAfterRetryDoesNotPromiseNotRun(t *testing.T) {
	f := newFleet(t, "front/"+front, "deep/"+deep, "deep/"+secondDeep)
	for _, status := range ownStatuses {
		f.upstreams[deep].setResponse(func(ctx *fasthttp.RequestCtx) {
			ctx.Response.Header.Del("X-Stamp")
			ctx.Response.Header.Set("X-Not-Run", "1")
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		})
		f.upstreams[secondDeep].answerOwn(status)
		for i := range 4 {
			id := fmt.Sprintf("r-%d-%d", status, i)
			got := f.caller(front).request("POST", "/write/1", id)
			if ran := strings.Contains(strings.Join(f.upstreams[secondDeep].receivedRequests(), "\n"), id); ran || got.status != fasthttp.StatusServiceUnavailable {
				expectFailedAfterRun(t, id, got)
			}
		}
	}
}

// TestStatusOfCalledServiceDoesNotPromiseNotRun guards against the same for a call that an upstream makes
// through its node.
func TestStatusOfCalledServiceDoesNotPromiseNotRun(t *testing.T) {
	f := newFleet(t, "front/"+front, "deep/"+deep)
	inner := f.caller(deep)
	var got callerResponse
	f.upstreams[deep].setResponse(func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == "/write/outer" {
			got = inner.request("POST", "/write/inner", "outer/inner")
			return
		}
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	})
	if outer := f.caller(front).request("POST", "/write/outer", "outer"); outer.status != fasthttp.StatusOK {
		t.Errorf("got %+v for the outer request, want status 200", outer)
	}
	expectFailedAfterRun(t, "call", got)
}

// TestSuccessMarkedNotRunIsNoRefusal guards against a success that also says "not run": the caller of a
// request that must not run twice was told that it has not run, or it was sent to another upstream.
func TestSuccessMarkedNotRunIsNoRefusal(t *testing.T) {
	f := newFleet(t, "front/"+front, "deep/"+deep, "deep/"+secondDeep)
	for _, upstream := range []string{deep, secondDeep} {
		f.upstreams[upstream].setResponse(func(ctx *fasthttp.RequestCtx) {
			ctx.Response.Header.Set("X-Not-Run", "1")
			ctx.SetBodyString("written")
		})
	}
	for _, entry := range []string{deep, front} {
		id := "once-" + entry
		expectFailedAfterRun(t, id, f.caller(entry).request("POST", "/write/1", id))
		received := append(f.upstreams[deep].receivedRequests(), f.upstreams[secondDeep].receivedRequests()...)
		if n := strings.Count(strings.Join(received, "\n"), id); n != 1 {
			t.Errorf("%s: ran %d times, want once", id, n)
		}
		if got := f.caller(entry).request("GET", "/read/1", "read-"+entry); got.status != fasthttp.StatusBadGateway || got.body != "" {
			t.Errorf("idempotent at %s: got %+v, want status 502", entry, got)
		}
	}
}

// TestStampedMisdirectionIsNoRefusal guards against a 421 that bears the stamp of the upstream, which
// runs requests before it stamps answers: the request was sent to another upstream, or called "not run".
func TestStampedMisdirectionIsNoRefusal(t *testing.T) {
	f := newFleet(t, "front/"+front, "deep/"+deep, "deep/"+secondDeep)
	for _, upstream := range []string{deep, secondDeep} {
		f.upstreams[upstream].answerOwn(fasthttp.StatusMisdirectedRequest)
	}
	expectFailedAfterRun(t, "not idempotent", f.caller(front).request("POST", "/write/1", "r1"))
	if n := len(f.upstreams[deep].receivedRequests()) + len(f.upstreams[secondDeep].receivedRequests()); n != 1 {
		t.Errorf("ran %d times, want once", n)
	}
}
