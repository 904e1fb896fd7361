// Package attempt executes the engine's attempts over HTTP/1.1: dispatches to
// the node's own upstream and sends to other nodes. The engine gets a response
// only once it is complete. A failure tells the engine whether any byte of the
// request was sent.
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

// maxDialTime bounds the time to open a connection; the time left to the
// attempt applies if it is shorter.
const maxDialTime = time.Second

// deadlineGrace is how long after an attempt's deadline its connection times
// out if the engine has not cancelled the attempt by then.
const deadlineGrace = time.Second

// Stepper passes an event to the engine; *loop.Loop implements it.
type Stepper interface{ Step(engine.Event) }

// Config configures the executor of attempts.
type Config struct {
	// Incarnation identifies this run of the node.
	Incarnation uint64
	// Upstream is the IP:port of the node's own upstream.
	Upstream            string
	UpstreamConnections int
	// PeerConnections is the maximum number of connections to each other node.
	PeerConnections int
	// Source is the local IP address of connections to other nodes, by which
	// they identify this node.
	Source net.IP
	// MaxBody is the maximum size of a response body, in bytes.
	MaxBody   int
	Directory *directory.Directory
	// Connected is called with the time it took to open each new connection.
	Connected func(time.Duration)
	// Failed is called for each attempt that got no usable response.
	Failed func(address string, err error)
}

// Carrier executes attempts. Its methods may be called from any goroutine.
type Carrier struct {
	cfg          Config
	engine       Stepper
	upstream     *pool.Pool
	crash        crashDetector
	openAttempts openAttempts

	mu    sync.Mutex
	peers map[string]*pool.Pool
}

// New returns an executor of attempts. Carrier.Attach must be called before
// its first use.
func New(cfg Config) *Carrier {
	return &Carrier{
		cfg: cfg, peers: map[string]*pool.Pool{},
		openAttempts: openAttempts{byID: map[engine.AttemptID]*openAttempt{}},
		upstream: pool.New(pool.Config{
			Address: cfg.Upstream, Max: cfg.UpstreamConnections, Connected: cfg.Connected,
		}),
	}
}

// Attach sets the engine that receives the results of attempts.
func (e *Carrier) Attach(s Stepper) { e.engine = s }

// Dispatch registers an attempt on the node's own upstream and returns
// the function that executes it. The attempt can be cancelled as soon as this
// method has returned.
func (e *Carrier) Dispatch(a *engine.Dispatch) (work func()) {
	attempt := e.openAttempts.add(a.Attempt)
	return func() {
		defer e.openAttempts.remove(a.Attempt)
		req := fasthttp.AcquireRequest()
		defer fasthttp.ReleaseRequest(req)
		setRequest(req, a.Request, e.cfg.Upstream)
		req.Header.Set(header.Parent, header.FormatParent(e.cfg.Incarnation, a.Attempt))
		setTimeout(req, a.Wait)
		e.exchange(a.Attempt, attempt, e.upstream, req, a.Wait, readUpstreamReply)
	}
}

// Send registers an attempt on another node and returns the function
// that executes it. The attempt can be cancelled as soon as this method has
// returned.
func (e *Carrier) Send(a *engine.SendCall) (work func()) {
	attempt := e.openAttempts.add(a.Attempt)
	return func() {
		defer e.openAttempts.remove(a.Attempt)
		p := e.peerPool(a.Target)
		if p == nil {
			e.reportFailure(a.Attempt, engine.FailureNotSent)
			return
		}
		req := fasthttp.AcquireRequest()
		defer fasthttp.ReleaseRequest(req)
		setRequest(req, a.Request, p.Address())
		setPeerHeader(req, a)
		e.exchange(a.Attempt, attempt, p, req, a.Wait, readPeerReply)
	}
}

// Cancel aborts an open attempt and closes its connection. The engine gets no
// result for the attempt.
func (e *Carrier) Cancel(id engine.AttemptID) { e.openAttempts.cancel(id) }

// replyReader converts an HTTP response to a reply for the engine.
type replyReader func(*fasthttp.Response) (engine.Reply, error)

// exchange sends a request on a connection of p, reads the response and reports
// the result to the engine, unless the attempt is cancelled meanwhile.
func (e *Carrier) exchange(id engine.AttemptID, attempt *openAttempt, p *pool.Pool, req *fasthttp.Request, timeout time.Duration, read replyReader) {
	conn, err := p.Get(min(timeout, maxDialTime))
	if err != nil {
		e.handleFailure(id, p, engine.FailureNotSent, err)
		return
	}
	if !attempt.attachConn(conn) {
		p.Put(conn)
		return
	}
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	_ = conn.SetDeadline(time.Now().Add(timeout + deadlineGrace))
	err = conn.Exchange(req, resp, e.cfg.MaxBody)
	if !attempt.detachConn() {
		p.Discard(conn)
		return
	}
	if err != nil {
		cause := engine.FailureLost
		if !conn.Sent() {
			cause = engine.FailureNotSent
		}
		p.Discard(conn)
		e.handleFailure(id, p, cause, err)
		return
	}
	e.releaseConn(p, conn, resp)
	reply, err := read(resp)
	if err != nil {
		e.handleFailure(id, p, engine.FailureLost, err)
		return
	}
	e.engine.Step(&engine.AttemptAnswered{Attempt: id, Reply: reply})
}

// releaseConn returns the connection to the pool, or closes it if the response
// does not allow it to be reused.
func (e *Carrier) releaseConn(p *pool.Pool, conn *pool.Conn, resp *fasthttp.Response) {
	if resp.ConnectionClose() || resp.StatusCode() == fasthttp.StatusSwitchingProtocols {
		p.Discard(conn)
		return
	}
	p.Put(conn)
}

// handleFailure reports a failed attempt. If the failure reveals a crash of the
// node's own upstream, the engine learns of the crash first.
func (e *Carrier) handleFailure(id engine.AttemptID, p *pool.Pool, cause engine.FailureCause, err error) {
	e.cfg.Failed(p.Address(), err)
	if p == e.upstream && isConnectionError(err) {
		e.crash.check(p, e.engine)
	}
	e.reportFailure(id, cause)
}

func (e *Carrier) reportFailure(id engine.AttemptID, cause engine.FailureCause) {
	e.engine.Step(&engine.AttemptFailed{Attempt: id, Cause: cause})
}

// isConnectionError reports whether err is a failure of the connection, as
// opposed to a full pool or a response that was received but rejected.
func isConnectionError(err error) bool {
	return !errors.IsAny(err, pool.ErrTooLarge, pool.ErrUnbounded, pool.ErrInterim, pool.ErrFull, header.ErrReply)
}

// Prune closes connections that have been idle for too long, and the idle
// connections to targets that are no longer known instances or have a new
// address.
func (e *Carrier) Prune(now time.Time) {
	e.upstream.Prune(now)
	e.mu.Lock()
	defer e.mu.Unlock()
	for target, p := range e.peers {
		p.Prune(now)
		inst, known := e.cfg.Directory.Instance(target)
		if !known || inst.PeerAddress != p.Address() {
			p.Close()
			delete(e.peers, target)
		}
	}
}

// Abort cancels all open attempts.
func (e *Carrier) Abort() { e.openAttempts.cancelAll() }

// Close closes all idle connections.
func (e *Carrier) Close() {
	e.upstream.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.peers {
		p.Close()
	}
}

// Connections returns the number of open connections to the upstream and to
// other nodes.
func (e *Carrier) Connections() (upstream, peers int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.peers {
		peers += p.Open()
	}
	return e.upstream.Open(), peers
}

// peerPool returns the connection pool of another node, or nil if target is not
// a known instance. It replaces the pool if the instance has a new address.
func (e *Carrier) peerPool(target string) *pool.Pool {
	inst, known := e.cfg.Directory.Instance(target)
	if !known {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.peers[target]
	if p != nil && p.Address() == inst.PeerAddress {
		return p
	}
	if p != nil {
		p.Close()
	}
	p = pool.New(pool.Config{
		Address: inst.PeerAddress, Source: e.cfg.Source, Max: e.cfg.PeerConnections, Connected: e.cfg.Connected,
	})
	e.peers[target] = p
	return p
}
