package listener

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// conn is one connection: a reader that starts the work on each request, and a
// writer that sends the answers in order.
type conn struct {
	l      *Listener
	raw    net.Conn
	in     *bufio.Reader
	remote netip.Addr
	ctx    context.Context
	leave  context.CancelFunc
	queue  chan *Exchange

	mu      sync.Mutex
	open    int
	closing bool
}

func newConn(l *Listener, raw net.Conn) *conn {
	c := &conn{l: l, raw: raw, queue: make(chan *Exchange, maxPipelined)}
	c.ctx, c.leave = context.WithCancel(context.Background())
	if tcp, ok := raw.RemoteAddr().(*net.TCPAddr); ok {
		c.remote = tcp.AddrPort().Addr().Unmap()
	}
	return c
}

// serve reads requests until the caller leaves, breaks the protocol or is told
// that the connection ends.
func (c *conn) serve() {
	c.in = bufio.NewReaderSize(c.raw, max(c.l.limits().HeaderBytes, bufferBytes))
	written := make(chan struct{})
	c.l.cfg.Go(func() {
		defer close(written)
		c.write()
	})
	c.read()
	close(c.queue)
	<-written
	c.leave()
	_ = c.raw.Close()
	c.l.remove(c)
}

func (c *conn) read() {
	for {
		x := &Exchange{Remote: c.remote, done: make(chan struct{})}
		err := c.readRequest(x)
		if c.ended() {
			return
		}
		if err == nil {
			x.Arrived = time.Now()
			c.begin()
			c.queue <- x
			c.l.cfg.Go(func() {
				defer close(x.done)
				c.l.cfg.Handler(c.ctx, x)
			})
			if x.Request.Header.ConnectionClose() {
				c.awaitLeaving()
				return
			}
			continue
		}
		var bad *badRequest
		if errors.As(err, &bad) {
			c.begin()
			x.Response.SetStatusCode(bad.status)
			x.Response.SetConnectionClose()
			close(x.done)
			c.queue <- x
			return
		}
		c.leave()
		return
	}
}

// awaitLeaving notices a caller that leaves before its last answer.
func (c *conn) awaitLeaving() {
	_ = c.raw.SetReadDeadline(time.Time{})
	c.l.cfg.Go(func() {
		if _, err := c.in.Peek(1); err != nil {
			c.leave()
		}
	})
}

// badRequest is a request that is answered with a status of the node's own.
type badRequest struct{ status int }

// Error implements error.
func (b *badRequest) Error() string { return fasthttp.StatusMessage(b.status) }

func (c *conn) readRequest(x *Exchange) error {
	limits := c.l.limits()
	_ = c.raw.SetReadDeadline(c.idleDeadline(limits))
	if _, err := c.in.Peek(1); err != nil {
		return err
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(limits.HeaderTime))
	h := &x.Request.Header
	if err := h.Read(c.in); err != nil {
		return headerError(err)
	}
	if limits.HeaderBytes > 0 && len(h.Header()) > limits.HeaderBytes {
		return &badRequest{fasthttp.StatusRequestHeaderFieldsTooLarge}
	}
	if len(h.Peek(fasthttp.HeaderTransferEncoding)) > 0 && len(h.PeekAll(fasthttp.HeaderContentLength)) > 0 {
		return &badRequest{fasthttp.StatusBadRequest}
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(bodyTime))
	if x.Request.MayContinue() {
		if _, err := c.raw.Write(continueLine); err != nil {
			return err
		}
	}
	if err := x.Request.ContinueReadBody(c.in, limits.BodyBytes, false); err != nil {
		if errors.Is(err, fasthttp.ErrBodyTooLarge) {
			return &badRequest{fasthttp.StatusRequestEntityTooLarge}
		}
		return err
	}
	return nil
}

// bodyTime is how long a caller may take to send a body; it is that of the
// longest request that a caller waits for.
const bodyTime = 30 * time.Second

var continueLine = []byte("HTTP/1.1 100 Continue\r\n\r\n")

// headerError tells what cannot be a request from a caller that has gone.
func headerError(err error) error {
	var small *fasthttp.ErrSmallBuffer
	var timeout net.Error
	switch {
	case errors.As(err, &small):
		return &badRequest{fasthttp.StatusRequestHeaderFieldsTooLarge}
	case errors.As(err, &timeout):
		return &badRequest{fasthttp.StatusRequestTimeout}
	case isBroken(err):
		return err
	}
	return &badRequest{fasthttp.StatusBadRequest}
}

// idleDeadline bounds the wait for the next request; none while one is open.
func (c *conn) idleDeadline(limits Limits) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open > 0 || limits.IdleTime <= 0 {
		return time.Time{}
	}
	return time.Now().Add(limits.IdleTime)
}

func (c *conn) begin() {
	c.mu.Lock()
	c.open++
	c.mu.Unlock()
}

// finish counts an answered request and reports whether it was the last one
// that is open.
func (c *conn) finish() (last bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open--
	if c.open == 0 && !c.closing {
		_ = c.raw.SetReadDeadline(c.idleUntil())
	}
	return c.open == 0
}

func (c *conn) idleUntil() time.Time {
	if idle := c.l.limits().IdleTime; idle > 0 {
		return time.Now().Add(idle)
	}
	return time.Time{}
}

// closeIfIdle ends the connection if no request is open.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == 0 && !c.closing {
		c.end()
	}
}

// end stops the reader; the mutex is held.
func (c *conn) end() {
	c.closing = true
	_ = c.raw.SetReadDeadline(time.Unix(1, 0))
}

func (c *conn) ended() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// lastAnswer reports whether the answer about to be written ends the connection:
// the listener closes and nothing was read behind it.
func (c *conn) lastAnswer() bool {
	if !c.l.closing.Load() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == 1 && !c.closing {
		c.end()
	}
	return c.open == 1 && c.closing
}

// write sends the answers in the order of their requests.
func (c *conn) write() {
	out := bufio.NewWriterSize(c.raw, bufferBytes)
	broken := false
	for x := range c.queue {
		<-x.done
		if broken || c.ctx.Err() != nil {
			c.finish()
			continue
		}
		if x.Request.Header.ConnectionClose() || c.lastAnswer() {
			x.Response.SetConnectionClose()
		}
		x.Response.SkipBody = x.Request.Header.IsHead()
		_ = c.raw.SetWriteDeadline(time.Now().Add(writeLimit))
		err := x.Response.Write(out)
		if err == nil {
			err = out.Flush()
		}
		c.finish()
		if err != nil || x.Response.ConnectionClose() {
			broken = true
			c.stopReading()
		}
	}
}

// stopReading makes the reader return.
func (c *conn) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.end()
}
