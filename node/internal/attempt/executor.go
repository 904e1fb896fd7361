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
	"github.com/shallotspool/shallotspool/node/internal/memory"
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
	// UpstreamAddress is the IP:port of the node's own upstream.
	UpstreamAddress        string
	MaxUpstreamConnections int
	// MaxPeerConnections is the maximum number of connections to each other node.
	MaxPeerConnections int
	// SourceIP is the local IP address of connections to other nodes, by which
	// they identify this node.
	SourceIP net.IP
	// MaxBodyBytes is the maximum size of a response body, in bytes.
	MaxBodyBytes int
	// MaxHeldBodyBytes is the maximum size of all response bodies that are being read, in bytes.
	MaxHeldBodyBytes int
	Directory        *directory.Directory
	// OnConnect is called with the time it took to open each new connection.
	OnConnect func(time.Duration)
	// OnFailure is called for each attempt that failed, unless its target is not in
	// the Directory.
	OnFailure func(address string, err error)
}

// Executor executes attempts. Its methods may be called from any goroutine.
type Executor struct {
	cfg           Config
	engine        Stepper
	upstream      *pool.Pool
	crashDetector crashDetector
	openAttempts  openAttempts
	// bodies is the memory of the responses that are being read.
	bodies *memory.Budget

	mu    sync.Mutex
	peers map[string]*pool.Pool
}

// New returns an executor of attempts. Executor.SetEngine must be called before
// its first use.
func New(cfg Config) *Executor {
	return &Executor{
		cfg: cfg, peers: map[string]*pool.Pool{},
		openAttempts: openAttempts{byID: map[engine.AttemptID]*openAttempt{}}, bodies: memory.NewBudget(cfg.MaxHeldBodyBytes),
		upstream: pool.New(pool.Config{
			Address: cfg.UpstreamAddress, MaxConnections: cfg.MaxUpstreamConnections, OnConnect: cfg.OnConnect,
		}),
	}
}

// SetEngine sets the engine that receives the results of attempts.
func (e *Executor) SetEngine(s Stepper) { e.engine = s }

// PrepareDispatch registers an attempt on the node's own upstream and returns
// the function that executes it. The attempt can be cancelled as soon as this
// method has returned.
func (e *Executor) PrepareDispatch(a *engine.Dispatch) (work func()) {
	attempt := e.openAttempts.add(a.Attempt)
	return func() {
		defer e.openAttempts.remove(a.Attempt)
		req := fasthttp.AcquireRequest()
		defer fasthttp.ReleaseRequest(req)
		setRequest(req, a.Request, e.cfg.UpstreamAddress)
		parent := header.FormatParent(e.cfg.Incarnation, a.Attempt)
		req.Header.Set(header.Parent, parent)
		setTimeoutField(req, a.Timeout)
		e.exchange(a.Attempt, attempt, e.upstream, req, a.Timeout, replyReader{read: readUpstreamReply, match: pool.MatchField(header.Parent, parent)})
	}
}

// PrepareSend registers an attempt on another node and returns the function
// that executes it. The attempt can be cancelled as soon as this method has
// returned.
func (e *Executor) PrepareSend(a *engine.SendCall) (work func()) {
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
		e.exchange(a.Attempt, attempt, p, req, a.Timeout, replyReader{read: readPeerReply})
	}
}

// Cancel aborts an open attempt and closes its connection. The engine may still get
// a result for an attempt that fails to get a connection or whose exchange has just
// ended.
func (e *Executor) Cancel(id engine.AttemptID) { e.openAttempts.cancel(id) }

// replyReader reads the reply to a request.
type replyReader struct {
	// match tells which request a response belongs to; nil accepts any.
	match func(*fasthttp.ResponseHeader) pool.Match
	// read converts the HTTP response to a reply for the engine.
	read func(*fasthttp.Response) (engine.Reply, error)
}

// exchange sends a request on a connection of p, reads the response and reports
// the result to the engine. It reports none if it finds the attempt cancelled once
// it has a connection or at the end of the exchange of request and response.
func (e *Executor) exchange(id engine.AttemptID, attempt *openAttempt, p *pool.Pool, req *fasthttp.Request, timeout time.Duration, reader replyReader) {
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
	end := time.Now().Add(timeout + deadlineGrace)
	_ = conn.SetDeadline(end)
	lease := e.bodies.NewLease()
	defer lease.Release()
	err = conn.ExchangeWithOptions(req, resp, pool.ExchangeOptions{MaxBodyBytes: e.cfg.MaxBodyBytes, Lease: lease, WaitUntil: end, Match: reader.match})
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
	reply, err := reader.read(resp)
	if err != nil {
		e.handleFailure(id, p, engine.FailureLost, err)
		return
	}
	e.engine.Step(&engine.AttemptAnswered{Attempt: id, Reply: reply})
}

// releaseConn returns the connection to the pool, or closes it if the response
// does not allow it to be reused.
func (e *Executor) releaseConn(p *pool.Pool, conn *pool.Conn, resp *fasthttp.Response) {
	if resp.ConnectionClose() {
		p.Discard(conn)
		return
	}
	p.Put(conn)
}

// handleFailure reports a failed attempt. If the failure reveals a crash of the
// node's own upstream, the engine learns of the crash first.
func (e *Executor) handleFailure(id engine.AttemptID, p *pool.Pool, cause engine.FailureCause, err error) {
	e.cfg.OnFailure(p.Address(), err)
	if p == e.upstream && isConnectionError(err) {
		e.crashDetector.reportIfCrashed(p, e.engine)
	}
	e.reportFailure(id, cause)
}

func (e *Executor) reportFailure(id engine.AttemptID, cause engine.FailureCause) {
	e.engine.Step(&engine.AttemptFailed{Attempt: id, Cause: cause})
}

// isConnectionError reports whether err may be a failure of the connection, as
// opposed to a full pool, a lack of memory or a valid HTTP/1.1 response that was rejected.
func isConnectionError(err error) bool {
	return !errors.IsAny(err, pool.ErrTooLarge, pool.ErrUnknownLength, pool.ErrTooManyInterim, pool.ErrFull, memory.ErrExhausted, header.ErrMalformedReply)
}

// Prune closes connections that have been idle for too long, and the idle
// connections to targets that are no longer known instances or have a new
// address.
func (e *Executor) Prune(now time.Time) {
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

// CancelAll cancels all open attempts.
func (e *Executor) CancelAll() { e.openAttempts.cancelAll() }

// Close closes all idle connections.
func (e *Executor) Close() {
	e.upstream.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.peers {
		p.Close()
	}
}

// ConnectionCounts returns the number of open connections to the upstream and to
// other nodes.
func (e *Executor) ConnectionCounts() (upstream, peers int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.peers {
		peers += p.ConnectionCount()
	}
	return e.upstream.ConnectionCount(), peers
}

// peerPool returns the connection pool of another node, or nil if target is not
// a known instance. It replaces the pool if the instance has a new address.
func (e *Executor) peerPool(target string) *pool.Pool {
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
		Address: inst.PeerAddress, SourceIP: e.cfg.SourceIP, MaxConnections: e.cfg.MaxPeerConnections, OnConnect: e.cfg.OnConnect,
		ExtraHeaderBytes: header.MaxAddedBytes(pool.MaxHeaderBytes),
	})
	e.peers[target] = p
	return p
}
