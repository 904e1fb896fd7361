package daemon

import (
	"net"
	"strings"
	"testing"
	"time"
)

// peerRequest is a request from one node to another. SENDER is a placeholder for
// the target name of the sending node.
const peerRequest = "GET /read/1 HTTP/1.1\r\nHost: x\r\nShallot-Wait-Ms: 500\r\nShallot-Budget: 0\r\nShallot-Class: 0\r\n" +
	"Shallot-Priority: 0\r\nShallot-Depth: 0\r\nShallot-Stage: run\r\nShallot-Send: SENDER/1/1\r\nConnection: close\r\n\r\n"

func TestUnknownSendersAreRefused(t *testing.T) {
	f := newFleet(t, "front-1")
	peers := f.nodes["front-1"].settings.ListenPeers.String()
	response := sendRaw(t, peers, strings.Replace(peerRequest, "SENDER", "stranger-1", 1))
	if !strings.HasPrefix(response, "HTTP/1.1 400") || !strings.Contains(response, "unknown_sender") {
		t.Errorf("an unknown sender got %s, want 400 with reason unknown_sender", response)
	}
	response = sendRaw(t, peers, "GET /read/1 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
	if !strings.HasPrefix(response, "HTTP/1.1 400") || !strings.Contains(response, "missing") {
		t.Errorf("a request without internal headers got %s from the peer listener, want 400 for a missing header", response)
	}
	if n := f.runCount("1"); n != 0 {
		t.Errorf("the refused requests ran %d times, want none", n)
	}
}

func TestCallerDisconnectEndsCall(t *testing.T) {
	f := newFleet(t, "front-1", "deep-1", "deep-2")
	f.upstreams["front-1"].WorkTime.Store(int64(time.Second))
	conn, err := net.Dial("tcp", f.nodes["front-1"].settings.ListenCallers.String())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Write([]byte("GET /read/1 HTTP/1.1\r\nHost: x\r\nX-Id: 1\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	front := f.nodes["front-1"]
	waitUntil(t, "the call runs", func() bool { return front.Status().InFlight == 1 })
	_ = conn.Close()
	waitUntil(t, "the call ends", func() bool { return front.loop.OpenCalls() == 0 })
	cancelled := uint64(0)
	for _, r := range front.Status().Refusals {
		if r.Reason == "cancelled" {
			cancelled += r.Count
		}
	}
	if cancelled != 1 {
		t.Errorf("%d calls cancelled, want 1: %+v", cancelled, front.Status().Refusals)
	}
}
