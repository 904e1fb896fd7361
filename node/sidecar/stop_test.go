package sidecar_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// TestStopCompletesRunningRequests stops the node beside the upstream and the node
// where requests enter while requests are running, and checks that each request gets a
// complete response.
func TestStopCompletesRunningRequests(t *testing.T) {
	if testing.Short() {
		t.Skip("stopping takes several seconds")
	}
	f := newFleet(t, "front/"+front, "deep/"+deep, "deep/"+secondDeep)
	release := make(chan struct{})
	slow := func(ctx *fasthttp.RequestCtx) {
		<-release
		ctx.SetBodyString("whole")
	}
	f.upstreams[deep].setResponse(slow)
	f.upstreams[secondDeep].setResponse(slow)
	// One upstream alone may run 7 requests at once in its 8 slots, so none is queued.
	const callers = 7
	responses := make(chan callerResponse, callers)
	for i := range callers {
		c := f.caller(front)
		go func() { responses <- c.request("POST", fmt.Sprintf("/write/%d", i), fmt.Sprint("r", i)) }()
	}
	f.eventually("all requests running", func() bool {
		return len(f.upstreams[deep].receivedRequests())+len(f.upstreams[secondDeep].receivedRequests()) == callers
	})
	var stops sync.WaitGroup
	for _, ip := range []string{front, deep} {
		stops.Go(f.sidecars[ip].Stop)
	}
	f.eventually("both stopping", func() bool { return strings.Count(f.logs.String(), "msg=stopping") == 2 })
	if f.ready(front) {
		t.Error("a stopping node reports that it is ready")
	}
	close(release)
	for range callers {
		if got := <-responses; got.status != 200 || got.body != "whole" {
			t.Errorf("got %+v, want status 200 with body \"whole\"", got)
		}
	}
	stops.Wait()
}

// TestStopCutsNoPipelinedRequest guards against requests that a stopping node passes on to an
// upstream and cuts when it ends, because their callers send the next ones without waiting. It stops
// the node where the requests enter and the node beside an upstream, one after the other.
func TestStopCutsNoPipelinedRequest(t *testing.T) {
	if testing.Short() {
		t.Skip("stopping takes several seconds")
	}
	f := newFleet(t, "front/"+front, "deep/"+deep, "deep/"+secondDeep)
	work := func(ctx *fasthttp.RequestCtx) {
		time.Sleep(600 * time.Millisecond)
		ctx.SetBodyString("whole")
	}
	f.upstreams[deep].setResponse(work)
	f.upstreams[secondDeep].setResponse(work)
	answered := make(chan string, 1000)
	var callers sync.WaitGroup
	for i := range 4 {
		c := f.caller(front)
		sent := make(chan string, 1000)
		callers.Go(func() {
			for k := 0; ; k++ {
				id := fmt.Sprintf("r%d-%d", i, k)
				sent <- id
				if _, err := fmt.Fprintf(c.conn, "POST /write/1 HTTP/1.1\r\nHost: h\r\nX-Id: %s\r\nX-Left: 4000\r\nContent-Length: 0\r\n\r\n", id); err != nil {
					return
				}
				time.Sleep(300 * time.Millisecond)
			}
		})
		callers.Go(func() {
			defer c.conn.Close()
			for closes := false; !closes; {
				var resp fasthttp.Response
				if resp.Read(c.reader) != nil {
					return
				}
				answered <- <-sent
				closes = resp.ConnectionClose()
			}
		})
	}
	f.eventually("requests running", func() bool {
		return len(f.upstreams[deep].receivedRequests()) > 3 && len(f.upstreams[secondDeep].receivedRequests()) > 3
	})
	f.sidecars[deep].Stop()
	f.sidecars[front].Stop()
	// The end of the process closes what is still open.
	f.sidecars[front].Abort()
	callers.Wait()
	close(answered)
	got := map[string]bool{}
	for id := range answered {
		got[id] = true
	}
	for _, ip := range []string{deep, secondDeep} {
		for _, received := range f.upstreams[ip].receivedRequests() {
			if id, _, _ := strings.Cut(received, " "); !got[id] {
				t.Errorf("%s has run and was not answered", id)
			}
		}
	}
	if text := f.logs.String(); strings.Count(text, "msg=stopped active=0") != 2 {
		t.Errorf("a node stopped with open requests:\n%s", text)
	}
}

// blockedWriter blocks all writes until release is closed, like a pipe that nobody
// reads.
type blockedWriter struct{ release chan struct{} }

// Write implements io.Writer.
func (b blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// TestBlockedLogOutputDoesNotDelayRequests checks that requests are served while log
// lines cannot be written.
func TestBlockedLogOutputDoesNotDelayRequests(t *testing.T) {
	f := newFleet(t, "deep/"+deep)
	logOutput := blockedWriter{make(chan struct{})}
	f.logOutput = logOutput
	f.startNode("front", front)
	// Cleanups run in reverse order: this one runs before Abort, which waits until the
	// log lines are written.
	t.Cleanup(func() { close(logOutput.release) })
	c := f.caller(front)
	f.eventually("served", func() bool { return c.request("GET", "/read/1", "r").status == 200 })
	// More lines than the 1024 that the logger queues.
	for i := range 3000 {
		if got := c.request("GET", "/read/1", fmt.Sprint("r", i)); got.status != 200 {
			t.Fatalf("got %+v, want status 200", got)
		}
	}
}
