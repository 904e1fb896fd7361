package listener

import (
	"io"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// The bounds in force while the routing table states none.
const (
	defaultHeaderBytes = 16 << 10
	defaultBodyBytes   = 1 << 20
	defaultHeaderTime  = 5 * time.Second
	defaultIdleTime    = 60 * time.Second
)

func (l *Listener) limits() Limits {
	limits := l.cfg.Limits()
	if limits.HeaderBytes <= 0 {
		limits.HeaderBytes = defaultHeaderBytes
	}
	if limits.BodyBytes <= 0 {
		limits.BodyBytes = defaultBodyBytes
	}
	if limits.HeaderTime <= 0 {
		limits.HeaderTime = defaultHeaderTime
	}
	if limits.IdleTime <= 0 {
		limits.IdleTime = defaultIdleTime
	}
	return limits
}

// isBroken tells whether the connection ended, as opposed to bytes that are no
// request.
func isBroken(err error) bool {
	var op *net.OpError
	return errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, net.ErrClosed, syscall.ECONNRESET, syscall.EPIPE) || errors.As(err, &op)
}
