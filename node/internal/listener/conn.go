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

	"github.com/shallotspool/shallotspool/core/http1"
)

// conn is one connection. One goroutine reads requests and starts a handler for
// each; another writes the responses in the order of the requests.
type conn struct {
	l      *Listener
	raw    net.Conn
	remote netip.Addr
	// requests checks what arrives, and in buffers what it passes on.
	requests *http1.RequestReader
	in       *bufio.Reader
	// ctx is the context of all handlers; cancel is called when the caller
	// disconnects or the connection ends.
	ctx    context.Context
	cancel context.CancelFunc
	// pipeline holds what is to be written behind the response that is written next. The reader
	// blocks while it is full.
	pipeline chan output

	// lingers is set if the caller may still be sending what is not read, and closesDrained if
	// the last response closes the connection because the listener drains, so that the caller may
	// have sent further requests behind it.
	lingers, closesDrained bool

	mu sync.Mutex
	// openRequests counts the requests that have been read but not answered.
	openRequests int
	// closing makes the reader return instead of reading another request.
	closing bool
	// waiting is set while the reader waits for the first byte of a request, and reading while
	// it reads one.
	waiting, reading bool
	// lastRead is set once no request is read behind the open ones, because the listener drains.
	lastRead bool
	// giveUp is set once a request that is being read is to be refused.
	giveUp bool
}

// output is what is written to a connection at a time: the response to a request, or the interim one
// that allows a caller to send a body, if exchange is nil.
type output struct{ exchange *Exchange }

func newConn(l *Listener, raw net.Conn) *conn {
	c := &conn{l: l, raw: raw, pipeline: make(chan output, maxPipelined)}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	if tcp, ok := raw.RemoteAddr().(*net.TCPAddr); ok {
		c.remote = tcp.AddrPort().Addr().Unmap()
	}
	return c
}

// serve reads and handles requests until readRequests returns, then closes the
// connection once the remaining responses are written or discarded.
func (c *conn) serve() {
	c.requests = http1.NewRequestReader(c.raw, http1.RequestOptions{})
	c.in = bufio.NewReaderSize(c.requests, bufferBytes)
	written := make(chan struct{})
	c.l.cfg.Go(func() {
		defer close(written)
		c.writeResponses()
	})
	c.readRequests()
	close(c.pipeline)
	<-written
	c.cancel()
	if c.lingers || c.closesDrained {
		c.linger()
	}
	_ = c.raw.Close()
	c.l.remove(c)
}

// readRequests reads requests and starts their handlers until no further request
// is to be read. If the connection ends or fails, it cancels the handlers.
func (c *conn) readRequests() {
	for {
		x := &Exchange{RemoteIP: c.remote, done: make(chan struct{})}
		err := c.readRequest(x)
		var invalid *requestError
		switch {
		case errors.Is(err, errDrained):
			c.lingers = true
			c.watchDisconnect()
			return
		case err == nil:
			if !c.handle(x) {
				return
			}
		case errors.As(err, &invalid):
			c.reject(x, invalid)
			return
		default:
			if !c.isClosing() {
				c.cancel()
			}
			return
		}
	}
}

// handle starts the handler of a request that was read, unless the connection closes before its
// response could be written. It reports whether further requests are to be read.
func (c *conn) handle(x *Exchange) (more bool) {
	x.ReceivedAt = time.Now()
	x.callerCloses, x.isHead = x.Request.Header.ConnectionClose(), x.Request.Header.IsHead()
	if !c.addOpenRequest() {
		x.finish()
		return false
	}
	c.pipeline <- output{x}
	c.l.cfg.Go(func() {
		defer close(x.done)
		c.l.cfg.Handler(c.ctx, x)
	})
	if x.callerCloses {
		c.watchDisconnect()
		return false
	}
	return true
}

// reject responds to a request that is invalid, or that is not read whole.
func (c *conn) reject(x *Exchange, invalid *requestError) {
	if !c.addOpenRequest() {
		x.finish()
		return
	}
	c.lingers = invalid.bodyUnread
	if invalid.status == fasthttp.StatusServiceUnavailable {
		c.l.cfg.Refuse(x)
	} else {
		x.Response.SetStatusCode(invalid.status)
	}
	x.Response.SetConnectionClose()
	close(x.done)
	c.pipeline <- output{x}
}

// watchDisconnect cancels the handlers if the caller disconnects after its last
// request, when nothing else reads from the connection.
func (c *conn) watchDisconnect() {
	c.setReadDeadline(time.Time{})
	c.l.cfg.Go(func() {
		if err := c.requests.Wait(); err != nil {
			c.cancel()
		}
	})
}

// requestError is a request that is invalid or finds no memory, which gets a response with an
// error status instead of being handled. bodyUnread is set if the caller may still be sending
// its body.
type requestError struct {
	status     int
	bodyUnread bool
}

// Error implements error.
func (e *requestError) Error() string { return fasthttp.StatusMessage(e.status) }

// readRequest waits for the next request and reads it whole. The error is a
// *requestError if the request gets a response with an error status.
func (c *conn) readRequest(x *Exchange) error {
	if err := c.waitForRequest(c.l.limits().IdleTimeout); err != nil {
		return err
	}
	defer c.endReading()
	limits := c.l.limits()
	c.setReadDeadline(time.Now().Add(limits.HeaderTimeout))
	head, err := c.readHead(x, limits.MaxHeaderBytes)
	if err != nil {
		return c.classifyHeaderError(err)
	}
	x.HeaderAt = time.Now()
	if head.ExpectsOther {
		return &requestError{status: fasthttp.StatusExpectationFailed, bodyUnread: true}
	}
	err = c.readBody(x, head, limits)
	if err != nil && c.givesUp() {
		return &requestError{status: fasthttp.StatusServiceUnavailable, bodyUnread: true}
	}
	return err
}

// bodyTimeout is how long a caller may take to send a body. It equals the timeout
// of a request that states none.
const bodyTimeout = 30 * time.Second

var continueResponse = []byte("HTTP/1.1 100 Continue\r\n\r\n")

// readHead reads the head of a request into x.
func (c *conn) readHead(x *Exchange, maxBytes int) (*http1.RequestHead, error) {
	head, err := c.requests.ReadHead(maxBytes)
	if err != nil {
		return nil, err
	}
	// fasthttp reads a head only if it fits into the buffer.
	if head.Bytes > c.in.Size() {
		c.in = bufio.NewReaderSize(c.requests, head.Bytes)
	}
	h := &x.Request.Header
	if h.Read(c.in) != nil {
		// The error of fasthttp quotes all that it has read.
		return nil, errNotAccepted
	}
	if head.Closes {
		h.SetConnectionClose()
	}
	x.expectsContinue = head.ExpectsContinue
	x.keepsHTTP10 = head.HTTP10 && !h.ConnectionClose()
	// A request is passed on with the version of the node.
	h.SetProtocol("HTTP/1.1")
	if len(head.Authority) > 0 {
		h.SetHostBytes(head.Authority)
		h.SetRequestURIBytes(head.Path)
	}
	return head, nil
}

// errNotAccepted means that fasthttp refuses a head that is well-formed, such as one with two content types.
var errNotAccepted = errors.New("head is not accepted")

// classifyHeaderError returns a *requestError if a header was invalid, too large
// or too slow, and err itself if the connection ended. Any net.Error, also a
// reset, counts as too slow; the response to a reset cannot be delivered.
func (c *conn) classifyHeaderError(err error) error {
	var netErr net.Error
	switch {
	case errors.As(err, &netErr):
		return &requestError{status: fasthttp.StatusRequestTimeout}
	case isConnectionError(err):
		return err
	}
	return c.classifyMalformed(err)
}

// classifyMalformed returns the *requestError for a request that is malformed, and reports it.
func (c *conn) classifyMalformed(err error) error {
	status := fasthttp.StatusBadRequest
	var malformed *http1.MalformedError
	if errors.As(err, &malformed) {
		switch {
		case malformed.FieldsTooLong():
			status = fasthttp.StatusRequestHeaderFieldsTooLarge
		case malformed.OtherVersion:
			status = fasthttp.StatusHTTPVersionNotSupported
		}
	}
	if c.l.cfg.OnMalformed != nil {
		c.l.cfg.OnMalformed(c.remote, status, err)
	}
	return &requestError{status: status, bodyUnread: true}
}

// waitForRequest waits for the first byte of a request, for up to the idle timeout or, while a
// request is open, without limit. It returns errDrained if none is to be read.
func (c *conn) waitForRequest(idleTimeout time.Duration) error {
	c.mu.Lock()
	if c.openRequests > 0 && c.l.draining.Load() {
		c.lastRead = true
		c.mu.Unlock()
		return errDrained
	}
	c.waiting = true
	if c.openRequests > 0 {
		c.setReadDeadlineLocked(time.Time{})
	} else {
		c.setReadDeadlineLocked(time.Now().Add(idleTimeout))
	}
	c.mu.Unlock()
	err := c.requests.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting, c.reading = false, err == nil
	if c.lastRead {
		c.reading = false
		return errDrained
	}
	return err
}

// errDrained means that no request is read any more, because the listener drains and others are
// open on the connection.
var errDrained = errors.New("listener drains")

// endReading records that the reader has read a request or failed to.
func (c *conn) endReading() {
	c.mu.Lock()
	c.reading = false
	c.mu.Unlock()
}

// drain makes the reader read no further request if it waits for one while others are open.
func (c *conn) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.openRequests > 0 && c.waiting && !c.closing {
		c.lastRead = true
		_ = c.raw.SetReadDeadline(time.Unix(1, 0))
	}
}

// refuseUnread makes the reader refuse the request that it reads, if it reads one.
func (c *conn) refuseUnread() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reading && !c.closing {
		c.giveUp = true
		_ = c.raw.SetReadDeadline(time.Unix(1, 0))
	}
}

func (c *conn) givesUp() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.giveUp
}

// setReadDeadline sets the read deadline; the zero time removes it.
func (c *conn) setReadDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setReadDeadlineLocked(t)
}

// setReadDeadlineLocked sets the read deadline, unless stopReadingLocked or refuseUnread has
// set one in the past. The caller must hold the mutex.
func (c *conn) setReadDeadlineLocked(t time.Time) {
	if !c.closing && !c.giveUp {
		_ = c.raw.SetReadDeadline(t)
	}
}

// addOpenRequest counts a request as open. It reports false if the connection closes before a
// response to it could be written.
func (c *conn) addOpenRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.openRequests++
	return true
}

// removeOpenRequest counts a request as no longer open and starts the idle
// timeout after the last one.
func (c *conn) removeOpenRequest() {
	idle := c.l.limits().IdleTimeout
	c.mu.Lock()
	defer c.mu.Unlock()
	c.openRequests--
	if c.openRequests == 0 && !c.reading {
		c.setReadDeadlineLocked(time.Now().Add(idle))
	}
}

// closeIfIdle ends the connection if no request is open or being read.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.openRequests == 0 && !c.reading && !c.closing {
		c.stopReadingLocked()
	}
}

// stopReadingLocked makes the reader return: it sets closing, and a read
// deadline in the past interrupts a blocked read. The caller must hold the mutex.
func (c *conn) stopReadingLocked() {
	c.closing = true
	_ = c.raw.SetReadDeadline(time.Unix(1, 0))
}

func (c *conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// stopIfDrained stops the reader if the listener drains and no request is open or being read but
// the one whose response is about to be written. It reports whether this is the
// case; the connection then closes after that response.
func (c *conn) stopIfDrained() bool {
	if !c.l.draining.Load() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.openRequests == 1 && !c.reading && !c.closing {
		c.stopReadingLocked()
	}
	return c.openRequests == 1 && (c.closing || c.lastRead)
}

// writeResponses writes the responses in the order of their requests, each once
// its handler has returned, and the interim ones between them. Nothing else writes to the
// connection. It discards the remaining ones after a failed write, after a response that closes
// the connection and once the context is cancelled.
func (c *conn) writeResponses() {
	out := bufio.NewWriterSize(c.raw, bufferBytes)
	stopped := false
	for next := range c.pipeline {
		x := next.exchange
		if x != nil {
			<-x.done
		}
		closes := false
		switch discard := stopped || c.ctx.Err() != nil; {
		case x == nil && !discard:
			closes = c.writeInterim(out) != nil
		case x != nil && !discard:
			closes = c.writeResponse(out, x)
		}
		if x != nil {
			x.finish()
			c.removeOpenRequest()
		}
		if closes {
			stopped = true
			c.stopReading()
		}
	}
}

// writeResponse writes the response to x, and reports whether it was the last one of the connection.
func (c *conn) writeResponse(out *bufio.Writer, x *Exchange) (closes bool) {
	c.closesDrained = c.stopIfDrained()
	if x.callerCloses || c.closesDrained {
		x.Response.SetConnectionClose()
	}
	if x.keepsHTTP10 && !x.Response.ConnectionClose() {
		x.Response.Header.Set(fasthttp.HeaderConnection, "keep-alive")
	}
	x.Response.SkipBody = x.isHead
	_ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
	err := x.Response.Write(out)
	if err == nil {
		err = out.Flush()
	}
	return err != nil || x.Response.ConnectionClose()
}

// writeInterim writes the response that allows the caller to send the body of its last request.
func (c *conn) writeInterim(out *bufio.Writer) error {
	_ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := out.Write(continueResponse); err != nil {
		return err
	}
	return out.Flush()
}

func (c *conn) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopReadingLocked()
}
