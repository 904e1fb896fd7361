package sidecar

import (
	"context"
	"math"
	"net"
	"strconv"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/core/concurrency"
	"github.com/shallotspool/shallotspool/core/mesh"
	"github.com/shallotspool/shallotspool/node/internal/listener"
	"github.com/shallotspool/shallotspool/node/internal/memory"
	"github.com/shallotspool/shallotspool/node/internal/pool"
)

// servePeer handles a request from another node: either a forwarded request, to run at
// the local upstream, or a request for the store's state.
func (s *Sidecar) servePeer(ctx context.Context, x *listener.Exchange) {
	if isStateRequest(x) {
		s.serveState(ctx, x)
		return
	}
	if isFenceRequest(x) {
		s.serveFence(x)
		return
	}
	s.activeRequests.Add(1)
	defer s.activeRequests.Add(-1)
	h := &x.Request.Header
	req := &upstreamRequest{
		request: &x.Request, response: &x.Response, id: string(h.Peek(s.dialect.Headers.RequestID)),
		deadline: s.now() - time.Since(x.HeaderAt) + s.requestTimeout(h), lease: s.newLease(x),
	}
	if !parseRank(string(h.Peek(rankHeader)), req) {
		s.log.Warn("request from node has no valid rank", field("address", x.RemoteIP))
		x.Response.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	h.Del(rankHeader)
	removeHopByHopHeaders(h)
	h.ResetConnectionClose()
	o := mesh.Outcome{Kind: mesh.OutcomeNotRun, Reason: mesh.ReasonUnreachable}
	s.mu.Lock()
	mayRun := s.node.ReceiveWork(s.now(), requestHash(req.id))
	req.deadline = s.node.CapDeadline(req.deadline)
	s.mu.Unlock()
	if mayRun {
		o = s.runOnUpstream(ctx, req)
	} else {
		s.logRefusal(req, o.Reason)
	}
	resp := &x.Response
	if o.Kind != mesh.OutcomeAnswered {
		s.respondWithoutAnswer(x, req.id, o)
		return
	}
	removeHopByHopHeaders(&resp.Header)
	resp.Header.ResetConnectionClose()
	s.setResult(resp, o)
}

// respondWithoutAnswer responds to another node without a response of the upstream.
func (s *Sidecar) respondWithoutAnswer(x *listener.Exchange, id string, o mesh.Outcome) {
	resp := &x.Response
	resp.Reset()
	resp.SetStatusCode(fasthttp.StatusServiceUnavailable)
	resp.Header.SetNoDefaultContentType(true)
	resp.Header.Set(s.dialect.Headers.RequestID, id)
	s.setResult(resp, o)
}

// setResult adds the outcome and the load of the local upstream to a response to another node.
func (s *Sidecar) setResult(resp *fasthttp.Response, o mesh.Outcome) {
	resp.Header.Set(resultHeader, formatResult(o))
	s.mu.Lock()
	load := s.node.Load()
	s.mu.Unlock()
	resp.Header.Set(loadHeader, formatLoad(load))
}

// newLease returns a lease for the response of x, which ends once that is written.
func (s *Sidecar) newLease(x *listener.Exchange) *memory.Lease {
	lease := s.bodyMemory.NewLease()
	x.OnRelease(lease.Release)
	return lease
}

// runOnUpstream sends req to the local upstream once a slot is free, and reports the
// result to s.node.
func (s *Sidecar) runOnUpstream(ctx context.Context, req *upstreamRequest) mesh.Outcome {
	if s.upstreamDown() {
		s.logRefusal(req, mesh.ReasonUnreachable)
		return mesh.Outcome{Kind: mesh.OutcomeNotRun, Reason: mesh.ReasonUnreachable}
	}
	work, reason := s.acquireSlot(ctx, req)
	if reason != mesh.ReasonNone {
		s.logRefusal(req, reason)
		return mesh.Outcome{Kind: mesh.OutcomeNotRun, Reason: reason}
	}
	o := mesh.Outcome{Kind: mesh.OutcomeNotRun, Reason: mesh.ReasonUnreachable}
	begun := s.now()
	work.Started = begun
	if s.keepWitness(req) {
		work.Started = s.now()
		o = s.exchange(ctx, s.upstreamPool, req, s.maxIdleFor(req), s.responseMatcher(req))
	}
	if req.connectError != nil && s.takesNoMoreConnections(req.connectError, begun) {
		o.Reason = mesh.ReasonBusy
	}
	if o.Kind == mesh.OutcomeAnswered {
		o = s.readResponse(req, o)
	}
	lost := o.Kind == mesh.OutcomeUnknown && o.Reason == mesh.ReasonLost && req.connectionEnded && ctx.Err() == nil
	var crashed, down bool
	if lost {
		crashed, down = s.explainLoss(work.Started)
	}
	if crashed {
		o.Reason = mesh.ReasonCrashed
	}
	running := s.recordRun(ctx, req, work, o, down)
	switch {
	case crashed:
		s.logCrash(work, running)
	case lost:
		s.logUnexplainedLoss(work, running)
	}
	return o
}

// takesNoMoreConnections reports whether the upstream lives and only takes no more connections. It
// either resets a connection, or leaves it in its queue until the time to connect has passed. begun is
// when the connection was asked for.
func (s *Sidecar) takesNoMoreConnections(err error, begun time.Duration) bool {
	var netError net.Error
	switch {
	case wasReset(err):
		return s.upstreamPool.AnyOpenSince(s.started.Add(begun))
	case errors.As(err, &netError) && netError.Timeout():
		// A process that hangs has open connections too.
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.answeredAt > begun
	}
	return false
}

// keepWitness keeps a connection to the local upstream that shows whether its process has
// ended if the answer to req is lost. It returns false if the upstream accepts no connection.
func (s *Sidecar) keepWitness(req *upstreamRequest) bool {
	remaining := req.deadline - s.now()
	if remaining <= 0 {
		return true // exchange reports the deadline
	}
	err := s.upstreamPool.KeepWitness(min(remaining, dialTimeout))
	req.connectError = err
	if err != nil {
		s.log.Info("not connected", field("address", s.upstreamPool.Address()), field("request", req.id), field("error", err))
	}
	return !errors.Is(err, pool.ErrDial)
}

// readResponse returns the outcome of a complete response, and records what the upstream says
// of itself in it.
func (s *Sidecar) readResponse(req *upstreamRequest, o mesh.Outcome) mesh.Outcome {
	notice := s.readNotice(&req.response.Header)
	o = s.classifyResponse(req, o)
	if o.Reason == mesh.ReasonMoved || o.Reason == mesh.ReasonLost {
		return o
	}
	o.Notice = notice
	s.mu.Lock()
	defer s.mu.Unlock()
	s.node.RecordNotice(s.now(), notice)
	return o
}

// recordRun reports the end of a run at the local upstream to s.node, and returns the number
// of requests that ran until then. down is set if the upstream is known to be down.
func (s *Sidecar) recordRun(ctx context.Context, req *upstreamRequest, work mesh.Work, o mesh.Outcome, down bool) (running int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if o.Reason == mesh.ReasonCrashed {
		s.node.RecordCrash(now, work)
	}
	if o.Kind == mesh.OutcomeAnswered {
		s.answeredAt = now
		s.node.RecordCompletion(now, work)
	}
	running = s.node.Load().Running
	result := runResult(ctx, o)
	if req.outOfMemory {
		result = mesh.RunInconclusive
	}
	// A connection attempt that the request's deadline may have cut short says nothing
	// about the upstream.
	connectFailed := o.Kind == mesh.OutcomeNotRun && o.Reason == mesh.ReasonUnreachable && req.deadline-work.Started >= dialTimeout
	if down || connectFailed {
		result = mesh.RunUnreachable
	}
	s.node.WorkDone(now, work, now-work.Started, result)
	s.dispatchQueuedWork(now)
	return running
}

func (s *Sidecar) upstreamDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.node.UpstreamDown()
}

// runResult returns what an outcome says about the health of the local upstream.
func runResult(ctx context.Context, o mesh.Outcome) mesh.RunResult {
	switch {
	case o.Kind == mesh.OutcomeAnswered && o.Status < fasthttp.StatusBadRequest:
		return mesh.RunSucceeded
	case o.Reason == mesh.ReasonShed:
		return mesh.RunShed
	case o.Kind == mesh.OutcomeUnknown && o.Reason == mesh.ReasonDeadline,
		o.Kind == mesh.OutcomeAnswered && o.Status == fasthttp.StatusGatewayTimeout:
		return mesh.RunTimedOut
	case ctx.Err() != nil, o.Kind == mesh.OutcomeNotRun, o.Reason == mesh.ReasonMoved,
		o.Kind == mesh.OutcomeAnswered && o.Status < fasthttp.StatusInternalServerError:
		return mesh.RunInconclusive
	}
	return mesh.RunFailed
}

// probeUpstream marks an upstream that is down as recovered if it accepts connections
// again.
func (s *Sidecar) probeUpstream() {
	if !s.upstreamDown() {
		return
	}
	// A maximum idle time of 0 forces a new connection.
	conn, err := s.upstreamPool.GetWithMaxIdleTime(dialTimeout, 0)
	if err != nil {
		return
	}
	time.Sleep(resetDelay)
	if !conn.StillOpen() {
		s.upstreamPool.Discard(conn)
		return
	}
	s.upstreamPool.Put(conn)
	s.mu.Lock()
	s.node.UpstreamRecovered()
	s.mu.Unlock()
	s.log.Info("upstream regained", field("address", s.upstreamPool.Address()))
}

const (
	// resetDelay is the time within which the ends of all connections to a process that has
	// ended arrive.
	resetDelay = 30 * time.Millisecond
	// maxDowntimeGuess is how long after a crash an upstream may still be down while
	// something accepts its connections, as long as it has not answered.
	maxDowntimeGuess = time.Second
)

// explainLoss reports whether the answer to a run that started at a time was lost because
// the process of the local upstream ended, and whether the upstream is down now. If
// something still accepts connections, as a proxy does or a listener that outlives the
// process, the process has ended if no connection from before the run is open.
func (s *Sidecar) explainLoss(started time.Duration) (crashed, down bool) {
	conn, err := s.upstreamPool.Dial(dialTimeout)
	if err != nil {
		refused := errors.Is(err, syscall.ECONNREFUSED)
		return refused, refused
	}
	time.Sleep(resetDelay)
	down = !conn.StillOpen()
	if down {
		s.upstreamPool.Discard(conn)
	} else {
		s.upstreamPool.Put(conn)
	}
	if s.upstreamPool.AnyOpenSince(s.started.Add(started)) {
		return false, false
	}
	return s.recordSilentCrash(started), down
}

// recordSilentCrash records that the process of the local upstream ended while something
// still accepts connections, and reports whether it ran a request that started at a time. A
// request that was sent shortly after another crash may have met the same one.
func (s *Sidecar) recordSilentCrash(started time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	crashedBefore := s.silentCrashAt > 0 && started >= s.silentCrashAt && started < s.silentCrashAt+maxDowntimeGuess && s.answeredAt < s.silentCrashAt
	if !crashedBefore && started >= s.silentCrashAt {
		s.silentCrashAt = s.now()
	}
	return !crashedBefore
}

// maxIdleFor returns how long a connection to the upstream may have been idle to carry
// req.
func (s *Sidecar) maxIdleFor(req *upstreamRequest) time.Duration {
	if req.nonIdempotent {
		return maxNonIdempotentIdle
	}
	return maxIdempotentIdle
}

// responseMatcher returns a function that tells which request a response of the upstream belongs
// to, by the request ID that it names. It also refuses a head in which another one continues.
func (s *Sidecar) responseMatcher(req *upstreamRequest) func(*fasthttp.ResponseHeader) pool.Match {
	h := &s.dialect.Headers
	return pool.MatchField(h.RequestID, req.id, h.ResponseStamp, h.NotExecuted)
}

// classifyResponse returns the outcome of a complete response: the upstream ran the
// request, it did not run it, or the response was not produced by the upstream. The
// last holds for responses without a stamp and for those with a content encoding. A response
// that says both that the request ran and that it did not counts as lost.
func (s *Sidecar) classifyResponse(req *upstreamRequest, o mesh.Outcome) mesh.Outcome {
	h := &req.response.Header
	stamped := len(h.Peek(s.dialect.Headers.ResponseStamp)) > 0
	encoded := len(h.Peek(fasthttp.HeaderContentEncoding)) > 0
	notExecuted := len(h.Peek(s.dialect.Headers.NotExecuted)) > 0
	switch {
	case o.Status == fasthttp.StatusMisdirectedRequest && stamped && !notExecuted:
		return mesh.Outcome{Kind: mesh.OutcomeUnknown, Reason: mesh.ReasonMoved, ReachedUpstream: true}
	case o.Status == fasthttp.StatusMisdirectedRequest:
		return mesh.Outcome{Kind: mesh.OutcomeNotRun, Reason: mesh.ReasonMoved}
	case notExecuted && o.Status < fasthttp.StatusMultipleChoices:
		return mesh.Outcome{Kind: mesh.OutcomeUnknown, Reason: mesh.ReasonLost, ReachedUpstream: true}
	case notExecuted:
		return mesh.Outcome{Kind: mesh.OutcomeNotRun, Reason: mesh.ReasonShed, ReachedUpstream: true}
	case !stamped || encoded:
		return mesh.Outcome{Kind: mesh.OutcomeUnknown, Reason: mesh.ReasonLost, ReachedUpstream: true}
	}
	return o
}

// readNotice returns what an upstream says of itself in a response.
func (s *Sidecar) readNotice(h *fasthttp.ResponseHeader) mesh.Notice {
	notice := mesh.Notice{Leaving: len(h.Peek(s.dialect.Headers.UpstreamLeaving)) > 0}
	text := h.Peek(s.dialect.Headers.RateLimit)
	if len(text) == 0 {
		return notice
	}
	limit, ok := parseRateLimit(string(text))
	if !ok {
		s.log.Warn("invalid rate limit of upstream", field("limit", string(text)))
		return notice
	}
	notice.RateLimit, notice.Limited = limit, true
	return notice
}

// parseRateLimit decodes a limit in requests per second. It returns false for malformed
// text and for a number that is negative or not finite.
func parseRateLimit(text string) (perSecond float64, ok bool) {
	perSecond, err := strconv.ParseFloat(text, 64)
	return perSecond, err == nil && perSecond >= 0 && !math.IsInf(perSecond, 0)
}

// acquireSlot waits until the local upstream has a free slot for req. It returns the reason
// if req is refused. Otherwise the caller must release the slot with WorkDone.
func (s *Sidecar) acquireSlot(ctx context.Context, req *upstreamRequest) (mesh.Work, mesh.Reason) {
	s.mu.Lock()
	s.lastWorkID++
	work := mesh.Work{ID: s.lastWorkID, RequestID: req.id, Fingerprint: fingerprint(req.request), Route: req.routeID, Rank: req.rank, Deadline: req.deadline}
	if s.node.BlocksWork(s.now(), work) {
		s.mu.Unlock()
		return work, mesh.ReasonCrasher
	}
	if req.limited {
		s.node.AdoptLimit(s.now(), req.rateLimit)
	}
	decision := s.node.OfferWork(s.now(), work)
	refusal := s.node.RefusalReason(s.now())
	if decision == concurrency.Refuse {
		s.node.WorkRefused(work)
	}
	var decided chan concurrency.Decision
	if decision == concurrency.Enqueue {
		decided = make(chan concurrency.Decision, 1)
		s.waiters[work.ID] = decided
	}
	s.mu.Unlock()
	switch {
	case decision == concurrency.Admit:
		return work, mesh.ReasonNone
	case decision == concurrency.Refuse:
		return work, refusal
	}
	select {
	case decision = <-decided:
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	blocked := s.node.BlocksWork(s.now(), work)
	if decision == concurrency.Admit && !blocked {
		s.node.WorkStarted(s.now(), work)
		return work, mesh.ReasonNone
	}
	// The slot may have been granted just now; WorkRefused returns it.
	delete(s.waiters, work.ID)
	s.node.WorkRefused(work)
	s.dispatchQueuedWork(s.now())
	switch {
	case blocked:
		return work, mesh.ReasonCrasher
	case ctx.Err() != nil:
		// The caller has disconnected; the outcome is only logged.
		return work, mesh.ReasonDeadline
	}
	return work, s.node.RefusalReason(s.now())
}

// dispatchQueuedWork passes on all decisions about queued requests that can be made
// now. The caller holds s.mu.
func (s *Sidecar) dispatchQueuedWork(now time.Duration) {
	for {
		id, decision, ok := s.node.NextWork(now)
		if !ok {
			return
		}
		s.notifyWaiter(id, decision)
	}
}

// notifyWaiter passes a decision to the request that waits for it. The caller holds
// s.mu.
func (s *Sidecar) notifyWaiter(id uint64, decision concurrency.Decision) {
	if decided := s.waiters[id]; decided != nil {
		delete(s.waiters, id)
		decided <- decision
	}
}
