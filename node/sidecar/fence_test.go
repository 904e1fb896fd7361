package sidecar_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// silentNode replaces the node at ip by one that swallows the first request of each
// connection and closes it, but answers questions about requests with answer.
func (f *fleet) silentNode(ip, answer string) (swallowed *atomic.Int64) {
	fenceResponse := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(answer), answer)
	return f.replaceNode(ip, fenceResponse, "")
}

// replaceNode replaces the node at ip by one that answers the first request of each connection, in text in
// which %s stands for the request ID, and closes it. It answers questions about requests with fenceResponse.
// requests counts the others.
func (f *fleet) replaceNode(ip, fenceResponse, text string) (requests *atomic.Int64) {
	f.sidecars[ip].Abort()
	var ln net.Listener
	f.eventually("the port is free", func() bool {
		var err error
		ln, err = net.Listen("tcp", f.address(ip, peersPort))
		return err == nil
	})
	f.t.Cleanup(func() { _ = ln.Close() })
	requests = &atomic.Int64{}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				var req fasthttp.Request
				if req.Read(bufio.NewReader(conn)) != nil {
					return
				}
				if strings.HasPrefix(string(req.RequestURI()), "/shallot/fence") {
					_, _ = io.WriteString(conn, fenceResponse)
					return
				}
				requests.Add(1)
				_, _ = io.WriteString(conn, strings.ReplaceAll(text, "%s", string(req.Header.Peek("X-Id"))))
			}()
		}
	}()
	return requests
}

// TestRequestThatDidNotArriveIsSentElsewhere guards against failing a request that reached
// no upstream, because the connection to another node stopped responding.
func TestRequestThatDidNotArriveIsSentElsewhere(t *testing.T) {
	for _, answer := range []string{"fenced", "received"} {
		t.Run(answer, func(t *testing.T) { sendToSilentNode(t, answer) })
	}
}

func sendToSilentNode(t *testing.T, answer string) {
	f := newFleet(t, "front/"+front, "deep/"+deep, "deep/"+secondDeep)
	swallowed := f.silentNode(deep, answer)
	c := f.caller(front)
	for i := 0; swallowed.Load() == 0; i++ {
		if i > 200 {
			t.Fatal("no request was sent to the silent node")
		}
		got := c.request("POST", "/write/1", fmt.Sprint("r", i))
		want := 200
		if answer != "fenced" && swallowed.Load() > 0 {
			want = 502
		}
		if got.status != want {
			t.Errorf("status %d with %d requests swallowed, want %d", got.status, swallowed.Load(), want)
		}
	}
}

// TestFencedRequestDoesNotRun guards against running a request that arrives after another
// node was told that it never will.
func TestFencedRequestDoesNotRun(t *testing.T) {
	f := newFleet(t, "front/"+front, "deep/"+deep)
	// A node can tell only of requests that were sent some time after its start.
	time.Sleep(1200 * time.Millisecond)
	ask := func(id string) string {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.SetRequestURI("http://" + f.address(deep, peersPort) + "/shallot/fence?age_ms=1")
		req.Header.Set("X-Id", id)
		if err := fasthttp.DoTimeout(req, resp, waitTimeout); err != nil {
			t.Fatal(err)
		}
		return string(resp.Body())
	}
	forward := func(id string) int {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.SetRequestURI("http://" + f.address(deep, peersPort) + "/write/1")
		req.Header.Set("X-Id", id)
		req.Header.Set("X-Left", "3000")
		req.Header.Set("X-Expect", "i-"+deep)
		req.Header.Set("Shallot-Rank", "0 0 1 1 once")
		if err := fasthttp.DoTimeout(req, resp, waitTimeout); err != nil {
			t.Fatal(err)
		}
		return resp.StatusCode()
	}
	if got := ask("late"); got != "fenced" {
		t.Fatalf("answer %q for a request that has not arrived, want fenced", got)
	}
	if got := forward("late"); got != 503 || len(f.upstreams[deep].receivedRequests()) != 0 {
		t.Errorf("status %d and %v at the upstream, want 503 and none", got, f.upstreams[deep].receivedRequests())
	}
	if got := forward("early"); got != 200 {
		t.Errorf("status %d for another request, want 200", got)
	}
	if got := ask("early"); got != "received" {
		t.Errorf("answer %q for a request that has arrived, want received", got)
	}
}
