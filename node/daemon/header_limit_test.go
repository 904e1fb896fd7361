package daemon

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/node/internal/pool"
	"github.com/shallotspool/shallotspool/node/internal/rawserver"
)

// headOfSize extends head by short fields and ends it, so that it has size bytes. Nodes write such a
// head longer, with a blank after each colon.
func headOfSize(head string, size int) string {
	const field, end = "A:\r\n", "\r\n"
	left := size - len(head) - len(end)
	return head + strings.Repeat(field, left/len(field)-1) + "A:" + strings.Repeat("a", left%len(field)) + "\r\n" + end
}

// TestLargestHeadersPassBetweenNodes guards against a request or an answer whose header is within the
// limit of callers or upstreams, and is lost or refused between nodes, since these write it longer.
func TestLargestHeadersPassBetweenNodes(t *testing.T) {
	f := newFleet(t, "front-1", "deep-1")
	f.nodes["deep-1"].Kill()
	f.startNode("deep-1", rawserver.Serve(t, func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		var req fasthttp.Request
		if req.Read(bufio.NewReaderSize(conn, 64<<10)) != nil {
			return
		}
		head := "HTTP/1.1 200 OK\r\nContent-Length:2\r\n"
		if string(req.Header.Peek("Answer")) == "large" {
			head = headOfSize(head, pool.MaxHeaderBytes)
		} else {
			head += "\r\n"
		}
		_, _ = io.WriteString(conn, head+"ok")
	}))
	f.waitUntilConnected([]string{"front-1", "deep-1"})
	waitUntil(t, "front-1 sends calls to deep-1", func() bool {
		return f.callerOf("front-1").Do(f.newCall("deep", "stock", "warm")).Status == 200
	})
	request := "GET /stock/1 HTTP/1.1\r\nHost:x\r\nShallot-Service:deep\r\n"
	for _, entry := range []string{"deep-1", "front-1"} {
		for name, text := range map[string]string{
			"request": headOfSize(request, 16<<10), "answer": request + "Answer: large\r\n\r\n",
		} {
			conn, err := net.Dial("tcp", f.nodes[entry].settings.ListenCallers.String())
			if err != nil {
				t.Fatal(err)
			}
			_ = conn.SetDeadline(time.Now().Add(30 * time.Second))
			_, err = fmt.Fprint(conn, text)
			var resp fasthttp.Response
			if err == nil {
				err = resp.Read(bufio.NewReaderSize(conn, 64<<10))
			}
			if err != nil || resp.StatusCode() != 200 || string(resp.Body()) != "ok" {
				t.Errorf("large header of the %s at %s: got status %d, body %.200q and error %v, want 200", name, entry, resp.StatusCode(), resp.Body(), err)
			}
			_ = conn.Close()
		}
		tooLarge := headOfSize(request, 16<<10+1)
		if got := sendRaw(t, f.nodes[entry].settings.ListenCallers.String(), tooLarge); !strings.HasPrefix(got, "HTTP/1.1 431 ") {
			t.Errorf("header one byte beyond the limit at %s: got %.60q, want 431", entry, got)
		}
	}
}
