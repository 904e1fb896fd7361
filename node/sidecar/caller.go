package sidecar

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/core/mesh"
	"github.com/shallotspool/shallotspool/node/internal/listener"
	"github.com/shallotspool/shallotspool/node/internal/memory"
)

// serveCaller handles a request from a caller or from the local upstream, and retries
// it as s.node decides.
func (s *Sidecar) serveCaller(ctx context.Context, x *listener.Exchange) {
	s.activeRequests.Add(1)
	defer s.activeRequests.Add(-1)
	h := &x.Request.Header
	request := mesh.IncomingRequest{
		ID: string(h.Peek(s.dialect.Headers.RequestID)), Host: string(h.Host()), Path: string(h.RequestURI()),
		Timeout: s.requestTimeout(h), HeaderAgo: time.Since(x.HeaderAt), Fingerprint: fingerprint(&x.Request), Sender: x.RemoteIP.String(),
	}
	request.Parent = s.dialect.ParentID(request.ID)
	s.mu.Lock()
	call, step := s.node.StartCall(s.now(), request)
	s.mu.Unlock()
	if step.Kind == mesh.StepSend {
		s.prepareRequest(&x.Request)
	}
	lease := s.newLease(x)
	for step.Kind == mesh.StepSend {
		o := s.attempt(ctx, x, call, step.Target, lease)
		if ctx.Err() != nil {
			s.abandonCall(call, step)
			return
		}
		s.mu.Lock()
		step = s.node.EndAttempt(s.now(), call, o)
		s.mu.Unlock()
		if step.Kind == mesh.StepSend {
			s.logRetry(call, o, step.Target)
		}
	}
	s.respond(x, call, step)
}

// fingerprint returns a hash of a request's method, host, URI and body. All attempts of
// a request have the same fingerprint.
func fingerprint(r *fasthttp.Request) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range [][]byte{r.Header.Method(), r.Header.Host(), r.Header.RequestURI(), r.Body()} {
		_, _ = digest.Write(part)
		_, _ = digest.Write(fingerprintSeparator)
	}
	return digest.Sum64()
}

var fingerprintSeparator = []byte{0}

// requestTimeout returns how long the sender waits according to the request's deadline
// header, or 0 if it is missing or invalid.
func (s *Sidecar) requestTimeout(h *fasthttp.RequestHeader) time.Duration {
	ms, err := strconv.ParseInt(string(h.Peek(s.dialect.Headers.Deadline)), 10, 64)
	if err != nil || ms <= 0 || ms > maxRequestTimeoutMS {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// maxRequestTimeoutMS is the longest valid timeout in a deadline header: one hour.
const maxRequestTimeoutMS = 3_600_000

// prepareRequest removes the header fields that must not be forwarded, and sets
// CallerService to the service of this node.
func (s *Sidecar) prepareRequest(r *fasthttp.Request) {
	removeHopByHopHeaders(&r.Header)
	r.Header.ResetConnectionClose()
	for _, name := range []string{rankHeader, resultHeader, loadHeader, s.dialect.Headers.ExpectInstance} {
		r.Header.Del(name)
	}
	r.Header.Set(s.dialect.Headers.CallerService, s.settings.Load().Service)
}

// attempt sends the call to one target and returns the outcome. The response, if there
// is one, is in x.Response.
func (s *Sidecar) attempt(ctx context.Context, x *listener.Exchange, c *mesh.Call, t mesh.Target, lease *memory.Lease) mesh.Outcome {
	x.Response.Reset()
	req := &upstreamRequest{
		request: &x.Request, response: &x.Response, id: c.ID, rank: c.Rank, routeID: c.RouteID,
		deadline: c.Deadline, lease: lease, nonIdempotent: !c.Route.Idempotent, rateLimit: t.RateLimit, limited: t.Limited,
	}
	req.rank.Age += s.now() - c.Arrived
	x.Request.Header.Set(s.dialect.Headers.ExpectInstance, t.Upstream)
	if t.Instance == "" {
		return s.runOnUpstream(ctx, req)
	}
	return s.sendToPeer(ctx, req, t.Instance)
}

// abandonCall ends a call whose caller has disconnected.
func (s *Sidecar) abandonCall(c *mesh.Call, step mesh.Step) {
	s.mu.Lock()
	s.node.AbandonCall(s.now(), c)
	s.mu.Unlock()
	s.logCall("caller gone", c, step, 0)
}

// respond fills in the response to the caller, and logs and counts the request.
func (s *Sidecar) respond(x *listener.Exchange, c *mesh.Call, step mesh.Step) {
	status := x.Response.StatusCode()
	if step.Reason == mesh.ReasonAmbiguousStatus {
		s.log.Info("answer withheld", field("request", c.ID), field("last", c.LastTried()), field("upstream_status", status))
	}
	switch step.Kind {
	case mesh.StepDeliver:
		h := &x.Response.Header
		removeHopByHopHeaders(h)
		h.ResetConnectionClose()
		h.Del(resultHeader)
		h.Del(loadHeader)
	case mesh.StepRefuse:
		status = fasthttp.StatusServiceUnavailable
		s.respondWithError(x, status, step.RetryAfter)
		if step.Reason == mesh.ReasonLeaving {
			s.refusedStopping.Add(1)
		}
	case mesh.StepUnknownRoute:
		status = fasthttp.StatusNotFound
		s.respondWithError(x, status, 0)
	default:
		status = fasthttp.StatusBadGateway
		if step.Reason == mesh.ReasonDeadline {
			status = fasthttp.StatusGatewayTimeout
		}
		s.respondWithError(x, status, 0)
	}
	s.countRequest(c, step, status, time.Since(x.ReceivedAt))
	s.logResult(x, c, step, status)
}

// respondWithError replaces the response by an empty one of the node itself, with an
// error status.
func (s *Sidecar) respondWithError(x *listener.Exchange, status int, retryAfter time.Duration) {
	x.Response.Reset()
	x.Response.SetStatusCode(status)
	x.Response.Header.SetNoDefaultContentType(true)
	if id := x.Request.Header.Peek(s.dialect.Headers.RequestID); len(id) > 0 {
		x.Response.Header.SetBytesV(s.dialect.Headers.RequestID, id)
	}
	if retryAfter > 0 {
		x.Response.Header.Set(s.dialect.Headers.RetryAfter, strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
}
