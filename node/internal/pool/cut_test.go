package pool_test

import (
	"strings"
	"testing"
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
