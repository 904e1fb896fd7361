package soak

import (
	"fmt"
	"strings"
	"time"

	"github.com/shallotspool/shallotspool/core/engine"
	"github.com/shallotspool/shallotspool/harness/sim"
)

// requestKind is one kind of request that callers make.
type requestKind struct {
	service, method, path string
	timeout               time.Duration
	retryBudget           int // retries in the document
}

// requestKinds must match the routes of documentText.
var requestKinds = []requestKind{
	{"shop", "GET", "/find", 1500 * time.Millisecond, 6},
	{"shop", "POST", "/buy", 2 * time.Second, 9},
	{"pay", "POST", "/charge", 1500 * time.Millisecond, 4},
}

const (
	// resendWindow is how long a caller may resend a request; it is the document's
	// resend_window.
	resendWindow = 6 * time.Second
	// maxSends is the largest number of sends of one request.
	maxSends = 4
	// callerNetworkDelay is the one-way delay between callers and nodes.
	callerNetworkDelay = 8 * time.Millisecond
)

// callerRequest is one request of a caller with all its sends.
type callerRequest struct {
	requestKind
	key         string
	body        string
	firstSentAt time.Duration
	sends       []*send
	settled     bool // a final reply has arrived
}

// send is one transmission of a request by its caller.
type send struct {
	request    *callerRequest
	name       string // identifies the send, "key#number"
	executions int
	reply      *engine.Reply
	finished   bool // the caller no longer waits
	// pausedIn is the node where the send arrived if it was paused then; pausedArrival
	// is the time of that arrival.
	pausedIn      incarnationID
	pausedArrival time.Duration
}

// callers make requests and resend those that received no final reply.
type callers struct {
	world        *sim.World
	checker      *checker
	requestCount int
}

// sendNewRequest sends a new request with the given body. If body is empty, the body is
// the request's key, and one of ten requests is resent within 100 ms without waiting for
// the reply.
func (c *callers) sendNewRequest(k requestKind, body string) {
	c.requestCount++
	r := &callerRequest{requestKind: k, key: c.chooseKey(k), firstSentAt: c.world.Now()}
	r.body = body
	if body == "" {
		r.body = r.key
	}
	c.send(r)
	if body == "" && c.world.Random.IntN(10) == 0 {
		c.afterRandomDelay(100*time.Millisecond, func() { c.resend(r) })
	}
}

// chooseKey returns a key for a new request. A random host issues it if it belongs to
// the service and its node is running and not paused; otherwise the caller chooses it.
func (c *callers) chooseKey(k requestKind) string {
	h := c.world.Hosts[c.world.Random.IntN(len(c.world.Hosts))]
	if h.Service() == k.service && h.Alive() && !h.Paused() {
		return h.Node.IssueKey()
	}
	return fmt.Sprintf("k%d", c.requestCount)
}

// afterRandomDelay calls do after a random delay of at most limit.
func (c *callers) afterRandomDelay(limit time.Duration, do func()) {
	c.world.After(time.Duration(c.world.Random.Int64N(int64(limit))+1), do)
}

// resend sends the request once more, unless it is settled or its sends or its resend
// window are used up.
func (c *callers) resend(r *callerRequest) {
	if r.settled || len(r.sends) >= maxSends || c.world.Now()-r.firstSentAt >= resendWindow {
		return
	}
	c.send(r)
}

// send sends the request to a random host. The caller waits for the reply until 500 ms
// after the timeout. A send to a stopped host is lost.
func (c *callers) send(request *callerRequest) {
	s := &send{request: request, name: fmt.Sprintf("%s#%d", request.key, len(request.sends)+1)}
	request.sends = append(request.sends, s)
	c.checker.sends[s.name] = s
	h := c.world.Hosts[c.world.Random.IntN(len(c.world.Hosts))]
	engineRequest := &engine.Request{
		Service: request.service, Method: request.method, Path: request.path, Key: request.key,
		Header: []byte(s.name), Body: []byte(request.body),
	}
	c.world.After(callerNetworkDelay, func() {
		if h.Paused() {
			s.pausedIn, s.pausedArrival = incarnationOf(h), c.world.Now()
		}
		if h.Alive() {
			h.Call(&engine.CallArrived{Origin: engine.OriginCaller, Request: engineRequest}, func(r engine.Reply) {
				c.world.After(callerNetworkDelay, func() { c.handleReply(s, r) })
			})
		}
	})
	c.world.After(request.timeout+500*time.Millisecond, func() { c.timeOut(s) })
}

// timeOut ends the wait for a reply to a send and schedules a resend.
func (c *callers) timeOut(s *send) {
	if !s.finished {
		s.finished = true
		c.afterRandomDelay(time.Second, func() { c.resend(s.request) })
	}
}

// handleReply settles the request if the reply is final and schedules a resend
// otherwise.
func (c *callers) handleReply(s *send, r engine.Reply) {
	c.checker.onReply(s, r)
	if s.finished {
		return
	}
	s.finished = true
	switch r.Outcome {
	case engine.OutcomeAnswered, engine.OutcomeBadRequest, engine.OutcomeUpstreamError:
		s.request.settled = true
	default:
		c.afterRandomDelay(r.RetryAfter+time.Second, func() { c.resend(s.request) })
	}
}

// rootKey returns the key of the caller's request at the root of a call tree, given any
// key of the tree. The keys of calls are the root's key and a suffix after a slash.
func rootKey(key string) string {
	root, _, _ := strings.Cut(key, "/")
	return root
}
