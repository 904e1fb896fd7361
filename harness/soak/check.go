package soak

import (
	"fmt"
	"strings"
	"time"

	"github.com/shallotspool/shallotspool/core/engine"
	"github.com/shallotspool/shallotspool/harness/sim"
)

// maxLeavingDispatchDelay is how long a node that was asked to stop may still dispatch
// requests to its upstream.
const maxLeavingDispatchDelay = 2 * time.Second

// incarnationID identifies one incarnation of a node.
type incarnationID struct {
	target      string
	incarnation uint64
}

// callKey identifies a call to one incarnation of a node.
type callKey struct {
	incarnationID
	callID engine.CallID
}

// checker observes a run from outside: the replies to callers, the executions in
// upstreams and the actions of nodes.
type checker struct {
	world           *sim.World
	sends           map[string]*send // by name
	executions      map[string]int   // non-idempotent executions by request key
	attempts        map[string]int   // executions by send and request key
	replied         map[callKey]bool
	versions        map[incarnationID]uint64 // highest document version reported
	stopRequestedAt map[incarnationID]time.Duration
	crashes         map[string]int // by fingerprint of the poisonous request
	violations      []string
	// reliableNetwork is set if no kill, pause, network fault or platform outage keeps
	// nodes from telling each other which requests crashed an upstream.
	reliableNetwork bool
}

// newChecker returns a checker that is subscribed to the events of w.
func newChecker(w *sim.World) *checker {
	c := &checker{
		world: w, sends: map[string]*send{}, executions: map[string]int{}, attempts: map[string]int{},
		replied: map[callKey]bool{}, versions: map[incarnationID]uint64{}, stopRequestedAt: map[incarnationID]time.Duration{},
		crashes: map[string]int{},
	}
	w.OnRun, w.OnAction = c.onExecution, c.onAction
	return c
}

// reportViolation records a violation with the current virtual time.
func (c *checker) reportViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("at %v: ", c.world.Now())+fmt.Sprintf(format, args...))
}

// incarnationOf returns the current incarnation of a host's node.
func incarnationOf(h *sim.Host) incarnationID { return incarnationID{h.Target, h.Incarnation()} }

// onExecution is called when an upstream starts to execute a request.
func (c *checker) onExecution(h *sim.Host, r *engine.Request) {
	name := string(r.Header)
	s := c.sends[name]
	if s == nil {
		c.reportViolation("execution of an unknown send %q", name)
		return
	}
	if r.Method != "GET" {
		c.executions[r.Key]++
		if c.executions[r.Key] > 1 {
			c.reportViolation("repeated execution of %s by %s", r.Key, name)
		}
	}
	attempt := name + " " + r.Key
	c.attempts[attempt]++
	if c.attempts[attempt] > 1+s.request.retryBudget {
		c.reportViolation("attempt %d of %s exceeds the retry budget", c.attempts[attempt], attempt)
	}
	// Calls further down the tree carry the send's name but have keys of their own.
	if r.Key == rootKey(r.Key) {
		s.executions++
		c.checkNotExecuted(s)
	}
	c.crashIfPoisonous(h, r)
}

// crashIfPoisonous crashes the upstream that executes a poisonous request. More than two
// crashes by the same request are a violation if the network is reliable.
func (c *checker) crashIfPoisonous(h *sim.Host, r *engine.Request) {
	if !strings.HasPrefix(string(r.Body), poisonPrefix) {
		return
	}
	restarts := h.Upstream.Restarts()
	c.world.After(0, func() {
		if !h.Alive() || h.Upstream.Restarts() != restarts {
			return
		}
		fingerprint := r.Method + " " + h.Service() + r.Path + " " + string(r.Body)
		c.crashes[fingerprint]++
		if c.reliableNetwork && c.crashes[fingerprint] > 2 {
			c.reportViolation("crash %d of %s", c.crashes[fingerprint], fingerprint)
		}
		h.CrashUpstream()
	})
}

// checkNotExecuted reports a send that was executed although its caller was told that
// it was not.
func (c *checker) checkNotExecuted(s *send) {
	if s.executions > 0 && s.reply != nil && s.reply.Outcome == engine.OutcomeNotRun {
		c.reportViolation("%s was answered as not run (reason %d) but was executed", s.name, s.reply.Reason)
	}
}

// onReply is called when a reply reaches a caller.
func (c *checker) onReply(s *send, r engine.Reply) {
	if s.reply != nil {
		c.reportViolation("%s was answered twice", s.name)
	}
	s.reply = &r
	c.checkNotExecuted(s)
	if r.Outcome == engine.OutcomeAnswered && string(r.Response.Body) != s.request.body {
		c.reportViolation("%s received the response to %q", s.name, r.Response.Body)
	}
}

// onAction is called for each action of a node.
func (c *checker) onAction(h *sim.Host, action engine.Action) {
	incarnation := incarnationOf(h)
	switch a := action.(type) {
	case *engine.ReplyCall:
		key := callKey{incarnation, a.ID}
		if c.replied[key] {
			c.reportViolation("%s answered call %d twice", h.Target, a.ID)
		}
		c.replied[key] = true
	case *engine.SendCall:
		c.checkPausedSend(incarnation, a.Request)
	case *engine.Dispatch:
		c.checkPausedSend(incarnation, a.Request)
		if at, ok := c.stopRequestedAt[incarnation]; ok && c.world.Now()-at > maxLeavingDispatchDelay {
			c.reportViolation("%s dispatched work %v after it was asked to stop", h.Target, c.world.Now()-at)
		}
	case *engine.SendFrame:
		c.checkDocumentVersion(incarnation, a)
	case *engine.Stopped:
		if h.OpenCalls() > 0 {
			c.reportViolation("%s stopped with %d calls in flight", h.Target, h.OpenCalls())
		}
	}
}

// maxPausedWait is how long a non-idempotent send may have waited in a paused node that
// still processes it.
const maxPausedWait = 500 * time.Millisecond

// checkPausedSend reports a node that processes a non-idempotent send more than
// maxPausedWait after the send arrived at the paused node.
func (c *checker) checkPausedSend(incarnation incarnationID, r *engine.Request) {
	s := c.sends[string(r.Header)]
	if s == nil || s.pausedIn != incarnation || r.Method == "GET" || r.Key != s.request.key {
		return
	}
	if waited := c.world.Now() - s.pausedArrival; waited > maxPausedWait {
		c.reportViolation("%s processed %s, which waited %v for the paused node", incarnation.target, s.name, waited)
	}
}

// checkDocumentVersion reports a node whose heartbeat names an older document than an
// earlier heartbeat of the same incarnation.
func (c *checker) checkDocumentVersion(incarnation incarnationID, a *engine.SendFrame) {
	if a.Frame.Heartbeat == nil {
		return
	}
	version := a.Frame.Heartbeat.DocumentVersion
	if version < c.versions[incarnation] {
		c.reportViolation("%s went back from document version %d to %d", incarnation.target, c.versions[incarnation], version)
	}
	c.versions[incarnation] = max(version, c.versions[incarnation])
}

// collectNodeViolations adds the violations that a node's own assertions found. It must
// be called before the host is started again, which replaces the node.
func (c *checker) collectNodeViolations(h *sim.Host) {
	for _, v := range h.Node.InvariantChecker().First() {
		c.reportViolation("%s reported %s: call %d: %s", h.Target, v.Name, v.Call, v.Detail)
	}
}

// checkFinalState reports the violations that nodes found and the calls that are still
// open at the end of a run.
func (c *checker) checkFinalState() {
	for _, h := range c.world.Hosts {
		c.collectNodeViolations(h)
		if h.Alive() && h.OpenCalls() > 0 {
			c.reportViolation("%s left %d calls unanswered", h.Target, h.OpenCalls())
		}
	}
}
