package sidecar

import (
	"math/rand/v2"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/core/mesh"
	"github.com/shallotspool/shallotspool/core/route"
	"github.com/shallotspool/shallotspool/node/internal/listener"
	"github.com/shallotspool/shallotspool/node/internal/memory"
)

const (
	// programMemory is what a node takes without any bodies, in bytes.
	programMemory = 32 << 20
	// bodyMemoryShare is the share of what is left of the heap limit that bodies may take. The
	// rest is left to bodies that are free and not collected yet.
	bodyMemoryShare = 0.75
	// minBodyMemory is the least that bodies may take, in bytes.
	minBodyMemory = 4 << 20
	// maxBodyPause and bodyPauseShare limit how long the body of a request waits for memory:
	// callers abandon a request that is not read within one second or a third of their time.
	maxBodyPause   = 900 * time.Millisecond
	bodyPauseShare = 0.3
	// minMemoryRetryAfter is the least time after which a caller may send a request again whose
	// body found no memory, and memoryRetrySpread the spread of that time.
	minMemoryRetryAfter = 500 * time.Millisecond
	memoryRetrySpread   = time.Second
)

// bodiesRefusedName is the counter of the requests whose body found no memory.
const bodiesRefusedName = "shallot_bodies_refused_total"

// newBodyMemory returns the memory for all bodies of requests and responses that an instance
// holds at a time.
func newBodyMemory(s *Settings) *memory.Budget {
	left := heapLimitShare*float64(s.Limits.MemoryMB<<20) - programMemory
	return memory.NewBudget(max(int(bodyMemoryShare*left), minBodyMemory))
}

// bodyTerms returns how a body may be read that is charged to a lease. timeout is how long its
// sender waits from the header on, 0 if it is not known.
func bodyTerms(x *listener.Exchange, lease *memory.Lease, timeout time.Duration) listener.BodyTerms {
	terms := listener.BodyTerms{Lease: lease, WaitUntil: x.HeaderAt.Add(maxBodyPause)}
	if timeout > 0 {
		pause := min(maxBodyPause, time.Duration(bodyPauseShare*float64(timeout)))
		terms.WaitUntil, terms.ReadUntil = x.HeaderAt.Add(pause), x.HeaderAt.Add(timeout)
	}
	return terms
}

// callerBodyTerms returns how the body of a caller's request may be read, by the priority and the
// name of its route.
func (s *Sidecar) callerBodyTerms(x *listener.Exchange) listener.BodyTerms {
	h := &x.Request.Header
	s.mu.Lock()
	table := s.node.Table()
	s.mu.Unlock()
	timeout := s.requestTimeout(h)
	var matched *route.Route
	if table != nil {
		matched = table.Lookup(string(h.Host()), string(h.RequestURI()))
	}
	if matched == nil {
		return bodyTerms(x, s.bodyMemory.NewRequestLease("", 0), timeout)
	}
	if matched.Timeout > 0 && (timeout == 0 || matched.Timeout < timeout) {
		timeout = matched.Timeout
	}
	return bodyTerms(x, s.bodyMemory.NewRequestLease(matched.Key(), matched.Priority), timeout)
}

// peerBodyTerms returns how the body of a request from another node may be read, by its rank and
// the node.
func (s *Sidecar) peerBodyTerms(x *listener.Exchange) listener.BodyTerms {
	h := &x.Request.Header
	var req upstreamRequest
	_ = parseRank(string(h.Peek(rankHeader)), &req) // servePeer refuses a malformed rank
	return bodyTerms(x, s.bodyMemory.NewRequestLease(x.RemoteIP.String(), req.rank.Priority), s.requestTimeout(h))
}

// refuseCallerBody responds to a caller that its request has not run, as its body found no memory.
func (s *Sidecar) refuseCallerBody(x *listener.Exchange) {
	retryAfter := minMemoryRetryAfter + rand.N(memoryRetrySpread)
	s.respondWithError(x, fasthttp.StatusServiceUnavailable, retryAfter)
	s.recordRefusedBody(x)
}

// refusePeerBody is refuseCallerBody for another node, which may try a third one.
func (s *Sidecar) refusePeerBody(x *listener.Exchange) {
	s.respondWithoutAnswer(x, string(x.Request.Header.Peek(s.dialect.Headers.RequestID)),
		mesh.Outcome{Kind: mesh.OutcomeNotRun, Reason: mesh.ReasonBusy})
	s.recordRefusedBody(x)
}

func (s *Sidecar) recordRefusedBody(x *listener.Exchange) {
	h := &x.Request.Header
	s.metrics.AddToCounter(bodiesRefusedName, 1)
	s.log.Info("body refused", field("request", string(h.Peek(s.dialect.Headers.RequestID))), field("address", x.RemoteIP),
		field("bytes", h.ContentLength()), field("requests_bytes", s.bodyMemory.UsedByRequests()),
		field("used_bytes", s.bodyMemory.Used()), field("limit_bytes", s.bodyMemory.Limit()))
}
