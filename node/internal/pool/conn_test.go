package pool

import (
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// brokenConn is a connection that takes requests and whose reads fail.
type brokenConn struct {
	net.Conn
	err error
}

func (brokenConn) Write(b []byte) (int, error) { return len(b), nil }
func (c brokenConn) Read([]byte) (int, error) {
	return 0, &net.OpError{Op: "read", Err: os.NewSyscallError("read", c.err)}
}
func (brokenConn) Close() error { return nil }

// TestSocketErrorIsKept guards against a connection that stopped responding being taken for
// one whose request reached its deadline, so that other dead connections stay in use.
func TestSocketErrorIsKept(t *testing.T) {
	for _, want := range []error{syscall.ETIMEDOUT, syscall.ECONNRESET} {
		var req fasthttp.Request
		req.SetRequestURI("/")
		req.Header.SetHost("h")
		err := newConn(brokenConn{err: want}, 0).Exchange(&req, &fasthttp.Response{}, 100)
		if !errors.Is(err, want) {
			t.Errorf("got error %v, want %v", err, want)
		}
	}
}
