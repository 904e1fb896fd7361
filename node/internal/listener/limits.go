package listener

import (
	"io"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Limits that apply where Config.Limits returns 0.
const (
	defaultMaxHeaderBytes = 16 << 10
	defaultMaxBodyBytes   = 1 << 20
	defaultHeaderTimeout  = 5 * time.Second
	defaultIdleTimeout    = 60 * time.Second
)

// maxHeaderBufferBytes bounds MaxHeaderBytes, since a connection keeps a buffer of the size of its
// largest header.
const maxHeaderBufferBytes = 4 << 20

// limits returns the current limits with the defaults filled in.
func (l *Listener) limits() Limits {
	limits := l.cfg.Limits()
	if limits.MaxHeaderBytes <= 0 {
		limits.MaxHeaderBytes = defaultMaxHeaderBytes
	}
	limits.MaxHeaderBytes = min(limits.MaxHeaderBytes, maxHeaderBufferBytes)
	if limits.MaxBodyBytes <= 0 {
		limits.MaxBodyBytes = defaultMaxBodyBytes
	}
	if limits.HeaderTimeout <= 0 {
		limits.HeaderTimeout = defaultHeaderTimeout
	}
	if limits.IdleTimeout <= 0 {
		limits.IdleTimeout = defaultIdleTimeout
	}
	return limits
}

// isConnectionError reports whether err is a failure or the end of the
// connection, as opposed to an invalid request.
func isConnectionError(err error) bool {
	var opErr *net.OpError
	return errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, net.ErrClosed, syscall.ECONNRESET, syscall.EPIPE) || errors.As(err, &opErr)
}
