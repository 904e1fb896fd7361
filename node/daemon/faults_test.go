package daemon

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shallotspool/shallotspool/harness/standin"
	"github.com/shallotspool/shallotspool/node/internal/rawserver"
)

// brokenAnswers are answers of an upstream that are not whole.
var brokenAnswers = map[string]string{
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
	"endless interim": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
}

// rawUpstream answers every connection's first request with the same bytes and
// closes it.
type rawUpstream struct{ answer, request atomic.Value }

func (u *rawUpstream) serve(t *testing.T) string { return rawserver.Serve(t, u.handle) }

func (u *rawUpstream) handle(conn net.Conn) {
	buffer := make([]byte, 4096)
	n, _ := conn.Read(buffer)
	u.request.Store(string(buffer[:n]))
	_, _ = conn.Write([]byte(u.answer.Load().(string)))
	_ = conn.Close()
}

func TestBrokenAnswerIsNeverSuccess(t *testing.T) {
	f := newFleet(t, "front-1")
	f.nodes["front-1"].Kill()
	upstream := &rawUpstream{}
	upstream.answer.Store("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood")
	f.start("front-1", upstream.serve(t))
	f.settle([]string{"front-1"})
	caller := f.caller("front-1")
	await(t, "front-1 takes keys", func() bool {
		return caller.Do(f.call("front", "pay", "warm")).Outcome == "answered"
	})
	for name, answer := range brokenAnswers {
		upstream.answer.Store(answer)
		r := caller.Do(f.call("front", "pay", strings.ReplaceAll(name, " ", "-")))
		if r.Outcome != "unknown_outcome" || r.Status != 502 || strings.Contains(r.Body, "half") {
			t.Errorf("%s: got %+v", name, r)
		}
	}
}

func TestStopUnderLoadCutsNothing(t *testing.T) {
	f := newFleet(t, "front-1", "deep-1", "deep-2")
	caller := f.caller("front-1")
	await(t, "front-1 takes keys", func() bool {
		return caller.Do(f.call("front", "pay", "warm")).Outcome == "answered"
	})
	f.upstreams["front-1"].Work.Store(int64(200 * time.Millisecond))
	const calls = 60
	stopped := make(chan error)
	go func() {
		for f.nodes["front-1"].Status().InFlight < 10 {
			time.Sleep(time.Millisecond)
		}
		stopped <- f.nodes["front-1"].Stop(context.Background())
	}()
	results := many(calls, func(i int) standin.Result {
		if i >= calls/2 {
			time.Sleep(time.Duration(8*i) * time.Millisecond)
		}
		return caller.Do(f.call("front", "pay", fmt.Sprintf("p%d", i)))
	})
	if err := <-stopped; err != nil {
		t.Error(err)
	}
	outcomes := map[string]int{}
	for i, r := range results {
		outcomes[r.Outcome+"/"+r.Reason]++
		runs := f.runs(fmt.Sprintf("p%d", i))
		if answered := r.Outcome == "answered"; answered != (runs == 1) || runs > 1 {
			t.Errorf("call %d ran %d times: %+v", i, runs, r)
		}
	}
	t.Log(outcomes)
	if s := f.nodes["front-1"].Status(); s.State != "left" || f.nodes["front-1"].loop.Open() != 0 {
		t.Errorf("state %s with %d calls open", s.State, f.nodes["front-1"].loop.Open())
	}
}

func TestKilledNodeRunsNothingTwice(t *testing.T) {
	f := newFleet(t, "front-1", "deep-1", "deep-2")
	f.warm()
	for _, u := range f.upstreams {
		u.Work.Store(int64(30 * time.Millisecond))
	}
	const calls = 60
	sent := make(chan struct{}, calls)
	restart := func() {
		for range calls / 2 {
			<-sent
		}
		f.nodes["deep-1"].Kill()
		f.start("deep-1", f.upstreams["deep-1"].Address)
	}
	done := make(chan struct{})
	go func() { restart(); close(done) }()
	caller := f.caller("front-1")
	results := many(calls, func(i int) standin.Result {
		var r standin.Result
		sent <- struct{}{}
		for range 3 {
			r = caller.Do(f.call("deep", "take", fmt.Sprintf("k%d", i)))
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
		runs := f.runs(fmt.Sprintf("k%d", i))
		if runs > 1 || runs == 0 && r.Outcome == "answered" {
			t.Errorf("call %d ran %d times: %+v", i, runs, r)
		}
	}
	t.Log(outcomes)
}

func TestOlderDocumentNeverComesBack(t *testing.T) {
	f := newFleet(t, "front-1", "deep-1", "deep-2")
	newer := []byte("version: 2\n" + testDocument[len("version: 1\n"):])
	f.platform.Publish(2, newer)
	at := func(version uint64) func() bool {
		return func() bool {
			for _, d := range f.nodes {
				if d.Status().Document.Version != version {
					return false
				}
			}
			return true
		}
	}
	await(t, "version 2 in force everywhere", at(2))
	f.platform.SetAway(true)
	f.platform.Publish(1, []byte(testDocument))
	f.platform.SetAway(false)
	f.nodes["deep-1"].Kill()
	f.start("deep-1", f.upstreams["deep-1"].Address)
	f.platform.Publish(3, []byte("version: 3\nname: broken\n"))
	f.settle([]string{"front-1", "deep-2"})
	for _, target := range []string{"front-1", "deep-2"} {
		if v := f.nodes[target].Status().Document.Version; v != 2 {
			t.Errorf("%s has version %d", target, v)
		}
	}
}

// insist sends a call again while it is refused for overload, as a slow machine
// may well do; any other end of the call is its result.
func insist(c *standin.Caller, call standin.Call) standin.Result {
	const most = 200
	r := c.Do(call)
	for i := 0; i < most && r.Outcome == "not_run" && r.Reason == "overload"; i++ {
		time.Sleep(10 * time.Millisecond)
		r = c.Do(call)
	}
	return r
}

func TestLeavingNodeLosesNoCall(t *testing.T) {
	f := newFleet(t, "front-1", "deep-1", "deep-2")
	for _, u := range f.upstreams {
		u.Work.Store(int64(5 * time.Millisecond))
	}
	caller := f.caller("front-1")
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
		for _, r := range many(20, func(j int) standin.Result {
			sent <- struct{}{}
			return insist(caller, f.call("front", "read", fmt.Sprintf("r%d-%d", i, j)))
		}) {
			if r.Outcome != "answered" {
				t.Errorf("batch %d: %+v", i, r)
			}
		}
	}
}

func TestKillCountsWhatItCuts(t *testing.T) {
	f := newFleet(t, "front-1", "deep-1", "deep-2")
	f.upstreams["front-1"].Work.Store(int64(time.Second))
	front, caller := f.nodes["front-1"], f.caller("front-1")
	const calls = 3
	cut := make(chan int)
	go func() {
		for front.Status().InFlight < calls {
			time.Sleep(time.Millisecond)
		}
		gaveUp, cancel := context.WithCancel(context.Background())
		cancel()
		if front.Stop(gaveUp) == nil {
			t.Error("stopped gracefully with calls in flight")
		}
		cut <- front.Kill()
	}()
	results := many(calls, func(i int) standin.Result {
		return caller.Do(f.call("front", "read", fmt.Sprintf("r%d", i)))
	})
	if n := <-cut; n != calls {
		t.Errorf("%d cut", n)
	}
	for _, r := range results {
		if r.Status != 0 {
			t.Errorf("got %+v", r)
		}
	}
}
