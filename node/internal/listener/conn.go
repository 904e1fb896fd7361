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
		if err != nil && c.ended() {
			return
		}
		if err == nil {
			x.Arrived = time.Now()
			x.closes, x.head = x.Request.Header.ConnectionClose(), x.Request.Header.IsHead()
			c.begin()
			c.queue <- x
			c.l.cfg.Go(func() {
				defer close(x.done)
				c.l.cfg.Handler(c.ctx, x)
			})
			if x.closes {
				c.awaitLeaving()
				return
			}
			if c.ended() {
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
	c.readUntil(time.Time{})
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
	c.awaitNext(limits)
	if _, err := c.in.Peek(1); err != nil {
		return err
	}
	c.readUntil(time.Now().Add(limits.HeaderTime))
	h := &x.Request.Header
	if err := h.Read(c.in); err != nil {
		return headerError(err)
	}
	if limits.HeaderBytes > 0 && len(h.Header()) > limits.HeaderBytes {
		return &badRequest{fasthttp.StatusRequestHeaderFieldsTooLarge}
	}
	c.readUntil(time.Now().Add(bodyTime))
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

// awaitNext bounds the wait for the next request, unless one is open.
func (c *conn) awaitNext(limits Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open > 0 {
		c.setReadDeadline(time.Time{})
		return
	}
	c.setReadDeadline(time.Now().Add(limits.IdleTime))
}

// readUntil bounds reading.
func (c *conn) readUntil(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setReadDeadline(t)
}

// setReadDeadline sets the deadline unless the reader is to stop; the mutex is
// held.
func (c *conn) setReadDeadline(t time.Time) {
	if !c.closing {
		_ = c.raw.SetReadDeadline(t)
	}
}

func (c *conn) begin() {
	c.mu.Lock()
	c.open++
	c.mu.Unlock()
}

// finish counts an answered request.
func (c *conn) finish() {
	idle := c.l.limits().IdleTime
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open--
	if c.open == 0 {
		c.setReadDeadline(time.Now().Add(idle))
	}
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
		if x.closes || c.lastAnswer() {
			x.Response.SetConnectionClose()
		}
		x.Response.SkipBody = x.head
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
