// Package pool maintains a bounded pool of reusable HTTP/1.1 connections to one
// target. It neither chooses between targets nor retries.
package pool

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/shallotspool/shallotspool/node/internal/sockets"
)

// Errors of Get and GetWithMaxIdleTime. In both cases nothing has been sent.
var (
	ErrFull = errors.New("all connections to the target are in use")
	ErrDial = errors.New("cannot connect to the target")
)

// defaultIdleTime is shorter than the time that the listeners of nodes keep an
// idle connection, so that this side closes it first.
const defaultIdleTime = 30 * time.Second

// Config configures a Pool.
type Config struct {
	// Address is the target's IP:port.
	Address string
	// SourceIP is the local IP address to connect from; nil means any.
	SourceIP net.IP
	// TCPTimeouts sets the TCP timeouts of connections; nil means the system's
	// defaults.
	TCPTimeouts *sockets.TCPTimeouts
	// MaxIdleTime is how long an idle connection is kept; 0 means
	// defaultIdleTime.
	MaxIdleTime time.Duration
	// ExtraHeaderBytes is added to MaxHeaderBytes for the fields that another node adds.
	ExtraHeaderBytes int
	// MaxConnections is the maximum number of connections, in use and idle.
	MaxConnections int
	// OnConnect is called with the time it took to open each new connection.
	OnConnect func(time.Duration)
}

// Pool is a pool of connections to one target. Its methods may be called from
// any goroutine.
type Pool struct {
	cfg Config

	mu sync.Mutex
	// open counts all connections: in use, idle and reserved.
	open int
	// idle holds the most recently used connection last, established all connections that
	// are in use or idle, and the witness.
	idle        []*Conn
	established map[*Conn]struct{}
	// witness is open but carries no requests; see KeepWitness. It is nil if there is none.
	witness *Conn
	closed  bool
}

// New returns an empty Pool.
func New(cfg Config) *Pool { return &Pool{cfg: cfg, established: map[*Conn]struct{}{}} }

// Address returns the target's IP:port.
func (p *Pool) Address() string { return p.cfg.Address }

// Get returns a healthy idle connection, or opens a new one within timeout. The
// error is ErrDial or, if the pool is full or closed, ErrFull.
func (p *Pool) Get(timeout time.Duration) (*Conn, error) {
	return p.GetWithMaxIdleTime(timeout, p.idleTime())
}

// GetWithMaxIdleTime is Get, but closes connections that have been idle for
// maxIdle or longer: the target may be about to close them.
func (p *Pool) GetWithMaxIdleTime(timeout, maxIdle time.Duration) (*Conn, error) {
	for {
		c, reserved := p.takeOrReserve()
		if c != nil && time.Since(c.idleSince) >= maxIdle {
			p.Discard(c)
			continue
		}
		if c == nil && !reserved {
			return nil, ErrFull
		}
		if c == nil {
			return p.dial(timeout)
		}
		if sockets.Peek(c.Conn) == sockets.Open {
			c.Reused = true
			c.bytesWritten.Store(0)
			return c, nil
		}
		p.Discard(c)
	}
}

// Dial opens a new connection even if there are idle ones. Its errors are those of Get.
func (p *Pool) Dial(timeout time.Duration) (*Conn, error) {
	if !p.reserve() {
		return nil, ErrFull
	}
	return p.dial(timeout)
}

func (p *Pool) idleTime() time.Duration {
	if p.cfg.MaxIdleTime > 0 {
		return p.cfg.MaxIdleTime
	}
	return defaultIdleTime
}

// CloseIdle closes all idle connections. It is meant for when another connection
// to the target has timed out in TCP, as the idle ones are likely broken too.
func (p *Pool) CloseIdle() {
	p.dropWitness()
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		p.Discard(c)
	}
}

// takeOrReserve takes the most recently used idle connection, or reserves the
// right to open a new one. Both results are zero if the pool is full or closed.
func (p *Pool) takeOrReserve() (c *Conn, reserved bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, false
	}
	if last := len(p.idle) - 1; last >= 0 {
		c = p.idle[last]
		p.idle[last] = nil
		p.idle = p.idle[:last]
		return c, false
	}
	return nil, p.reserveLocked()
}

// reserve reserves the right to open a new connection, unless the pool is full or closed.
func (p *Pool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.closed && p.reserveLocked()
}

// reserveLocked is reserve for a pool that is not closed. The caller holds p.mu.
func (p *Pool) reserveLocked() bool {
	if p.open >= p.cfg.MaxConnections {
		return false
	}
	p.open++
	return true
}

// dial opens a connection that was reserved.
func (p *Pool) dial(timeout time.Duration) (*Conn, error) {
	started := time.Now()
	raw, err := p.dialer(timeout).Dial("tcp", p.cfg.Address)
	if err != nil {
		p.unreserve()
		return nil, errors.Mark(errors.Wrap(err, "dial"), ErrDial)
	}
	if p.cfg.OnConnect != nil {
		p.cfg.OnConnect(time.Since(started))
	}
	c := newConn(raw, p.cfg.ExtraHeaderBytes)
	p.mu.Lock()
	p.established[c] = struct{}{}
	p.mu.Unlock()
	return c, nil
}

func (p *Pool) dialer(timeout time.Duration) *net.Dialer {
	d := &net.Dialer{Timeout: timeout}
	if p.cfg.TCPTimeouts != nil {
		d = p.cfg.TCPTimeouts.Dialer(timeout)
	}
	if p.cfg.SourceIP != nil {
		d.LocalAddr = &net.TCPAddr{IP: p.cfg.SourceIP}
	}
	return d
}

func (p *Pool) unreserve() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// Put returns a connection whose last response has been read completely to the
// pool. It does not reset the connection's deadline: whoever gets the
// connection next sets a new one.
func (p *Pool) Put(c *Conn) {
	if c.NotReusable || c.Reader.Buffered() > 0 || !c.responses.Idle() {
		p.Discard(c)
		return
	}
	c.idleSince = time.Now()
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		p.Discard(c)
		return
	}
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

// Discard closes a connection that was taken from the pool.
func (p *Pool) Discard(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.discardLocked(c)
}

// discardLocked is Discard for a caller that holds p.mu.
func (p *Pool) discardLocked(c *Conn) {
	_ = c.Close()
	delete(p.established, c)
	p.open--
}

// AnyOpenSince reports whether a connection that was opened before a time is still open: one
// in use or idle, or the witness.
func (p *Pool) AnyOpenSince(opened time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.established {
		if c.openedAt.Before(opened) && sockets.Peek(c.Conn) != sockets.Closed {
			return true
		}
	}
	return false
}

// StillOpen reports whether the target has not closed a connection.
func (c *Conn) StillOpen() bool { return sockets.Peek(c.Conn) != sockets.Closed }

// Prune closes the connections that have been idle for longer than
// Config.MaxIdleTime, or its default, at the time now.
func (p *Pool) Prune(now time.Time) {
	p.mu.Lock()
	n := 0
	for n < len(p.idle) && now.Sub(p.idle[n].idleSince) > p.idleTime() {
		n++
	}
	expired := append([]*Conn(nil), p.idle[:n]...)
	p.idle = append(p.idle[:0], p.idle[n:]...)
	p.mu.Unlock()
	for _, c := range expired {
		p.Discard(c)
	}
}

// ConnectionCount returns the number of connections, including those that are being
// opened.
func (p *Pool) ConnectionCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// AllIdleClosed reports whether there are idle connections and none of them is
// usable: the target closed or reset each, or sent bytes that no request asked for.
func (p *Pool) AllIdleClosed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		if sockets.Peek(c.Conn) == sockets.Open {
			return false
		}
	}
	return len(p.idle) > 0
}

// Close closes the idle connections and prevents new ones. Connections in use
// are closed when they are put back.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	p.dropWitness()
	for _, c := range idle {
		p.Discard(c)
	}
}
