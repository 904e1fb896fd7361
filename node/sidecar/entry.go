package sidecar

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/core/mesh"
	"github.com/shallotspool/shallotspool/node/internal/listener"
)

// serveCaller takes a request where it enters: from a caller, or from the own
// upstream.
func (s *Sidecar) serveCaller(ctx context.Context, x *listener.Exchange) {
	s.active.Add(1)
	defer s.active.Add(-1)
	h := &x.Request.Header
	a := mesh.Arrival{
		ID: string(h.Peek(s.dialect.Headers.RequestID)), Host: string(h.Host()), Path: string(h.RequestURI()),
		Wait: s.statedWait(h), Print: printOf(&x.Request),
	}
	a.Parent = s.dialect.ParentOf(a.ID)
	s.mu.Lock()
	call, step := s.node.Arrive(s.now(), a)
	s.mu.Unlock()
	if step.Kind == mesh.StepSend {
		s.prepare(&x.Request)
	}
	for step.Kind == mesh.StepSend {
		o := s.attempt(ctx, x, call, step.Target)
		if ctx.Err() != nil {
			s.abandon(call, step)
			return
		}
		s.mu.Lock()
		step = s.node.Ended(s.now(), call, o)
		s.mu.Unlock()
		if step.Kind == mesh.StepSend {
			s.logAgain(call, o, step.Target)
		}
	}
	s.answer(x, call, step)
}

// printOf hashes what a request asks for; it is the same for all its sends.
func printOf(r *fasthttp.Request) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range [][]byte{r.Header.Method(), r.Header.Host(), r.Header.RequestURI(), r.Body()} {
		_, _ = d.Write(part)
		_, _ = d.Write(printSeparator)
	}
	return d.Sum64()
}

var printSeparator = []byte{0}

// statedWait reads how long the sender waits, 0 if it does not say.
func (s *Sidecar) statedWait(h *fasthttp.RequestHeader) time.Duration {
	ms, err := strconv.ParseInt(string(h.Peek(s.dialect.Headers.Deadline)), 10, 64)
	if err != nil || ms <= 0 || ms > maxWaitMS {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// maxWaitMS is the longest deadline that is believed: an hour.
const maxWaitMS = 3_600_000

// prepare makes the request ready to be passed on.
func (s *Sidecar) prepare(r *fasthttp.Request) {
	dropConnectionHeaders(&r.Header)
	r.Header.ResetConnectionClose()
	for _, name := range []string{hopRank, hopResult, hopLoad, s.dialect.Headers.Expect} {
		r.Header.Del(name)
	}
	r.Header.Set(s.dialect.Headers.Caller, s.settings.Load().Service)
}

// attempt sends the call to one target and returns how that ended. The answer,
// if there is one, is in x.Response.
func (s *Sidecar) attempt(ctx context.Context, x *listener.Exchange, c *mesh.Call, t mesh.Target) mesh.Outcome {
	x.Response.Reset()
	w := &work{
		request: &x.Request, response: &x.Response, id: c.ID, rank: c.Rank, route: c.RouteID,
		deadline: c.Deadline, once: !c.Route.Idempotent,
	}
	w.rank.Age += s.now() - c.Arrived
	x.Request.Header.Set(s.dialect.Headers.Expect, t.Upstream)
	if t.Instance == "" {
		return s.run(ctx, w)
	}
	return s.sendToPeer(ctx, w, t.Instance)
}

func (s *Sidecar) abandon(c *mesh.Call, step mesh.Step) {
	s.mu.Lock()
	s.node.Abandon(s.now(), c)
	s.mu.Unlock()
	s.logCall("caller gone", c, step, 0)
}

// answer fills in what the caller gets.
func (s *Sidecar) answer(x *listener.Exchange, c *mesh.Call, step mesh.Step) {
	status := x.Response.StatusCode()
	switch step.Kind {
	case mesh.StepDeliver:
		h := &x.Response.Header
		dropConnectionHeaders(h)
		h.ResetConnectionClose()
		h.Del(hopResult)
		h.Del(hopLoad)
	case mesh.StepRefuse:
		status = fasthttp.StatusServiceUnavailable
		s.refuse(x, status, step.RetryAfter)
	case mesh.StepUnknownRoute:
		status = fasthttp.StatusNotFound
		s.refuse(x, status, 0)
	default:
		status = fasthttp.StatusBadGateway
		if step.Reason == mesh.ReasonDeadline {
			status = fasthttp.StatusGatewayTimeout
		}
		s.refuse(x, status, 0)
	}
	s.count(c, step, status, time.Since(x.Arrived))
	s.logAnswer(x, c, step, status)
}

// refuse answers with a status of the node's own.
func (s *Sidecar) refuse(x *listener.Exchange, status int, retryAfter time.Duration) {
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
