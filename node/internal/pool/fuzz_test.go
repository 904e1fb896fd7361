package pool

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// scriptedConn is a connection on which bytes arrive whatever is sent.
type scriptedConn struct {
	net.Conn
	in io.Reader
}

func (c *scriptedConn) Read(b []byte) (int, error)       { return c.in.Read(b) }
func (c *scriptedConn) Write(b []byte) (int, error)      { return len(b), nil }
func (c *scriptedConn) Close() error                     { return nil }
func (c *scriptedConn) SetDeadline(time.Time) error      { return nil }
func (c *scriptedConn) SetReadDeadline(time.Time) error  { return nil }
func (c *scriptedConn) SetWriteDeadline(time.Time) error { return nil }

// FuzzExchange compares with the reader of the standard library: a response that is accepted must be the same one to
// it, with the same status, fields and body.
func FuzzExchange(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nX A: b\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok",
		"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 404 Not Found\r\nTransfer-Encoding: chunked\r\n\r\n2;a\r\nok\r\n0\r\nB: c\r\n\r\n",
		"HTTP/1.0 200 OK\r\n\r\nto the end", "HTTP/1.1 204 No Content\r\nContent-Length: 2\r\n\r\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c := newConn(&scriptedConn{in: bytes.NewReader(data)}, 0)
		var req fasthttp.Request
		var resp fasthttp.Response
		req.SetRequestURI("/")
		req.Header.SetHost("h")
		err := c.ExchangeWithOptions(&req, &resp, ExchangeOptions{MaxBodyBytes: 1 << 20, AllowUnknownLength: true})
		if err != nil {
			return
		}
		want, body, err := readFinal(data)
		if err != nil {
			t.Fatalf("accepted status %d and body %q, to the standard library: %v", resp.StatusCode(), resp.Body(), err)
		}
		if resp.StatusCode() != want.StatusCode || resp.StatusCode() < http.StatusOK || !bytes.Equal(resp.Body(), body) {
			t.Errorf("accepted status %d and body %q, to the standard library %d and %q", resp.StatusCode(), resp.Body(), want.StatusCode, body)
		}
		for name := range resp.Header.All() {
			if len(name) == 0 || bytes.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r >= 0x7f || r == ':' }) {
				t.Errorf("accepted a field with the name %q", name)
			}
		}
	})
}

// readFinal reads the first response that is not interim.
func readFinal(data []byte) (*http.Response, []byte, error) {
	in := bufio.NewReaderSize(bytes.NewReader(data), 64<<10)
	for {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			return nil, nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		body, err := io.ReadAll(resp.Body)
		return resp, body, err
	}
}
