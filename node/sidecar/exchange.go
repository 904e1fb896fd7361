package sidecar

import (
	"context"
	"io"
	"net"
	"net/netip"
	"strconv"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/core/mesh"
	"github.com/shallotspool/shallotspool/node/internal/memory"
	"github.com/shallotspool/shallotspool/node/internal/pool"
	"github.com/shallotspool/shallotspool/node/internal/sockets"
)

const (
	// dialTimeout limits the time to connect to another node or to the upstream. It is
	// shorter than the 1 s after which the kernel retransmits a lost SYN.
	dialTimeout = 400 * time.Millisecond
	// responseGrace is how long after the deadline a response is still awaited: an
	// upstream that responds exactly at the deadline has its response in transit then.
	responseGrace = 50 * time.Millisecond
	// maxResponseBytes limits the size of one response; see responseLimit.
	maxResponseBytes = 64 << 20
	// maxResponseShare is the share of the memory for bodies that a single response may take.
	maxResponseShare = 0.5
	// maxNodeHeaderBytes is the most that a node adds to the header of a response: its own fields,
	// and a blank after each colon, of which there is one in four bytes at most.
	maxNodeHeaderBytes = 1<<10 + pool.MaxHeaderBytes/4
	// maxPeerIdle is how long an idle connection to another node is kept. It is long
	// enough for infrequent but steady requests to reuse connections, and short because
	// TCP keep-alive probes every idle connection.
	maxPeerIdle = 10 * time.Second
	// maxNonIdempotentIdle is the longest time that a connection may have been idle
	// before it carries a non-idempotent request, which cannot be retried if the
	// upstream closes the connection while the request is sent.
	maxNonIdempotentIdle = time.Second
	// maxIdempotentIdle is the same limit for idempotent requests. It is below the few
	// seconds after which upstreams close idle connections.
	maxIdempotentIdle = 4 * time.Second
)

// tcpTimeouts limits how long connections between nodes and to the upstream may be
// unresponsive. Data is normally acknowledged within a few milliseconds, or within a few
// hundred when packets are lost. Heartbeats and request deadlines detect a peer that
// sends nothing; these timeouts only close its connections, soon afterwards.
var tcpTimeouts = sockets.TCPTimeouts{
	UserTimeout: 900 * time.Millisecond, KeepAliveIdle: 2 * time.Second, KeepAliveInterval: 500 * time.Millisecond, KeepAliveCount: 3,
}

// peerPool returns the connection pool for another node, and creates it on first use.
// All nodes listen on the same port for requests from other nodes.
func (s *Sidecar) peerPool(instance string) *pool.Pool {
	s.peerPoolsMu.Lock()
	defer s.peerPoolsMu.Unlock()
	p := s.peerPools[instance]
	if p == nil {
		port := netip.MustParseAddrPort(s.settings.Load().Listen.Peers).Port()
		p = pool.New(pool.Config{
			Address: net.JoinHostPort(instance, strconv.Itoa(int(port))), SourceIP: net.ParseIP(s.instance),
			MaxConnections: maxPeerConnections, TCPTimeouts: &tcpTimeouts, MaxIdleTime: maxPeerIdle, ExtraHeaderBytes: maxNodeHeaderBytes,
		})
		s.peerPools[instance] = p
	}
	return p
}

// sendToPeer forwards req to the node at instance, whose upstream is to run it.
func (s *Sidecar) sendToPeer(ctx context.Context, req *upstreamRequest, instance string) mesh.Outcome {
	req.request.Header.Set(rankHeader, formatRank(req))
	sentAt := s.bootTime()
	o := s.exchange(ctx, s.peerPool(instance), req, maxPeerIdle, s.peerMatcher(req))
	if o.Kind != mesh.OutcomeAnswered {
		// A peer that is alive normally responds within responseGrace of the deadline,
		// so a timeout is taken to mean that it is silent.
		o.NodeSilent = o.Kind == mesh.OutcomeUnknown && o.Reason == mesh.ReasonDeadline
		if o.Kind == mesh.OutcomeUnknown && s.fence(ctx, req, instance, sentAt) {
			return mesh.Outcome{Kind: mesh.OutcomeNotRun, Reason: mesh.ReasonUnreachable}
		}
		return o
	}
	h := &req.response.Header
	if !parseResult(string(h.Peek(resultHeader)), &o) {
		return mesh.Outcome{Kind: mesh.OutcomeUnknown, Reason: mesh.ReasonLost, ReachedUpstream: true}
	}
	if o.Kind == mesh.OutcomeAnswered {
		o.Notice = s.readNotice(h)
	}
	o.Load, o.LoadKnown = parseLoad(string(h.Peek(loadHeader)))
	o.Status = req.response.StatusCode()
	return o
}

// peerMatcher returns a function that tells which request a response of another node belongs
// to. Nodes of earlier versions do not name the request in a refusal.
func (s *Sidecar) peerMatcher(req *upstreamRequest) func(*fasthttp.ResponseHeader) pool.Match {
	match := pool.MatchField(s.dialect.Headers.RequestID, req.id, resultHeader)
	return func(h *fasthttp.ResponseHeader) pool.Match {
		m := match(h)
		switch {
		case m == pool.MatchAmbiguous:
			return m
		case len(h.Peek(resultHeader)) == 0:
			return pool.MatchOther
		case m == pool.MatchUnnamed:
			return pool.MatchOwn
		}
		return m
	}
}

// exchange sends req on a connection from p and reads the response. Connections that
// were idle for maxIdle or longer are not used. Responses to other requests, as told by
// match, are skipped.
func (s *Sidecar) exchange(ctx context.Context, p *pool.Pool, req *upstreamRequest, maxIdle time.Duration, match func(*fasthttp.ResponseHeader) pool.Match) mesh.Outcome {
	remaining := req.deadline - s.now()
	if remaining <= 0 {
		return mesh.Outcome{Kind: mesh.OutcomeNotRun, Reason: mesh.ReasonDeadline}
	}
	conn, err := p.GetWithMaxIdleTime(min(remaining, dialTimeout), maxIdle)
	req.connectError = err
	if err != nil {
		reason := mesh.ReasonUnreachable
		if errors.Is(err, pool.ErrFull) {
			reason = mesh.ReasonBusy
		}
		s.log.Info("not connected", field("address", p.Address()), field("request", req.id), field("error", err))
		return mesh.Outcome{Kind: mesh.OutcomeNotRun, Reason: reason}
	}
	remaining = req.deadline - s.now()
	// The deadline header holds whole milliseconds.
	if remaining < time.Millisecond || ctx.Err() != nil {
		p.Put(conn)
		return mesh.Outcome{Kind: mesh.OutcomeNotRun, Reason: mesh.ReasonDeadline}
	}
	req.request.Header.Set(s.dialect.Headers.Deadline, strconv.FormatInt(remaining.Milliseconds(), 10))
	end := time.Now().Add(remaining + responseGrace)
	_ = conn.SetDeadline(end)
	req.lease.Release()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	err = conn.ExchangeWithOptions(req.request, req.response, pool.ExchangeOptions{
		MaxBodyBytes: s.responseLimit(), Lease: req.lease, WaitUntil: end, AllowUnknownLength: true, Match: match,
	})
	if !stop() {
		// The caller has disconnected.
		p.Discard(conn)
		return mesh.Outcome{Kind: mesh.OutcomeUnknown, Reason: mesh.ReasonLost, ReachedUpstream: true}
	}
	if err != nil {
		sent := conn.Sent()
		req.connectionEnded, req.outOfMemory = endedByRemote(err), errors.Is(err, memory.ErrExhausted)
		if !sent {
			req.connectError = err
		}
		req.response.Reset()
		req.lease.Release()
		p.Discard(conn)
		return s.failedExchange(p, req, err, sent)
	}
	if req.response.ConnectionClose() {
		p.Discard(conn)
	} else {
		p.Put(conn)
	}
	return mesh.Outcome{Kind: mesh.OutcomeAnswered, ReachedUpstream: true, Status: req.response.StatusCode()}
}

// responseLimit returns the largest size of one response.
func (s *Sidecar) responseLimit() int {
	return min(maxResponseBytes, int(maxResponseShare*float64(s.bodyMemory.Limit())))
}

// endedByRemote reports whether the remote side ended the connection.
func endedByRemote(err error) bool {
	return errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE)
}

// wasReset reports whether the remote side took a connection and reset it.
func wasReset(err error) bool { return errors.IsAny(err, syscall.ECONNRESET, syscall.EPIPE) }

// failedExchange returns the outcome of an exchange that ended without a complete
// response. sent reports whether any byte of the request was written.
func (s *Sidecar) failedExchange(p *pool.Pool, req *upstreamRequest, err error, sent bool) mesh.Outcome {
	o := mesh.Outcome{Kind: mesh.OutcomeUnknown, Reason: mesh.ReasonLost, ReachedUpstream: true}
	// fasthttp's own timeout errors do not implement net.Error.
	var timeoutError interface{ Timeout() bool }
	switch {
	case !sent:
		o = mesh.Outcome{Kind: mesh.OutcomeNotRun, Reason: mesh.ReasonUnreachable}
	case errors.Is(err, syscall.ETIMEDOUT):
		// The connection stopped responding, so idle connections to the same address
		// are probably dead too.
		p.CloseIdle()
	case errors.As(err, &timeoutError) && timeoutError.Timeout():
		o.Reason = mesh.ReasonDeadline
	}
	s.log.Info("exchange failed", field("address", p.Address()), field("request", req.id),
		field("reason", o.Reason), field("sent", sent), field("error", err))
	return o
}
