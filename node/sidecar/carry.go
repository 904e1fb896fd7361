package sidecar

import (
	"context"
	"net"
	"net/netip"
	"strconv"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/core/mesh"
	"github.com/shallotspool/shallotspool/node/internal/pool"
	"github.com/shallotspool/shallotspool/node/internal/sockets"
)

const (
	// dialLimit is how long a connection to another node or to the upstream may
	// take: a lost first packet is sent again after a second.
	dialLimit = 400 * time.Millisecond
	// answerSlack is how long after the deadline an answer is still awaited: the
	// upstream's own answer at its deadline is on its way then.
	answerSlack = 50 * time.Millisecond
	// maxAnswer bounds one answer, in bytes.
	maxAnswer = 64 << 20
	// peerMaxIdle is how long an unused connection to another node is kept: long
	// enough for a steady trickle of requests, and short as each one is probed.
	peerMaxIdle = 10 * time.Second
	// freshIdle is how long a connection may have been idle that carries a
	// request which may not be repeated.
	freshIdle = time.Second
	// upstreamIdle is the same for other requests: less than the few seconds
	// after which upstreams close idle connections.
	upstreamIdle = 4 * time.Second
)

// silence bounds how long connections to nodes and upstreams may be silent. Sent
// bytes are acknowledged within a few milliseconds, or a few hundred when packets
// are lost; a peer that sends nothing is found before heartbeats and deadlines
// that cover it are long over.
var silence = sockets.Silence{
	Unacknowledged: 900 * time.Millisecond, Idle: 2 * time.Second, Probe: 500 * time.Millisecond, Probes: 3,
}

// peerPool returns the connections to another node.
func (s *Sidecar) peerPool(instance string) *pool.Pool {
	s.peersMu.Lock()
	defer s.peersMu.Unlock()
	p := s.peers[instance]
	if p == nil {
		port := netip.MustParseAddrPort(s.settings.Load().Listen.Peers).Port()
		p = pool.New(pool.Config{
			Address: net.JoinHostPort(instance, strconv.Itoa(int(port))), Source: net.ParseIP(s.instance),
			Max: peerConnections, Silence: &silence, MaxIdle: peerMaxIdle,
		})
		s.peers[instance] = p
	}
	return p
}

// sendToPeer has another node run w.
func (s *Sidecar) sendToPeer(ctx context.Context, w *work, instance string) mesh.Outcome {
	w.request.Header.Set(hopRank, formatRank(w))
	o := s.carry(ctx, s.peerPool(instance), w, peerMaxIdle, func(h *fasthttp.ResponseHeader) bool {
		return len(h.Peek(hopResult)) > 0
	})
	if o.Kind != mesh.Answered {
		// A node answers at the deadline at the latest.
		o.Silent = o.Kind == mesh.Unknown && o.Reason == mesh.ReasonDeadline
		return o
	}
	h := &w.response.Header
	if !parseResult(string(h.Peek(hopResult)), &o) {
		return mesh.Outcome{Kind: mesh.Unknown, Reason: mesh.ReasonLost, Reached: true}
	}
	o.Load, o.Known = parseLoad(string(h.Peek(hopLoad)))
	o.Status = w.response.StatusCode()
	return o
}

// carry sends a request on a connection of p and reads the answer.
func (s *Sidecar) carry(ctx context.Context, p *pool.Pool, w *work, idle time.Duration, own func(*fasthttp.ResponseHeader) bool) mesh.Outcome {
	left := w.deadline - s.now()
	if left <= 0 {
		return mesh.Outcome{Kind: mesh.NotRun, Reason: mesh.ReasonDeadline}
	}
	conn, err := p.GetFresh(min(left, dialLimit), idle)
	if err != nil {
		reason := mesh.ReasonUnreachable
		if errors.Is(err, pool.ErrFull) {
			reason = mesh.ReasonBusy
		}
		s.log.Info("not connected", field("address", p.Address()), field("request", w.id), field("error", err))
		return mesh.Outcome{Kind: mesh.NotRun, Reason: reason}
	}
	left = w.deadline - s.now()
	if left < time.Millisecond || ctx.Err() != nil {
		p.Put(conn)
		return mesh.Outcome{Kind: mesh.NotRun, Reason: mesh.ReasonDeadline}
	}
	w.request.Header.Set(s.dialect.Headers.Deadline, strconv.FormatInt(left.Milliseconds(), 10))
	_ = conn.SetDeadline(time.Now().Add(left + answerSlack))
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	err = conn.ExchangeOn(w.request, w.response, pool.Terms{MaxBody: maxAnswer, ToEnd: true, Own: own})
	if !stop() {
		p.Discard(conn)
		return mesh.Outcome{Kind: mesh.Unknown, Reason: mesh.ReasonLost, Reached: true}
	}
	if err != nil {
		sent := conn.Sent()
		p.Discard(conn)
		return s.broken(p, w, err, sent)
	}
	if w.response.ConnectionClose() {
		p.Discard(conn)
	} else {
		p.Put(conn)
	}
	return mesh.Outcome{Kind: mesh.Answered, Reached: true, Status: w.response.StatusCode()}
}

// broken is the outcome of an exchange without a whole answer.
func (s *Sidecar) broken(p *pool.Pool, w *work, err error, sent bool) mesh.Outcome {
	o := mesh.Outcome{Kind: mesh.Unknown, Reason: mesh.ReasonLost, Reached: true}
	// fasthttp's own timeouts are no net.Error.
	var timeout interface{ Timeout() bool }
	switch {
	case !sent:
		o = mesh.Outcome{Kind: mesh.NotRun, Reason: mesh.ReasonUnreachable}
	case errors.Is(err, syscall.ETIMEDOUT):
		// The connection fell silent; others to that address did so too.
		p.DropIdle()
	case errors.As(err, &timeout) && timeout.Timeout():
		o.Reason = mesh.ReasonDeadline
	}
	s.log.Info("exchange failed", field("address", p.Address()), field("request", w.id),
		field("reason", o.Reason), field("sent", sent), field("error", err))
	return o
}
