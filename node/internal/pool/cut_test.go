package pool_test

import (
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// TestResponseCutAtEveryByteIsRejected guards against an answer that broke off halfway and was
// passed on as complete, whatever its framing and wherever it ended.
func TestResponseCutAtEveryByteIsRejected(t *testing.T) {
	for name, whole := range map[string]string{
		"length":             "HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 5\r\n\r\nright",
		"chunked":            "HTTP/1.1 200 OK\r\nId: own\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nri\r\n3\r\nght\r\n0\r\n\r\n",
		"chunked, trailer":   "HTTP/1.1 200 OK\r\nId: own\r\nTransfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n5\r\nright\r\n0\r\nSum: 1\r\n\r\n",
		"chunked, extension": "HTTP/1.1 200 OK\r\nId: own\r\nTransfer-Encoding: chunked\r\n\r\n5;a=b\r\nright\r\n0\r\n\r\n",
		"compressed":         "HTTP/1.1 200 OK\r\nId: own\r\nContent-Encoding: gzip\r\nContent-Length: 5\r\n\r\nright",
		"after interim":      "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 5\r\n\r\nright",
	} {
		t.Run(name, func(t *testing.T) {
			for cut := range len(whole) {
				if resp, _, err := exchange(t, serve(t, whole[:cut]+"END")); err == nil {
					t.Errorf("accepted with body %q after %q", resp.Body(), whole[:cut])
				}
			}
			if resp, _, err := exchange(t, serve(t, whole)); err != nil || !strings.Contains(string(resp.Body()), "right") {
				t.Errorf("whole response: body %q, error %v", resp.Body(), err)
			}
		})
	}
}

// TestCutHeadIsRejectedOnKeptConnection guards against a head that stops before its end and is
// passed on as a response without a body: on a connection that has carried a response before,
// and where no body is due.
func TestCutHeadIsRejectedOnKeptConnection(t *testing.T) {
	const before = "HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 0\r\n\r\n"
	for name, c := range map[string]struct{ method, head string }{
		"length":       {"GET", "HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 5\r\n\r\n"},
		"empty body":   {"GET", "HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 0\r\n\r\n"},
		"to the end":   {"GET", "HTTP/1.1 200 OK\r\nId: own\r\nServer: a\r\n\r\n"},
		"HEAD":         {"HEAD", "HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 5\r\n\r\n"},
		"no content":   {"GET", "HTTP/1.1 204 No Content\r\nId: own\r\nServer: a\r\n\r\n"},
		"not modified": {"GET", "HTTP/1.1 304 Not Modified\r\nId: own\r\nServer: a\r\n\r\n"},
		"interim":      {"GET", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 204 No Content\r\nId: own\r\n\r\n"},
	} {
		for cut := range len(c.head) {
			p := serve(t, before, c.head[:cut]+"END")
			_, conn, err := exchange(t, p)
			if err != nil {
				t.Fatal(err)
			}
			p.Put(conn)
			kept, err := p.Get(time.Second)
			if err != nil || !kept.Reused {
				t.Fatalf("error %v, or a new connection; want the kept one", err)
			}
			var req fasthttp.Request
			var resp fasthttp.Response
			req.Header.SetMethod(c.method)
			req.SetRequestURI("/")
			req.Header.SetHost("h")
			_ = kept.SetDeadline(time.Now().Add(30 * time.Second))
			if err := kept.ExchangeWithOptions(&req, &resp, options); err == nil {
				t.Errorf("%s: accepted with status %d after %q", name, resp.StatusCode(), c.head[:cut])
			}
			p.Discard(kept)
			p.Close()
		}
	}
}
