// Package pool holds the connections to one target: a bounded number, reused
// while they are good. It does not choose among targets and does not retry.
package pool

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/shallotspool/shallotspool/node/internal/sockets"
)

// The errors of Get. In both cases nothing was sent.
var (
	ErrFull = errors.New("all connections to the target are in use")
	ErrDial = errors.New("cannot connect to the target")
)

// idleLimit is how long an unused connection is kept; it is shorter than the
// listeners of nodes keep theirs.
const idleLimit = 30 * time.Second

// Config describes a Pool.
type Config struct {
	// Address is the target's IP:port.
	Address string
	// Source is the own IP address to connect from, nil for any.
	Source net.IP
	// Silence bounds how long a connection may be silent; nil leaves that to the
	// system.
	Silence *sockets.Silence
	// MaxIdle is how long an unused connection is kept; 0 means idleLimit.
	MaxIdle time.Duration
	// Max is the number of connections, used and idle.
	Max int
	// Connected is called with the time each new connection took.
	Connected func(time.Duration)
}

// Pool is the connections to one target; its methods may be called from any
// goroutine.
type Pool struct {
	cfg Config

	mu     sync.Mutex
	open   int
	idle   []*Conn
	closed bool
}

// New returns an empty Pool.
func New(cfg Config) *Pool { return &Pool{cfg: cfg} }

// Address returns the target's IP:port.
func (p *Pool) Address() string { return p.cfg.Address }

// Get returns an idle connection that is still good, or a new one. The error is
// ErrFull or ErrDial.
func (p *Pool) Get(timeout time.Duration) (*Conn, error) {
	return p.GetFresh(timeout, p.maxIdle())
}

// GetFresh is Get, but closes an idle connection that was not used for maxIdle:
// the other side may be about to close it.
func (p *Pool) GetFresh(timeout, maxIdle time.Duration) (*Conn, error) {
	for {
		c, room := p.take()
		if c != nil && time.Since(c.idleSince) >= maxIdle {
			p.Discard(c)
			continue
		}
		if c == nil && !room {
			return nil, ErrFull
		}
		if c == nil {
			return p.dial(timeout)
		}
		if sockets.Peek(c.Conn) == sockets.Open {
			c.Reused = true
			c.written.Store(0)
			return c, nil
		}
		p.Discard(c)
	}
}

func (p *Pool) maxIdle() time.Duration {
	if p.cfg.MaxIdle > 0 {
		return p.cfg.MaxIdle
	}
	return idleLimit
}

// DropIdle closes the idle connections: one like them has fallen silent.
func (p *Pool) DropIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		p.Discard(c)
	}
}

// take returns an idle connection, or reserves room for a new one.
func (p *Pool) take() (c *Conn, room bool) {
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
	if p.open >= p.cfg.Max {
		return nil, false
	}
	p.open++
	return nil, true
}

func (p *Pool) dial(timeout time.Duration) (*Conn, error) {
	started := time.Now()
	raw, err := p.dialer(timeout).Dial("tcp", p.cfg.Address)
	if err != nil {
		p.release()
		return nil, errors.Mark(errors.Wrap(err, "dial"), ErrDial)
	}
	if p.cfg.Connected != nil {
		p.cfg.Connected(time.Since(started))
	}
	return newConn(raw), nil
}

func (p *Pool) dialer(timeout time.Duration) *net.Dialer {
	d := &net.Dialer{Timeout: timeout}
	if p.cfg.Silence != nil {
		d = p.cfg.Silence.Dialer(timeout)
	}
	if p.cfg.Source != nil {
		d.LocalAddr = &net.TCPAddr{IP: p.cfg.Source}
	}
	return d
}

func (p *Pool) release() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// Put takes back a connection on which the last answer came whole. Its deadline
// stays as it was: whoever gets it next sets another.
func (p *Pool) Put(c *Conn) {
	if c.Spent || c.Reader.Buffered() > 0 {
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

// Discard closes a connection.
func (p *Pool) Discard(c *Conn) {
	_ = c.Close()
	p.release()
}

// Prune closes the connections that were idle for long.
func (p *Pool) Prune(now time.Time) {
	p.mu.Lock()
	n := 0
	for n < len(p.idle) && now.Sub(p.idle[n].idleSince) > p.maxIdle() {
		n++
	}
	old := append([]*Conn(nil), p.idle[:n]...)
	p.idle = append(p.idle[:0], p.idle[n:]...)
	p.mu.Unlock()
	for _, c := range old {
		p.Discard(c)
	}
}

// Open returns the number of connections, used and idle.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// AllIdleClosed tells whether there are idle connections and the other side
// closed every one of them.
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

// Close closes the idle connections and lets no new one open.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	for _, c := range idle {
		p.Discard(c)
	}
}
