package sidecar_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/core/route"
	"github.com/shallotspool/shallotspool/core/store"
)

// TestNodeWithoutTableTakesWhatOthersAccepted guards against requests that one node accepted and
// that are lost at the node beside the upstream, because that has just started, or has another
// table, and applies other limits of callers.
func TestNodeWithoutTableTakesWhatOthersAccepted(t *testing.T) {
	f := &fleet{t: t, store: newFakeStore(), sidecars: newFleet(t, "front/"+front).sidecars, upstreams: map[string]*fakeUpstream{}, logs: &syncBuffer{}}
	f.store.unavailable = true
	for i := range f.ports {
		f.ports[i] = freePort(t)
	}
	u := &fakeUpstream{id: "i-" + deep, respond: func(*fasthttp.RequestCtx) {}}
	ln, err := net.Listen("tcp", f.address(deep, upstreamPort))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	u.server = &fasthttp.Server{Handler: u.handle, NoDefaultServerHeader: true, ReadBufferSize: 64 << 10, MaxRequestBodySize: 16 << 20}
	go func() { _ = u.server.Serve(ln) }()
	f.startNode("deep", deep)
	for name, size := range map[string]struct{ field, body int }{
		"header of 40 KB": {field: 40 << 10}, "body of 8 MB": {body: 8 << 20}, "body of 1 byte": {body: 1},
	} {
		conn, err := net.Dial("tcp", f.address(deep, peersPort))
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.SetDeadline(time.Now().Add(waitTimeout))
		var resp fasthttp.Response
		go func() {
			_, _ = fmt.Fprintf(conn, "POST /write/x HTTP/1.1\r\nHost: h\r\nX-Id: r\r\nX-Expect: i-%s\r\nX-Left: 20000\r\nShallot-Rank: 0 0 0 0\r\nX-Field: %s\r\nContent-Length: %d\r\n\r\n%s",
				deep, strings.Repeat("f", size.field), size.body, strings.Repeat("b", size.body))
		}()
		if err := resp.Read(bufio.NewReader(conn)); err != nil {
			t.Errorf("%s: %v", name, err)
		} else if result := string(resp.Header.Peek("Shallot-Result")); resp.StatusCode() != fasthttp.StatusOK || result == "" {
			t.Errorf("%s: got status %d and result %q, want 200 from the upstream", name, resp.StatusCode(), result)
		}
		_ = conn.Close()
	}
}

// TestLargestHeaderIsPassedOnToOtherNodes guards against a request with the largest header that a
// node takes from callers, which the node beside the upstream refuses as too large: nodes add fields
// and write a blank after each colon.
func TestLargestHeaderIsPassedOnToOtherNodes(t *testing.T) {
	f := newFleet(t, "front/"+front, "deep/"+deep)
	table := testTable(2)
	table.Limits.HeaderBytes = 1 << 20
	// Some 260,000 fields take seconds under the race detector on a busy machine.
	for _, r := range table.Routes {
		r.Timeout = waitTimeout
	}
	f.store.publish(store.Changes{Tables: []*route.Table{table}})
	f.eventually("the limits are in force", func() bool { return strings.Count(f.logs.String(), "version=2") >= 2 })
	u := f.upstreams[deep]
	_ = u.listener.Close()
	ln, err := net.Listen("tcp", f.address(deep, upstreamPort))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	u.server = &fasthttp.Server{Handler: u.handle, NoDefaultServerHeader: true, ReadBufferSize: 4 << 20}
	go func() { _ = u.server.Serve(ln) }()

	const head, field = "POST /write/x HTTP/1.1\r\nHost:h\r\nX-Id:%s\r\nX-Left:30000\r\nContent-Length:0\r\n", "A:\r\n"
	for _, entry := range []string{deep, front} {
		text := fmt.Sprintf(head, "r-"+entry)
		text += strings.Repeat(field, (table.Limits.HeaderBytes-len(text)-len("\r\n"))/len(field)) + "\r\n"
		c := f.caller(entry)
		if _, err := io.WriteString(c.conn, text); err != nil {
			t.Fatal(err)
		}
		if got := c.receive(); got.status != fasthttp.StatusOK {
			t.Errorf("%d bytes at %s: got status %d, want 200", len(text), entry, got.status)
		}
	}
}
