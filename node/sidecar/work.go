package sidecar

import (
	"bytes"
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/core/guard"
	"github.com/shallotspool/shallotspool/core/mesh"
	"github.com/shallotspool/shallotspool/node/internal/listener"
)

// servePeer takes a request that another node sent for the own upstream.
func (s *Sidecar) servePeer(ctx context.Context, x *listener.Exchange) {
	if isStateRequest(x) {
		s.serveState(ctx, x)
		return
	}
	s.active.Add(1)
	defer s.active.Add(-1)
	h := &x.Request.Header
	w := &work{
		request: &x.Request, response: &x.Response, id: string(h.Peek(s.dialect.Headers.RequestID)),
		deadline: s.now() + s.statedWait(h),
	}
	if !parseRank(string(h.Peek(hopRank)), w) {
		s.log.Warn("bad request from node", field("address", x.Remote))
		x.Response.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	h.Del(hopRank)
	dropConnectionHeaders(h)
	h.ResetConnectionClose()
	o := s.run(ctx, w)
	r := &x.Response
	if o.Kind != mesh.Answered {
		r.Reset()
		r.SetStatusCode(fasthttp.StatusServiceUnavailable)
		r.Header.SetNoDefaultContentType(true)
	} else {
		dropConnectionHeaders(&r.Header)
		r.Header.ResetConnectionClose()
	}
	r.Header.Set(hopResult, formatResult(o))
	s.mu.Lock()
	load := s.node.Load()
	s.mu.Unlock()
	r.Header.Set(hopLoad, formatLoad(load))
}

// run has the own upstream run w once there is room.
func (s *Sidecar) run(ctx context.Context, w *work) mesh.Outcome {
	s.mu.Lock()
	down := s.node.UpstreamDown()
	s.mu.Unlock()
	if down {
		s.logRefusal(w, mesh.ReasonUnreachable)
		return mesh.Outcome{Kind: mesh.NotRun, Reason: mesh.ReasonUnreachable}
	}
	job, d := s.offer(ctx, w)
	if d != guard.Run {
		reason := mesh.ReasonBusy
		if ctx.Err() != nil {
			reason = mesh.ReasonDeadline
		}
		s.logRefusal(w, reason)
		return mesh.Outcome{Kind: mesh.NotRun, Reason: reason}
	}
	started := s.now()
	o := s.carry(ctx, s.upstream, w, s.idleFor(w), s.ownAnswer(w))
	if o.Kind == mesh.Answered {
		o = s.judge(w, o)
	}
	crashed := o.Kind == mesh.Unknown && o.Reason == mesh.ReasonLost && ctx.Err() == nil && s.upstreamGone()
	s.mu.Lock()
	now := s.now()
	if crashed {
		s.node.WorkCrashed(now, job)
	}
	end := runEnd(ctx, o)
	refused := o.Kind == mesh.NotRun && o.Reason == mesh.ReasonUnreachable && w.deadline-started >= dialLimit
	if crashed || refused {
		end = mesh.RunUnreachable
	}
	s.node.WorkDone(now, job, now-started, end)
	s.drainWork(now)
	s.mu.Unlock()
	return o
}

// runEnd tells what an outcome says of the own upstream.
func runEnd(ctx context.Context, o mesh.Outcome) mesh.RunEnd {
	switch {
	case o.Kind == mesh.Answered && o.Status < fasthttp.StatusBadRequest:
		return mesh.RunSucceeded
	case o.Reason == mesh.ReasonShed:
		return mesh.RunTurnedAway
	case o.Kind == mesh.Unknown && o.Reason == mesh.ReasonDeadline,
		o.Kind == mesh.Answered && o.Status == fasthttp.StatusGatewayTimeout:
		return mesh.RunExpired
	case ctx.Err() != nil, o.Kind == mesh.NotRun,
		o.Kind == mesh.Answered && o.Status < fasthttp.StatusInternalServerError:
		return mesh.RunCutShort
	}
	return mesh.RunFailed
}

// tryUpstream looks whether an upstream that is down takes connections again.
func (s *Sidecar) tryUpstream() {
	s.mu.Lock()
	down := s.node.UpstreamDown()
	s.mu.Unlock()
	if !down {
		return
	}
	conn, err := s.upstream.GetFresh(dialLimit, 0)
	if err != nil {
		return
	}
	s.upstream.Put(conn)
	s.mu.Lock()
	s.node.UpstreamBack()
	s.mu.Unlock()
	s.log.Info("upstream regained", field("address", s.upstream.Address()))
}

// upstreamGone looks whether the own upstream still takes connections.
func (s *Sidecar) upstreamGone() bool {
	conn, err := s.upstream.GetFresh(dialLimit, freshIdle)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	s.upstream.Put(conn)
	return false
}

// idleFor is how long a connection may have been idle to carry w.
func (s *Sidecar) idleFor(w *work) time.Duration {
	if w.once {
		return freshIdle
	}
	return upstreamIdle
}

// ownAnswer tells the answer to w from late ones to other requests.
func (s *Sidecar) ownAnswer(w *work) func(*fasthttp.ResponseHeader) bool {
	name := s.dialect.Headers.RequestID
	id := []byte(w.id)
	return func(h *fasthttp.ResponseHeader) bool {
		echoed := h.Peek(name)
		return len(echoed) == 0 || bytes.Equal(echoed, id)
	}
}

// judge tells an upstream's answers to what it ran from its refusals, and from
// bytes that are not its own.
func (s *Sidecar) judge(w *work, o mesh.Outcome) mesh.Outcome {
	h := &w.response.Header
	stamped := len(h.Peek(s.dialect.Headers.Stamp)) > 0
	encoded := len(h.Peek(fasthttp.HeaderContentEncoding)) > 0
	switch {
	case o.Status == fasthttp.StatusMisdirectedRequest:
		return mesh.Outcome{Kind: mesh.NotRun, Reason: mesh.ReasonMoved}
	case len(h.Peek(s.dialect.Headers.NotRun)) > 0:
		return mesh.Outcome{Kind: mesh.NotRun, Reason: mesh.ReasonShed, Reached: true}
	case !stamped || encoded:
		return mesh.Outcome{Kind: mesh.Unknown, Reason: mesh.ReasonLost, Reached: true}
	}
	return o
}

// offer waits until the own upstream has room for w, or w is refused.
func (s *Sidecar) offer(ctx context.Context, w *work) (mesh.Work, guard.Decision) {
	s.mu.Lock()
	s.nextID++
	job := mesh.Work{ID: s.nextID, Name: w.id, Print: printOf(w.request), Route: w.route, Rank: w.rank, Deadline: w.deadline}
	d := s.node.Offer(s.now(), job)
	if d == guard.Refuse {
		s.node.WorkRefused(job)
	}
	var told chan guard.Decision
	if d == guard.Wait {
		told = make(chan guard.Decision, 1)
		s.waiting[job.ID] = told
	}
	s.mu.Unlock()
	if told == nil {
		return job, d
	}
	select {
	case d = <-told:
		if d == guard.Run {
			s.mu.Lock()
			s.node.WorkBegan(s.now(), job)
			s.mu.Unlock()
			return job, d
		}
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	// The place may have become its own just now; it is given back.
	delete(s.waiting, job.ID)
	s.node.WorkRefused(job)
	s.drainWork(s.now())
	return job, guard.Refuse
}

// drainWork starts what there is room for now; the mutex is held.
func (s *Sidecar) drainWork(now time.Duration) {
	for {
		id, d, ok := s.node.NextWork(now)
		if !ok {
			return
		}
		s.tell(id, d)
	}
}

// tell passes a decision to the request that waits for it; the mutex is held.
func (s *Sidecar) tell(id uint64, d guard.Decision) {
	if told := s.waiting[id]; told != nil {
		delete(s.waiting, id)
		told <- d
	}
}
