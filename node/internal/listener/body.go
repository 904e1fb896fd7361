package listener

import (
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/core/http1"
	"github.com/shallotspool/shallotspool/node/internal/body"
	"github.com/shallotspool/shallotspool/node/internal/memory"
)

const (
	// lingerTime and lingerBytes limit how much of a body that is not read is passed over, so
	// that the caller gets the response before the connection is closed.
	lingerTime  = 2 * time.Second
	lingerBytes = 64 << 20
)

// readBody reads the body of a request whose head was read. Its errors are those of
// readRequest.
func (c *conn) readBody(x *Exchange, head *http1.RequestHead, limits Limits) error {
	if !head.Chunked && head.Length == 0 {
		return nil
	}
	if !head.Chunked && head.Length > uint64(limits.MaxBodyBytes) {
		return &requestError{status: fasthttp.StatusRequestEntityTooLarge, bodyUnread: true}
	}
	var terms BodyTerms
	if c.l.cfg.BodyTerms != nil {
		terms = c.l.cfg.BodyTerms(x)
	}
	x.bodyLease = terms.Lease
	reader := &body.Reader{In: c.in, Max: limits.MaxBodyBytes, Lease: terms.Lease, WaitUntil: terms.WaitUntil}
	err := c.readBodyInto(x, reader, head, terms.ReadUntil)
	if err != nil {
		x.bodyLease.Release()
	}
	return c.classifyBodyError(err)
}

// readBodyInto reads a body of a length, or a chunked one with its trailer, until a time or for
// bodyTimeout.
func (c *conn) readBodyInto(x *Exchange, reader *body.Reader, head *http1.RequestHead, until time.Time) error {
	length := int(head.Length)
	if !head.Chunked {
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
	if !head.Chunked {
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
	// What is passed on of a trailer is the empty line.
	_, err = c.in.Discard(len("\r\n"))
	return err
}

// allowBody tells a caller that waits for it to send the body, once the responses to its earlier requests
// are written.
func (c *conn) allowBody(x *Exchange) {
	if x.expectsContinue {
		c.pipeline <- output{}
	}
}

// classifyBodyError returns a *requestError if a body is invalid, too large, too slow or finds no
// memory, and err itself if the connection ended.
func (c *conn) classifyBodyError(err error) error {
	var netErr net.Error
	switch {
	case err == nil:
		return nil
	case errors.Is(err, memory.ErrExhausted):
		return &requestError{status: fasthttp.StatusServiceUnavailable, bodyUnread: true}
	case errors.Is(err, body.ErrTooLarge):
		return &requestError{status: fasthttp.StatusRequestEntityTooLarge, bodyUnread: true}
	case errors.As(err, &netErr) && netErr.Timeout():
		return &requestError{status: fasthttp.StatusRequestTimeout}
	case isConnectionError(err):
		return err
	}
	return c.classifyMalformed(err)
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
