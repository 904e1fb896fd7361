package sidecar

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/core/mesh"
	"github.com/shallotspool/shallotspool/node/internal/listener"
	"github.com/shallotspool/shallotspool/node/internal/pool"
)

const (
	// fencePath is the path at which a node answers whether a request has arrived there. The
	// request ID is in its header field.
	fencePath = "/shallot/fence"
	// ageParam is the query parameter with the time since the request was sent, in
	// milliseconds.
	ageParam = "age_ms"
	// fenceTimeout limits the time for the question. It is short, because the caller waits.
	fenceTimeout = 300 * time.Millisecond
	// maxFenceTime is how long the question may take on a machine that runs. The node that is
	// asked allows for it.
	maxFenceTime = time.Second
	// maxFenceBytes limits the size of the answer.
	maxFenceBytes = 64
)

// fenceAnswers are the bodies of the answers.
var fenceAnswers = map[mesh.FenceResult]string{
	mesh.FenceUnknown: "unknown", mesh.FenceReceived: "received", mesh.FenceSet: "fenced",
}

func requestHash(id string) uint64 { return xxhash.Sum64String(id) }

// isFenceRequest reports whether another node asks about a request, rather than forwarding
// one.
func isFenceRequest(x *listener.Exchange) bool {
	h := &x.Request.Header
	return len(h.Peek(rankHeader)) == 0 && bytes.HasPrefix(h.RequestURI(), []byte(fencePath))
}

// serveFence answers whether a request has arrived, and keeps it from running if it has not.
func (s *Sidecar) serveFence(x *listener.Exchange) {
	id := string(x.Request.Header.Peek(s.dialect.Headers.RequestID))
	age, err := x.Request.URI().QueryArgs().GetUint(ageParam)
	if err != nil || id == "" {
		s.log.Warn("invalid question from node", field("address", x.RemoteIP), field("request", id), field("error", err))
		x.Response.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	s.mu.Lock()
	result := s.node.Fence(s.now(), requestHash(id), time.Duration(age)*time.Millisecond)
	s.mu.Unlock()
	x.Response.SetBodyString(fenceAnswers[result])
}

// fence asks the node at instance, on a new connection, whether a request that was sent at a time
// of s.bootTime has arrived. It reports true if it has not and never will run. The node judges by
// the age of the request whether it has known all requests since; a suspension of this machine
// counts in that age.
func (s *Sidecar) fence(ctx context.Context, req *upstreamRequest, instance string, sentAt time.Duration) bool {
	timeout := min(fenceTimeout, req.deadline-s.now())
	if timeout <= 0 || ctx.Err() != nil {
		return false
	}
	askedAt := s.bootTime()
	answer, err := s.askFence(req.id, instance, askedAt-sentAt, timeout)
	// The age was too low if this machine was suspended before the question was sent.
	suspended := s.bootTime()-askedAt > maxFenceTime
	s.log.Info("asked whether request arrived", field("request", req.id), field("instance", instance), field("answer", answer),
		field("suspended", suspended), field("error", err))
	return err == nil && !suspended && answer == fenceAnswers[mesh.FenceSet]
}

func (s *Sidecar) askFence(id, instance string, age, timeout time.Duration) (answer string, err error) {
	p := s.peerPool(instance)
	end := time.Now().Add(timeout)
	// An idle connection may have stopped responding like the one of the request.
	conn, err := p.Dial(timeout)
	if err != nil {
		return "", err
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetHost(p.Address())
	req.Header.Set(s.dialect.Headers.RequestID, id)
	req.Header.SetRequestURI(fencePath + "?" + ageParam + "=" + strconv.FormatInt(age.Milliseconds()+1, 10))
	_ = conn.SetDeadline(end)
	if err := conn.ExchangeWithOptions(req, resp, pool.ExchangeOptions{MaxBodyBytes: maxFenceBytes}); err != nil {
		p.Discard(conn)
		return "", err
	}
	p.Put(conn)
	if resp.StatusCode() != http.StatusOK {
		return "", errInvalidState
	}
	return string(resp.Body()), nil
}
