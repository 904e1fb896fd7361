package soak

import (
	"fmt"
	"strings"
	"time"

	"github.com/shallotspool/shallotspool/core/engine"
	"github.com/shallotspool/shallotspool/harness/sim"
)

// leavingBound is how long after its stop was asked for a node's upstream may
// still get work.
const leavingBound = 2 * time.Second

// life is one incarnation of one node.
type life struct {
	target      string
	incarnation uint64
}

type callName struct {
	life
	call engine.CallID
}

// checker watches a world from outside: it sees what callers were told and what
// upstreams ran, whatever the nodes believe.
type checker struct {
	w        *sim.World
	sends    map[string]*send
	runs     map[string]int
	attempts map[string]int
	replies  map[callName]bool
	versions map[life]uint64
	stopped  map[life]time.Duration
	crashes  map[string]int
	found    []string
	// strict is true when no network fault keeps nodes from telling each other
	// what crashed.
	strict bool
}

func newChecker(w *sim.World) *checker {
	c := &checker{
		w: w, sends: map[string]*send{}, runs: map[string]int{}, attempts: map[string]int{},
		replies: map[callName]bool{}, versions: map[life]uint64{}, stopped: map[life]time.Duration{},
		crashes: map[string]int{},
	}
	w.OnRun, w.OnAction = c.ran, c.action
	return c
}

func (c *checker) violation(format string, args ...any) {
	c.found = append(c.found, fmt.Sprintf("at %v: ", c.w.Now())+fmt.Sprintf(format, args...))
}

func lifeOf(h *sim.Host) life { return life{h.Target, h.Incarnation()} }

// ran sees an upstream start a request.
func (c *checker) ran(h *sim.Host, r *engine.Request) {
	name := string(r.Header)
	s := c.sends[name]
	if s == nil {
		c.violation("run of an unknown send %q", name)
		return
	}
	if r.Method != "GET" {
		c.runs[r.Key]++
		if c.runs[r.Key] > 1 {
			c.violation("double run of %s by %s", r.Key, name)
		}
	}
	attempt := name + " " + r.Key
	c.attempts[attempt]++
	if c.attempts[attempt] > 1+s.order.retries {
		c.violation("attempt %d of %s", c.attempts[attempt], attempt)
	}
	if r.Key == rootOf(r.Key) {
		s.runs++
		c.compare(s)
	}
	c.crash(h, r)
}

// crash ends the upstream that runs a poisonous request.
func (c *checker) crash(h *sim.Host, r *engine.Request) {
	if !strings.HasPrefix(string(r.Body), poisonous) {
		return
	}
	epoch := h.Upstream.Epoch()
	c.w.After(0, func() {
		if !h.Alive() || h.Upstream.Epoch() != epoch {
			return
		}
		name := r.Method + " " + h.Service() + r.Path + " " + string(r.Body)
		c.crashes[name]++
		if c.strict && c.crashes[name] > 2 {
			c.violation("crash %d of %s", c.crashes[name], name)
		}
		h.Crash()
	})
}

// compare looks for a send that ran though its caller was told otherwise.
func (c *checker) compare(s *send) {
	if s.runs > 0 && s.reply != nil && s.reply.Outcome == engine.OutcomeNotRun {
		c.violation("%s was told not run (reason %d) but ran", s.name, s.reply.Reason)
	}
}

// replied sees what a caller is told.
func (c *checker) replied(s *send, r engine.Reply) {
	if s.reply != nil {
		c.violation("%s was answered twice", s.name)
	}
	s.reply = &r
	c.compare(s)
	if r.Outcome == engine.OutcomeAnswered && string(r.Answer.Body) != s.order.body {
		c.violation("%s got the answer to %q", s.name, r.Answer.Body)
	}
}

// action sees what a node asks for.
func (c *checker) action(h *sim.Host, action engine.Action) {
	l := lifeOf(h)
	switch a := action.(type) {
	case *engine.ReplyCall:
		name := callName{l, a.ID}
		if c.replies[name] {
			c.violation("%s answered call %d twice", h.Target, a.ID)
		}
		c.replies[name] = true
	case *engine.SendCall:
		c.late(l, a.Request)
	case *engine.Dispatch:
		c.late(l, a.Request)
		if at, ok := c.stopped[l]; ok && c.w.Now()-at > leavingBound {
			c.violation("%s was given work %v after it began to leave", h.Target, c.w.Now()-at)
		}
	case *engine.SendFrame:
		c.document(l, a)
	case *engine.Stopped:
		if h.Open() > 0 {
			c.violation("%s stopped with %d calls in flight", h.Target, h.Open())
		}
	}
}

// longWait is how long a send may have waited for a paused node that still
// takes it, if it must not repeat.
const longWait = 500 * time.Millisecond

// late sees a node work on a request that reached it while it was paused.
func (c *checker) late(l life, r *engine.Request) {
	s := c.sends[string(r.Header)]
	if s == nil || s.slept != l || r.Method == "GET" || r.Key != s.order.key {
		return
	}
	if waited := c.w.Now() - s.since; waited > longWait {
		c.violation("%s took %s that waited %v for it to wake", l.target, s.name, waited)
	}
}

func (c *checker) document(l life, a *engine.SendFrame) {
	if a.Frame.State == nil {
		return
	}
	version := a.Frame.State.Document
	if version < c.versions[l] {
		c.violation("%s went from document %d back to %d", l.target, c.versions[l], version)
	}
	c.versions[l] = max(version, c.versions[l])
}

// inside takes over what a node found broken itself, before it ends.
func (c *checker) inside(h *sim.Host) {
	for _, v := range h.Node.Violations().Recent() {
		c.violation("%s found %s: call %d: %s", h.Target, v.Name, v.Call, v.Detail)
	}
}

// end looks at what is left when everything has come to rest.
func (c *checker) end() {
	for _, h := range c.w.Hosts {
		c.inside(h)
		if h.Alive() && h.Open() > 0 {
			c.violation("%s left %d calls unanswered", h.Target, h.Open())
		}
	}
}
