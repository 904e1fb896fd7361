// Package attempt carries out the engine's attempts over HTTP/1.1: dispatches
// to the node's own upstream and sends to other nodes. An answer is given to
// the engine whole or not at all, and each failure says whether anything left.
package attempt

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/core/engine"
	"github.com/shallotspool/shallotspool/node/internal/directory"
	"github.com/shallotspool/shallotspool/node/internal/header"
	"github.com/shallotspool/shallotspool/node/internal/pool"
)

// dialLimit is how long a new connection may take.
const dialLimit = time.Second

// patience is how long after an attempt's deadline its connection is closed,
// should the engine not have cancelled it before.
const patience = time.Second

// Stepper takes events; *loop.Loop is one.
type Stepper interface{ Step(engine.Event) }

// Config describes a Carrier.
type Config struct {
	Incarnation uint64
	// Upstream is the IP:port of the own upstream.
	Upstream            string
	UpstreamConnections int
	PeerConnections     int
	// Source is the IP address that peers know this node by.
	Source net.IP
	// MaxBody is the size of the largest answer, in bytes.
	MaxBody   int
	Directory *directory.Directory
	// Connected is called with the time each new connection took.
	Connected func(time.Duration)
	// Failed is called with each failed exchange.
	Failed func(address string, err error)
}

// Carrier carries attempts out; its methods may be called from any goroutine.
type Carrier struct {
	cfg      Config
	engine   Stepper
	upstream *pool.Pool
	crash    crashWatch
	flights  flights

	mu    sync.Mutex
	peers map[string]*pool.Pool
}

// New returns a Carrier; Attach gives it the engine before its first use.
func New(cfg Config) *Carrier {
	return &Carrier{
		cfg: cfg, peers: map[string]*pool.Pool{},
		flights: flights{open: map[engine.AttemptID]*flight{}},
		upstream: pool.New(pool.Config{
			Address: cfg.Upstream, Max: cfg.UpstreamConnections, Connected: cfg.Connected,
		}),
	}
}

// Attach sets where events go.
func (c *Carrier) Attach(s Stepper) { c.engine = s }

// Dispatch returns the work that runs a request on the own upstream. From now
// on the attempt can be cancelled.
func (c *Carrier) Dispatch(a *engine.Dispatch) (work func()) {
	f := c.flights.start(a.Attempt)
	return func() {
		defer c.flights.end(a.Attempt)
		req := fasthttp.AcquireRequest()
		defer fasthttp.ReleaseRequest(req)
		fill(req, a.Request, c.cfg.Upstream)
		req.Header.Set(header.Parent, header.FormatParent(c.cfg.Incarnation, a.Attempt))
		setWait(req, a.Wait)
		c.carry(a.Attempt, f, c.upstream, req, a.Wait, readUpstream)
	}
}

// Send returns the work that sends a request to another node. From now on the
// attempt can be cancelled.
func (c *Carrier) Send(a *engine.SendCall) (work func()) {
	f := c.flights.start(a.Attempt)
	return func() {
		defer c.flights.end(a.Attempt)
		p := c.poolOf(a.Target)
		if p == nil {
			c.fail(a.Attempt, engine.FailureNotSent)
			return
		}
		req := fasthttp.AcquireRequest()
		defer fasthttp.ReleaseRequest(req)
		fill(req, a.Request, p.Address())
		fillPeer(req, a)
		c.carry(a.Attempt, f, p, req, a.Wait, readPeer)
	}
}

// Cancel gives an attempt up and closes its connection.
func (c *Carrier) Cancel(id engine.AttemptID) { c.flights.cancel(id) }

// reader turns an answer into a reply.
type reader func(*fasthttp.Response) (engine.Reply, error)

func (c *Carrier) carry(id engine.AttemptID, f *flight, p *pool.Pool, req *fasthttp.Request, wait time.Duration, read reader) {
	conn, err := p.Get(min(wait, dialLimit))
	if err != nil {
		c.lost(id, p, engine.FailureNotSent, err)
		return
	}
	if !f.board(conn) {
		p.Put(conn)
		return
	}
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	_ = conn.SetDeadline(time.Now().Add(wait + patience))
	err = conn.Exchange(req, resp, c.cfg.MaxBody)
	if !f.land() {
		p.Discard(conn)
		return
	}
	if err != nil {
		cause := engine.FailureLost
		if !conn.Sent() {
			cause = engine.FailureNotSent
		}
		p.Discard(conn)
		c.lost(id, p, cause, err)
		return
	}
	c.keep(p, conn, resp)
	reply, err := read(resp)
	if err != nil {
		c.lost(id, p, engine.FailureLost, err)
		return
	}
	c.engine.Step(&engine.AttemptAnswered{Attempt: id, Reply: reply})
}

// keep puts the connection back unless the other side closes it.
func (c *Carrier) keep(p *pool.Pool, conn *pool.Conn, resp *fasthttp.Response) {
	if resp.ConnectionClose() || resp.StatusCode() == fasthttp.StatusSwitchingProtocols {
		p.Discard(conn)
		return
	}
	p.Put(conn)
}

// lost reports a failed attempt; a crash of the own upstream is told before it.
func (c *Carrier) lost(id engine.AttemptID, p *pool.Pool, cause engine.FailureCause, err error) {
	c.cfg.Failed(p.Address(), err)
	if p == c.upstream && connectionBroke(err) {
		c.crash.check(p, c.engine)
	}
	c.fail(id, cause)
}

func (c *Carrier) fail(id engine.AttemptID, cause engine.FailureCause) {
	c.engine.Step(&engine.AttemptFailed{Attempt: id, Cause: cause})
}

// connectionBroke tells failures of the connection from answers that are not
// passed on.
func connectionBroke(err error) bool {
	return !errors.IsAny(err, pool.ErrTooLarge, pool.ErrUnbounded, pool.ErrInterim, pool.ErrFull, header.ErrReply)
}

// Prune closes connections that were idle for long, and forgets targets that
// are no instances any more.
func (c *Carrier) Prune(now time.Time) {
	c.upstream.Prune(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	for target, p := range c.peers {
		p.Prune(now)
		inst, known := c.cfg.Directory.Instance(target)
		if !known || inst.PeerAddress != p.Address() {
			p.Close()
			delete(c.peers, target)
		}
	}
}

// Abort gives all open attempts up.
func (c *Carrier) Abort() { c.flights.cancelAll() }

// Close closes all idle connections.
func (c *Carrier) Close() {
	c.upstream.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.peers {
		p.Close()
	}
}

// Connections returns the number of open connections, to the upstream and to
// other nodes.
func (c *Carrier) Connections() (upstream, peers int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.peers {
		peers += p.Open()
	}
	return c.upstream.Open(), peers
}

// poolOf returns the connections to another node, nil if it is not known.
func (c *Carrier) poolOf(target string) *pool.Pool {
	inst, known := c.cfg.Directory.Instance(target)
	if !known {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[target]
	if p != nil && p.Address() == inst.PeerAddress {
		return p
	}
	if p != nil {
		p.Close()
	}
	p = pool.New(pool.Config{
		Address: inst.PeerAddress, Source: c.cfg.Source, Max: c.cfg.PeerConnections, Connected: c.cfg.Connected,
	})
	c.peers[target] = p
	return p
}
