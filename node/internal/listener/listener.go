// Package listener takes HTTP/1.1 requests from many connections. Requests that
// arrive on one connection before the first is answered are worked on side by
// side and answered in their order. When a caller leaves, the contexts of its
// requests end. The package decides nothing about requests.
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

	"github.com/shallotspool/shallotspool/node/internal/sockets"
)

const (
	// maxPipelined bounds the requests of one connection that are worked on at
	// once; a caller that sends more waits.
	maxPipelined = 16
	// bufferBytes is the size of a connection's read buffer.
	bufferBytes = 4 << 10
	// writeLimit is how long a caller may take to read one answer.
	writeLimit = 30 * time.Second
)

// Exchange is one request with the place for its answer.
type Exchange struct {
	Request  fasthttp.Request
	Response fasthttp.Response
	Remote   netip.Addr
	// Arrived is when the request had been read.
	Arrived time.Time

	// closes tells that the caller ends the connection after the answer, and head
	// that the answer has no body; the handler may change the request.
	closes, head bool
	done         chan struct{}
}

// Handler fills in the answer. ctx ends when the caller has gone.
type Handler func(ctx context.Context, x *Exchange)

// Limits bound what a caller may send and how long it may take; 0 means the
// listener's own bound.
type Limits struct {
	HeaderBytes, BodyBytes int
	HeaderTime, IdleTime   time.Duration
}

// Config describes a Listener.
type Config struct {
	Handler Handler
	// Limits returns the limits now in force.
	Limits func() Limits
	// MaxConnections bounds the open connections; further ones are closed.
	MaxConnections int
	// Silence bounds how long a connection may be silent; nil leaves that to the
	// system.
	Silence *sockets.Silence
	// Go runs a goroutine.
	Go func(func())
}

// Listener serves connections; its methods may be called from any goroutine.
type Listener struct {
	cfg     Config
	closing atomic.Bool
	open    atomic.Int64

	mu    sync.Mutex
	ln    net.Listener
	conns map[*conn]struct{}
}

// New returns a Listener; Serve starts it.
func New(cfg Config) *Listener { return &Listener{cfg: cfg, conns: map[*conn]struct{}{}} }

// Serve takes connections from ln until Close.
func (l *Listener) Serve(ln net.Listener) error {
	l.mu.Lock()
	l.ln = ln
	l.mu.Unlock()
	for {
		raw, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// Without descriptors, waiting is all that helps.
			time.Sleep(acceptPause)
			continue
		}
		if l.open.Load() >= int64(l.cfg.MaxConnections) {
			_ = raw.Close()
			continue
		}
		if l.cfg.Silence != nil {
			if err := l.cfg.Silence.Apply(raw); err != nil {
				// The other side has gone already.
				_ = raw.Close()
				continue
			}
		}
		c := newConn(l, raw)
		l.add(c)
		l.cfg.Go(c.serve)
	}
}

// acceptPause is the wait after a failed accept, long enough for a descriptor to
// become free.
const acceptPause = 20 * time.Millisecond

func (l *Listener) add(c *conn) {
	l.open.Add(1)
	l.mu.Lock()
	l.conns[c] = struct{}{}
	l.mu.Unlock()
}

func (l *Listener) remove(c *conn) {
	l.open.Add(-1)
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
}

// Drain makes every further answer the last one of its connection.
func (l *Listener) Drain() { l.closing.Store(true) }

// CloseIdle closes the connections on which no request is open.
func (l *Listener) CloseIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.closeIfIdle()
	}
}

// Close takes no further connections. Those that are open stay.
func (l *Listener) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ln != nil {
		_ = l.ln.Close()
	}
}

// Abort closes everything at once; open requests get no answer.
func (l *Listener) Abort() {
	l.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		_ = c.raw.Close()
	}
}

// Open returns the number of open connections.
func (l *Listener) Open() int { return int(l.open.Load()) }
