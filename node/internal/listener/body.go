package listener

import (
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/node/internal/body"
	"github.com/shallotspool/shallotspool/node/internal/memory"
)

const (
	// lingerTime and lingerBytes limit how much of a body that is not read is passed over, so
	// that the caller gets the response before the connection is closed.
	lingerTime  = 2 * time.Second
	lingerBytes = 64 << 20
)

// The values of the length of a request body that is chunked, or that the request does not have.
const (
	chunkedBody = -1
	noBody      = -2
)

// readBody reads the body of a request whose header was read. Its errors are those of
// readRequest.
func (c *conn) readBody(x *Exchange, limits Limits) error {
	maxBytes := limits.MaxBodyBytes
	length := x.Request.Header.ContentLength()
	if length == noBody || length == 0 {
		return nil
	}
	if length > maxBytes {
		return &requestError{status: fasthttp.StatusRequestEntityTooLarge, bodyUnread: true}
	}
	var terms BodyTerms
	if c.l.cfg.BodyTerms != nil {
		terms = c.l.cfg.BodyTerms(x)
	}
	x.bodyLease = terms.Lease
	reader := &body.Reader{In: c.in.Reader, Max: maxBytes, Lease: terms.Lease, WaitUntil: terms.WaitUntil}
	err := c.readBodyInto(x, reader, length, terms.ReadUntil)
	if err == nil && length == chunkedBody {
		err = c.in.readFields(limits.MaxHeaderBytes, x.Request.Header.ReadTrailer)
	}
	if err != nil {
		x.bodyLease.Release()
	}
	return classifyBodyError(err)
}

// readBodyInto reads a body of a length, or a chunked one up to its trailer, until a time or for
// bodyTimeout.
func (c *conn) readBodyInto(x *Exchange, reader *body.Reader, length int, until time.Time) error {
	if length > 0 {
		if err := reader.Reserve(length); err != nil {
			return err
		}
	}
	latest := time.Now().Add(bodyTimeout)
	if !until.IsZero() && until.Before(latest) {
		latest = until
	}
	c.setReadDeadline(latest)
	c.allowBody(x)
	if length > 0 {
		read, err := reader.ReadSized(length)
		x.Request.SetBodyRaw(read)
		return err
	}
	read, err := reader.ReadChunks()
	if err != nil {
		return err
	}
	x.Request.SetBodyRaw(read)
	x.Request.Header.SetContentLength(len(read))
	return nil
}

// allowBody tells a caller that waits for it to send the body, once the responses to its earlier requests
// are written.
func (c *conn) allowBody(x *Exchange) {
	if x.Request.MayContinue() {
		c.pipeline <- output{}
	}
}

// classifyBodyError returns a *requestError if a body is invalid, too large, too slow or finds no
// memory, and err itself if the connection ended.
func classifyBodyError(err error) error {
	var netErr net.Error
	switch {
	case err == nil:
		return nil
	case errors.Is(err, memory.ErrExhausted):
		return &requestError{status: fasthttp.StatusServiceUnavailable, bodyUnread: true}
	case errors.Is(err, body.ErrTooLarge):
		return &requestError{status: fasthttp.StatusRequestEntityTooLarge, bodyUnread: true}
	case errors.Is(err, errFieldsTooLarge):
		return &requestError{status: fasthttp.StatusRequestHeaderFieldsTooLarge, bodyUnread: true}
	case errors.As(err, &netErr) && netErr.Timeout():
		return &requestError{status: fasthttp.StatusRequestTimeout}
	case isConnectionError(err):
		return err
	}
	return &requestError{status: fasthttp.StatusBadRequest, bodyUnread: true}
}

// linger passes over the rest of a body, or requests that are not read. A connection that is closed with unread bytes is reset,
// and the caller may then lose the response.
func (c *conn) linger() {
	if tcp, ok := c.raw.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, c.raw, lingerBytes)
}
