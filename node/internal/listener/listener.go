// Package listener accepts connections and serves HTTP/1.1 requests on them.
// Pipelined requests on one connection are handled concurrently and answered in
// order. When a caller disconnects, the contexts of its requests are cancelled.
// What to respond is left to the handler, except for requests that are invalid
// or exceed a limit.
package listener

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/node/internal/memory"
	"github.com/shallotspool/shallotspool/node/internal/sockets"
)

const (
	// maxPipelined is the number of requests on a connection that may wait behind
	// the one whose response is written next. While that many wait, one further
	// request is read, but not handled yet.
	maxPipelined = 16
	// bufferBytes is the size of a connection's write buffer and, until a header does not fit,
	// of its read buffer.
	bufferBytes = 4 << 10
	// writeTimeout is how long a caller may take to read a response.
	writeTimeout = 30 * time.Second
)

// Exchange is a request and its response.
type Exchange struct {
	Request  fasthttp.Request
	Response fasthttp.Response
	// RemoteIP is the caller's IP address.
	RemoteIP netip.Addr
	// HeaderAt is the time at which the header had been read, ReceivedAt that for the whole
	// request.
	HeaderAt, ReceivedAt time.Time

	// callerCloses is true if the caller asked to close the connection after the
	// response, and isHead if the response must not have a body. Both are stored
	// as the handler may change the request.
	callerCloses, isHead bool
	// keepsHTTP10 is true if the request has version 1.0 and its connection is to be kept.
	keepsHTTP10 bool
	// expectsContinue is true if the caller waits for an interim response before it sends the body.
	expectsContinue bool
	done            chan struct{}
	// bodyLease is charged with the memory of the request's body.
	bodyLease *memory.Lease
	// release is called once the response has been written or discarded; see OnRelease.
	release func()
}

// OnRelease makes the listener call release once it no longer needs the response, because it
// has been written or discarded. Only a handler may call it, once.
func (x *Exchange) OnRelease(release func()) { x.release = release }

// finish frees the request and the response.
func (x *Exchange) finish() {
	x.Request.Reset()
	x.bodyLease.Release()
	x.Response.Reset()
	if x.release != nil {
		x.release()
	}
}

// Handler fills in the response. ctx is cancelled when the caller disconnects.
type Handler func(ctx context.Context, x *Exchange)

// Limits are the limits on requests and connections. 0 means the default.
type Limits struct {
	// MaxHeaderBytes and MaxBodyBytes are the maximum sizes of a request's header
	// and body, as the caller sends them. MaxHeaderBytes is also that of a trailer.
	MaxHeaderBytes, MaxBodyBytes int
	// HeaderTimeout is how long a caller may take to send a header, and
	// IdleTimeout how long a connection without an open request is kept.
	HeaderTimeout, IdleTimeout time.Duration
}

// BodyTerms limits the reading of one body.
type BodyTerms struct {
	// Lease is charged with the memory of the body; nil does not limit it. The body may wait
	// for memory until WaitUntil before it is read.
	Lease     *memory.Lease
	WaitUntil time.Time
	// ReadUntil is when the sender no longer waits, zero if that is not known.
	ReadUntil time.Time
}

// Config configures a Listener.
type Config struct {
	Handler Handler
	// Limits returns the current limits.
	Limits func() Limits
	// MaxConnections is the maximum number of open connections; further ones are
	// closed as soon as they are accepted.
	MaxConnections int
	// TCPTimeouts sets the TCP timeouts of connections; nil means the system's
	// defaults.
	TCPTimeouts *sockets.TCPTimeouts
	// BodyTerms returns how the body of a request may be read. Only the header of the request
	// is known then. It may be nil.
	BodyTerms func(x *Exchange) BodyTerms
	// Refuse fills in the response to a request whose body finds no memory, or that is not read
	// because of RefuseUnread. It must be set if BodyTerms is.
	Refuse func(x *Exchange)
	// OnMalformed is called with each request that gets a status because it is malformed. It may be nil.
	OnMalformed func(remote netip.Addr, status int, err error)
	// Go runs a function in a new goroutine.
	Go func(func())
}

// Listener serves HTTP/1.1 connections. Its methods may be called from any
// goroutine.
type Listener struct {
	cfg Config
	// draining is true once Drain has been called.
	draining atomic.Bool
	// openConns counts the open connections.
	openConns atomic.Int64

	mu    sync.Mutex
	ln    net.Listener
	conns map[*conn]struct{}
	// closed is true once Close has been called, possibly before Serve.
	closed bool
}

// New returns a Listener; call Serve to start it.
func New(cfg Config) *Listener { return &Listener{cfg: cfg, conns: map[*conn]struct{}{}} }

// Serve accepts connections from ln until Close is called. It returns at once, and closes
// ln, if that has happened before.
func (l *Listener) Serve(ln net.Listener) error {
	l.mu.Lock()
	l.ln = ln
	if l.closed {
		_ = ln.Close()
	}
	l.mu.Unlock()
	for {
		raw, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// Likely out of file descriptors: wait until one may be free.
			time.Sleep(acceptRetryDelay)
			continue
		}
		if l.openConns.Load() >= int64(l.cfg.MaxConnections) {
			_ = raw.Close()
			continue
		}
		if l.cfg.TCPTimeouts != nil {
			if err := l.cfg.TCPTimeouts.Apply(raw); err != nil {
				// The remote side has already disconnected.
				_ = raw.Close()
				continue
			}
		}
		c := newConn(l, raw)
		l.add(c)
		l.cfg.Go(c.serve)
	}
}

// acceptRetryDelay is the wait after a failed accept, long enough for a file
// descriptor to become free.
const acceptRetryDelay = 20 * time.Millisecond

func (l *Listener) add(c *conn) {
	l.openConns.Add(1)
	l.mu.Lock()
	l.conns[c] = struct{}{}
	l.mu.Unlock()
}

func (l *Listener) remove(c *conn) {
	l.openConns.Add(-1)
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
}

// Drain makes every connection close after the responses to the requests that have been read, or
// are being read, at that time. A connection without such requests takes one more and closes
// after it. Drain does not close idle connections; CloseIdle does.
func (l *Listener) Drain() {
	l.draining.Store(true)
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.drain()
	}
}

// RefuseUnread makes the requests that are being read now end with the response of Config.Refuse,
// which must be set.
func (l *Listener) RefuseUnread() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.refuseUnread()
	}
}

// CloseIdle closes the connections that have no open request and do not send one.
func (l *Listener) CloseIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.closeIfIdle()
	}
}

// Close stops accepting connections. Open connections are not affected.
func (l *Listener) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	if l.ln != nil {
		_ = l.ln.Close()
	}
}

// Abort stops accepting connections and closes the open ones immediately;
// pending requests get no response.
func (l *Listener) Abort() {
	l.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		_ = c.raw.Close()
	}
}

// ConnectionCount returns the number of open connections.
func (l *Listener) ConnectionCount() int { return int(l.openConns.Load()) }
