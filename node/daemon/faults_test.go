package daemon

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shallotspool/shallotspool/harness/standin"
	"github.com/shallotspool/shallotspool/node/internal/rawserver"
)

// brokenResponses are upstream responses that are incomplete, invalid or too
// large.
var brokenResponses = map[string]string{
	"short length":    "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
	"broken chunk":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhal",
	"no last chunk":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	"no trailer end":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n",
	"no length":       "HTTP/1.1 200 OK\r\n\r\nhalf",
	"half a header":   "HTTP/1.1 200 OK\r\nContent-Le",
	"nothing":         "",
	"bad chunk size":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nhalf\r\n0\r\n\r\n",
	"not HTTP":        "half\r\n\r\n",
	"too large":       "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\nhalf",
	"negative length": "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\nhalf",
	"two lengths":     "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 2\r\n\r\nhalf",
	"both framings":   "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\nhalf",
	"status 000":      "HTTP/1.1 000 OK\r\nContent-Length: 4\r\n\r\nhalf",
	"000, no reason":  "HTTP/1.1 000\r\nContent-Length: 4\r\n\r\nhalf",
	"000 in chunks":   "HTTP/1.1 000 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n\r\n",
	"000 until close": "HTTP/1.1 000 OK\r\n\r\nhalf",
	"000 as interim":  "HTTP/1.1 000\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nhalf",
	"blank in a name": "HTTP/1.1 200 OK\r\nX A: b\r\nContent-Length: 4\r\n\r\nhalf",
	"blank in 500":    "HTTP/1.1 500 Oh\r\nX A: b\r\nContent-Length: 4\r\n\r\nhalf",
	"blank at colon":  "HTTP/1.1 200 OK\r\nX-A : b\r\nContent-Length: 4\r\n\r\nhalf",
	"bad trailer":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\nX A: b\r\n\r\n",
	"bad interim":     "HTTP/1.1 103 Early Hints\r\nX A: b\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nhalf",
	"bad reason":      "HTTP/1.1 200 O\x01K\r\nContent-Length: 4\r\n\r\nhalf",
	"unasked upgrade": "HTTP/1.1 101 Switching Protocols\r\n\r\nhalf",
	"half after 100":  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
}

// rawUpstream is an upstream that answers the first request of each connection
// with the bytes in response and closes the connection. It stores the last
// request in request.
type rawUpstream struct{ response, request atomic.Value }

func (u *rawUpstream) serve(t *testing.T) string { return rawserver.Serve(t, u.handle) }

func (u *rawUpstream) handle(conn net.Conn) {
	buffer := make([]byte, 4096)
	n, _ := conn.Read(buffer)
	u.request.Store(string(buffer[:n]))
	_, _ = conn.Write([]byte(u.response.Load().(string)))
	_ = conn.Close()
}

// TestIncompleteResponseIsNeverReturned checks that a broken upstream response
// ends the call with an unknown outcome and that no part of it reaches the
// caller.
func TestIncompleteResponseIsNeverReturned(t *testing.T) {
	f := newFleet(t, "front-1")
	f.nodes["front-1"].Kill()
	upstream := &rawUpstream{}
	upstream.response.Store("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood")
	f.startNode("front-1", upstream.serve(t))
	f.waitUntilConnected([]string{"front-1"})
	caller := f.callerOf("front-1")
	waitUntil(t, "front-1 accepts keys", func() bool {
		return caller.Do(f.newCall("front", "pay", "warm")).Outcome == "answered"
	})
	for name, response := range brokenResponses {
		upstream.response.Store(response)
		r := caller.Do(f.newCall("front", "pay", strings.ReplaceAll(name, " ", "-")))
		if r.Outcome != "unknown_outcome" || r.Status != 502 || strings.Contains(r.Body, "half") {
			t.Errorf("%s: got %+v, want 502 unknown_outcome without any of the body", name, r)
		}
	}
}

// TestGracefulStopCompletesCalls stops a node under load. A call must run exactly
// once if it was answered, and not at all otherwise.
func TestGracefulStopCompletesCalls(t *testing.T) {
	f := newFleet(t, "front-1", "deep-1", "deep-2")
	caller := f.callerOf("front-1")
	waitUntil(t, "front-1 accepts keys", func() bool {
		return caller.Do(f.newCall("front", "pay", "warm")).Outcome == "answered"
	})
	f.upstreams["front-1"].WorkTime.Store(int64(200 * time.Millisecond))
	const calls = 60
	stopped := make(chan error)
	go func() {
		for f.nodes["front-1"].Status().InFlight < 10 {
			time.Sleep(time.Millisecond)
		}
		stopped <- f.nodes["front-1"].Stop(context.Background())
	}()
	results := runConcurrently(calls, func(i int) standin.Result {
		// The second half arrives 240 to 472 ms later: while the node completes the
		// first half, or after it has stopped.
		if i >= calls/2 {
			time.Sleep(time.Duration(8*i) * time.Millisecond)
		}
		return caller.Do(f.newCall("front", "pay", fmt.Sprintf("p%d", i)))
	})
	if err := <-stopped; err != nil {
		t.Error(err)
	}
	outcomes := map[string]int{}
	for i, r := range results {
		outcomes[r.Outcome+"/"+r.Reason]++
		runs := f.runCount(fmt.Sprintf("p%d", i))
		if answered := r.Outcome == "answered"; answered != (runs == 1) || runs > 1 {
			t.Errorf("call %d ran %d times, want once if answered and 0 otherwise: %+v", i, runs, r)
		}
	}
	t.Log(outcomes)
	if s := f.nodes["front-1"].Status(); s.State != "left" || f.nodes["front-1"].loop.OpenCalls() != 0 {
		t.Errorf("state %s with %d calls open, want left with none", s.State, f.nodes["front-1"].loop.OpenCalls())
	}
}

// TestNodeRestartNeverRunsCallTwice kills and restarts an owner of keys while
// callers repeat their calls. The new run does not know which calls the old run
// executed and must not execute them again.
func TestNodeRestartNeverRunsCallTwice(t *testing.T) {
	f := newFleet(t, "front-1", "deep-1", "deep-2")
	f.waitUntilOwnersAcceptKeys()
	for _, u := range f.upstreams {
		u.WorkTime.Store(int64(30 * time.Millisecond))
	}
	const calls = 60
	sent := make(chan struct{}, calls)
	restart := func() {
		for range calls / 2 {
			<-sent
		}
		f.nodes["deep-1"].Kill()
		f.startNode("deep-1", f.upstreams["deep-1"].Address)
	}
	done := make(chan struct{})
	go func() { restart(); close(done) }()
	caller := f.callerOf("front-1")
	results := runConcurrently(calls, func(i int) standin.Result {
		var r standin.Result
		sent <- struct{}{}
		for range 3 {
			r = caller.Do(f.newCall("deep", "take", fmt.Sprintf("k%d", i)))
			if r.Outcome == "answered" {
				break
			}
		}
		return r
	})
	<-done
	outcomes := map[string]int{}
	for i, r := range results {
		outcomes[r.Outcome+"/"+r.Reason]++
		runs := f.runCount(fmt.Sprintf("k%d", i))
		if runs > 1 || runs == 0 && r.Outcome == "answered" {
			t.Errorf("call %d ran %d times, want once if answered and at most once otherwise: %+v", i, runs, r)
		}
	}
	t.Log(outcomes)
}

// TestOlderDocumentIsNeverApplied publishes an older document during an outage of
// the platform, and an invalid one after it. The nodes must keep the newest valid
// document.
func TestOlderDocumentIsNeverApplied(t *testing.T) {
	f := newFleet(t, "front-1", "deep-1", "deep-2")
	newer := []byte("version: 2\n" + testDocument[len("version: 1\n"):])
	f.platform.Publish(2, newer)
	allAtVersion := func(version uint64) func() bool {
		return func() bool {
			for _, d := range f.nodes {
				if d.Status().Document.Version != version {
					return false
				}
			}
			return true
		}
	}
	waitUntil(t, "version 2 is in force on all nodes", allAtVersion(2))
	f.platform.SetUnavailable(true)
	f.platform.Publish(1, []byte(testDocument))
	f.platform.SetUnavailable(false)
	f.nodes["deep-1"].Kill()
	f.startNode("deep-1", f.upstreams["deep-1"].Address)
	f.platform.Publish(3, []byte("version: 3\nname: broken\n"))
	f.waitUntilConnected([]string{"front-1", "deep-2"})
	for _, target := range []string{"front-1", "deep-2"} {
		if v := f.nodes[target].Status().Document.Version; v != 2 {
			t.Errorf("%s has version %d, want 2", target, v)
		}
	}
}

// retryOnOverload repeats a call while it is refused for overload, which can
// happen on a slow machine, and returns the first other result. It gives up
// after 200 retries.
func retryOnOverload(c *standin.Caller, call standin.Call) standin.Result {
	const maxRetries = 200
	r := c.Do(call)
	for i := 0; i < maxRetries && r.Outcome == "not_run" && r.Reason == "overload"; i++ {
		time.Sleep(10 * time.Millisecond)
		r = c.Do(call)
	}
	return r
}

// TestStoppingNodeLosesNoCall stops one of two nodes that serve the same service.
// The calls must be answered through the other node.
func TestStoppingNodeLosesNoCall(t *testing.T) {
	f := newFleet(t, "front-1", "deep-1", "deep-2")
	for _, u := range f.upstreams {
		u.WorkTime.Store(int64(5 * time.Millisecond))
	}
	caller := f.callerOf("front-1")
	const calls = 200
	sent := make(chan struct{}, calls)
	go func() {
		for range 20 {
			<-sent
		}
		if err := f.nodes["deep-2"].Stop(context.Background()); err != nil {
			t.Error(err)
		}
	}()
	for i := range calls / 20 {
		for _, r := range runConcurrently(20, func(j int) standin.Result {
			sent <- struct{}{}
			return retryOnOverload(caller, f.newCall("front", "read", fmt.Sprintf("r%d-%d", i, j)))
		}) {
			if r.Outcome != "answered" {
				t.Errorf("batch %d: got %+v, want answered", i, r)
			}
		}
	}
}

// TestKillReturnsAbortedCallCount kills a node whose graceful stop was given up.
// Kill must return the number of calls in flight, and their callers get no
// response.
func TestKillReturnsAbortedCallCount(t *testing.T) {
	f := newFleet(t, "front-1", "deep-1", "deep-2")
	f.upstreams["front-1"].WorkTime.Store(int64(time.Second))
	front, caller := f.nodes["front-1"], f.callerOf("front-1")
	const calls = 3
	aborted := make(chan int)
	go func() {
		for front.Status().InFlight < calls {
			time.Sleep(time.Millisecond)
		}
		expired, cancel := context.WithCancel(context.Background())
		cancel()
		if front.Stop(expired) == nil {
			t.Error("stopped gracefully with calls in flight")
		}
		aborted <- front.Kill()
	}()
	results := runConcurrently(calls, func(i int) standin.Result {
		return caller.Do(f.newCall("front", "read", fmt.Sprintf("r%d", i)))
	})
	if n := <-aborted; n != calls {
		t.Errorf("Kill returned %d aborted calls, want %d", n, calls)
	}
	for _, r := range results {
		if r.Status != 0 {
			t.Errorf("an aborted call got %+v, want no response", r)
		}
	}
}

// TestKillRightAfterStart guards against a node that waits for ever when it is ended before
// its servers have begun to serve.
func TestKillRightAfterStart(t *testing.T) {
	platform, err := standin.NewPlatform()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(platform.Close)
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	for i := range 100 {
		s := DefaultSettings()
		s.Target, s.Service, s.DataCentre = "front-1", "front", "dc0"
		s.ListenCallers, s.ListenUpstream, s.ListenPeers, s.ListenAdmin = loopback, loopback, loopback, loopback
		s.UpstreamAddress, s.PlatformAddress = netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort(platform.Address)
		d, err := Start(s, io.Discard)
		if err != nil {
			t.Fatal(err)
		}
		ended := make(chan struct{})
		go func() {
			d.Kill()
			close(ended)
		}()
		select {
		case <-ended:
		case <-time.After(30 * time.Second):
			t.Fatalf("start %d: the node has not ended 30 s after it was killed", i)
		}
	}
}
