package daemon

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"reflect"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// malformedRequests are requests that the caller listener must refuse.
var malformedRequests = []struct{ name, text string }{
	{"negative wait", "GET /read/1 HTTP/1.1\r\nHost: x\r\nShallot-Wait-Ms: -5\r\n\r\n"},
	{"zero wait", "GET /read/1 HTTP/1.1\r\nHost: x\r\nShallot-Wait-Ms: 0\r\n\r\n"},
	{"wait overflows", "GET /read/1 HTTP/1.1\r\nHost: x\r\nShallot-Wait-Ms: 99999999999999999999\r\n\r\n"},
	{"wait too long", "GET /read/1 HTTP/1.1\r\nHost: x\r\nShallot-Wait-Ms: 3600001\r\n\r\n"},
	{"wait not a number", "GET /read/1 HTTP/1.1\r\nHost: x\r\nShallot-Wait-Ms: soon\r\n\r\n"},
	{"wait with a sign", "GET /read/1 HTTP/1.1\r\nHost: x\r\nShallot-Wait-Ms: +5\r\n\r\n"},
	{"wait with a fraction", "GET /read/1 HTTP/1.1\r\nHost: x\r\nShallot-Wait-Ms: 1.5\r\n\r\n"},
	{"wait twice", "GET /read/1 HTTP/1.1\r\nHost: x\r\nShallot-Wait-Ms: 5\r\nShallot-Wait-Ms: 5\r\n\r\n"},
	{"wait twice, one in capitals", "GET /read/1 HTTP/1.1\r\nHost: x\r\nShallot-Wait-Ms: 5\r\nSHALLOT-WAIT-MS: 6\r\n\r\n"},
	{"empty wait", "GET /read/1 HTTP/1.1\r\nHost: x\r\nShallot-Wait-Ms:\r\n\r\n"},
	{"key twice", "POST /pay HTTP/1.1\r\nHost: x\r\nIdempotency-Key: a\r\nIdempotency-Key: a\r\nContent-Length: 0\r\n\r\n"},
	{"key too long", "POST /pay HTTP/1.1\r\nHost: x\r\nIdempotency-Key: " + strings.Repeat("k", 257) + "\r\nContent-Length: 0\r\n\r\n"},
	{"key with a space", "POST /pay HTTP/1.1\r\nHost: x\r\nIdempotency-Key: a b\r\nContent-Length: 0\r\n\r\n"},
	{"empty key", "POST /pay HTTP/1.1\r\nHost: x\r\nIdempotency-Key:\r\nContent-Length: 0\r\n\r\n"},
	{"service with a slash", "GET /read/1 HTTP/1.1\r\nHost: x\r\nShallot-Service: a/b\r\n\r\n"},
	{"service too long", "GET /read/1 HTTP/1.1\r\nHost: x\r\nShallot-Service: " + strings.Repeat("s", 65) + "\r\n\r\n"},
	{"group not a name", "GET /read/1 HTTP/1.1\r\nHost: x\r\nShallot-Group: \"shops\"\r\n\r\n"},
	{"target is no path", "OPTIONS * HTTP/1.1\r\nHost: x\r\n\r\n"},
	{"negative length", "POST /pay HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n"},
	{"two lengths", "POST /pay HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab"},
	{"body over the limit", "POST /pay HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\n"},
	{"header over the limit", "GET /read/1 HTTP/1.1\r\nHost: x\r\nX-Long: " + strings.Repeat("x", 17<<10) + "\r\n\r\n"},
	{"no request line", "\x00\x01\x02\r\n\r\n"},
	{"no route", "GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n"},
	{"unknown service", "GET /read/1 HTTP/1.1\r\nHost: x\r\nShallot-Service: nobody\r\n\r\n"},
}

// sendRaw sends text over a new connection and returns everything received until
// the node closes it, with LF line ends.
func sendRaw(t *testing.T, address, text string) string {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, text); err != nil {
		return "connection closed\n"
	}
	_ = conn.(*net.TCPConn).CloseWrite()
	response, _ := io.ReadAll(conn)
	return strings.ReplaceAll(string(response), "\r\n", "\n")
}

func TestMalformedRequestsAreRefused(t *testing.T) {
	f := newFleet(t, "front-1")
	address := f.nodes["front-1"].settings.ListenCallers.String()
	before := f.nodes["front-1"].Status()
	var got bytes.Buffer
	for _, m := range malformedRequests {
		// The requests before this one must not reach the engine and so must not
		// change its status.
		if m.name == "no route" {
			if after := f.nodes["front-1"].Status(); !reflect.DeepEqual(before, after) {
				t.Errorf("status changed from\n%+v\nto\n%+v", before, after)
			}
		}
		fmt.Fprintf(&got, "== %s\n%s\n", m.name, sendRaw(t, address, m.text))
	}
	goldie.New(t).Assert(t, "malformed", got.Bytes())
}

// startWithRawUpstream starts front-1 with an upstream that answers with an empty 200, and returns that and the address
// for callers.
func startWithRawUpstream(t *testing.T) (upstream *rawUpstream, address string) {
	f := newFleet(t, "front-1")
	upstream = &rawUpstream{}
	upstream.response.Store("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	f.nodes["front-1"].Kill()
	f.startNode("front-1", upstream.serve(t))
	f.waitUntilConnected([]string{"front-1"})
	return upstream, f.nodes["front-1"].settings.ListenCallers.String()
}

// TestInternalHeadersFromCallersAreRemoved sends headers that only nodes may send
// and checks that the upstream does not receive them.
func TestInternalHeadersFromCallersAreRemoved(t *testing.T) {
	upstream, address := startWithRawUpstream(t)
	request := "POST /pay HTTP/1.1\r\nHost: x\r\nIdempotency-Key: e\r\nShallot-Budget: 200\r\nShallot-Class: 0\r\n" +
		"Shallot-Send: a/1/1\r\nShallot-Stage: run\r\nShallot-Depth: 9\r\nShallot-Parent: 1.1\r\nShallot-Made-Up: 1\r\n" +
		"Connection: X-Hop, close\r\nX-Hop: 1\r\nX-Own: kept\r\nContent-Length: 0\r\n\r\n"
	var response string
	waitUntil(t, "front-1 accepts keys", func() bool {
		response = sendRaw(t, address, request)
		return !strings.Contains(response, "owner_starting")
	})
	received, _ := upstream.request.Load().(string)
	// The node sets a Shallot-Parent of its own, so only the value 1.1 of the
	// caller's header must be absent.
	for _, removed := range []string{"Budget", "Class", "Send", "Stage", "Depth", "Made-Up", "X-Hop", ": 1.1\r\n"} {
		if strings.Contains(received, removed) {
			t.Errorf("the upstream got %q, which the node must remove:\n%s", removed, received)
		}
	}
	if !strings.Contains(received, "X-Own: kept\r\n") || !strings.Contains(response, "200 OK") {
		t.Errorf("want X-Own at the upstream and 200 OK at the caller; upstream got:\n%s\ncaller got:\n%s", received, response)
	}
}
