package mesh

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/shallotspool/shallotspool/core/concurrency"
	"github.com/shallotspool/shallotspool/core/registry"
)

// session applies events to one node and records its decisions.
type session struct {
	node *Node
	now  time.Duration
	out  strings.Builder
	call *Call
}

func newSession(t *testing.T) *session {
	return &session{node: newFleet(t, testRoute("a", true), testRoute("b", false))[0]}
}

func (s *session) at(ms int) { s.now = time.Duration(ms) * time.Millisecond }

func (s *session) write(event, result string) {
	fmt.Fprintf(&s.out, "%6d ms  %s -> %s\n", s.now.Milliseconds(), event, result)
}

// arrive starts a call. The length of the path stands in for a hash of the content.
func (s *session) arrive(id, path, parent string) {
	c, step := s.node.StartCall(s.now, IncomingRequest{ID: id, Host: "h", Path: path, Parent: parent, Timeout: time.Second, Fingerprint: uint64(len(path))})
	s.call = c
	parentText := ""
	if c != nil && c.FromUpstream {
		parentText = fmt.Sprintf(" for %s, priority %d", parent, c.Rank.Priority)
	}
	s.write("request "+id+" "+path+parentText, stepText(step))
}

func (s *session) endAttempt(o Outcome) {
	s.write(fmt.Sprintf("its attempt ends: kind %d, status %d, %s", o.Kind, o.Status, o.Reason), stepText(s.node.EndAttempt(s.now, s.call, o)))
}

func (s *session) offer(id uint64, name string, priority int, left time.Duration) {
	d := s.node.OfferWork(s.now, Work{ID: id, RequestID: name, Rank: Rank{Priority: priority}, Deadline: s.now + left})
	s.write(fmt.Sprintf("work %s, priority %d, %v left", name, priority, left), [...]string{"", "run", "wait", "refuse"}[d])
}

func (s *session) drainQueue() {
	for id, d, ok := s.node.NextWork(s.now); ok; id, d, ok = s.node.NextWork(s.now) {
		decision := "run"
		if d == concurrency.Refuse {
			decision = "refuse"
		}
		s.write("next work", fmt.Sprintf("%d %s", id, decision))
	}
}

func stepText(s Step) string {
	text := [...]string{"", "send", "deliver", "refuse", "fail", "unknown route"}[s.Kind]
	if s.Kind == StepSend {
		instance := s.Target.Instance
		if instance == "" {
			instance = "own upstream"
		}
		return fmt.Sprintf("%s to %s at %s", text, s.Target.Upstream, instance)
	}
	if s.RetryAfter > 0 {
		text += ", may retry"
	}
	return text + ", reason " + s.Reason.String()
}

// TestSessions compares the decisions of a node, event by event, with golden files.
func TestSessions(t *testing.T) {
	sessions := map[string]func(s *session){
		"attempts": func(s *session) {
			s.arrive("r1", "/b/1", "")
			s.endAttempt(Outcome{Kind: OutcomeNotRun, Reason: ReasonUnreachable})
			s.endAttempt(Outcome{Kind: OutcomeUnknown, Reason: ReasonLost, ReachedUpstream: true})
			s.arrive("r2", "/a/1", "")
			s.endAttempt(Outcome{Kind: OutcomeUnknown, Reason: ReasonLost, ReachedUpstream: true})
			s.endAttempt(Outcome{Kind: OutcomeAnswered, Status: 200, ReachedUpstream: true})
			s.arrive("r3", "/a/1", "")
			s.at(990)
			s.endAttempt(Outcome{Kind: OutcomeAnswered, Status: 504, ReachedUpstream: true})
			s.arrive("r4", "/none", "")
			s.arrive("r5", "/b/1", "")
			s.endAttempt(Outcome{Kind: OutcomeNotRun, Reason: ReasonBusy})
			s.endAttempt(Outcome{Kind: OutcomeNotRun, Reason: ReasonBusy})
		},
		"leaving": func(s *session) {
			s.arrive("r1", "/b/1", "")
			s.endAttempt(Outcome{Kind: OutcomeNotRun, Reason: ReasonLeaving})
			s.endAttempt(Outcome{Kind: OutcomeAnswered, Status: 200, ReachedUpstream: true})
			for _, id := range []string{"i-10.0.0.3", "i-10.0.0.4"} {
				s.at(int(s.now.Milliseconds()) + 100)
				u := *s.node.Registry().Get(id)
				u.Draining = true
				s.node.Registry().Apply(s.now, []registry.Change{{ID: id, Revision: s.node.Registry().Position().Revision + 1, Upstream: &u}})
				s.node.RegistryChanged()
				s.write(id+" drains", "noted")
				s.arrive("r2", "/b/1", "")
			}
		},
		"own_upstream": func(s *session) {
			for i := range uint64(9) {
				s.offer(i+1, fmt.Sprint("w", i+1), 1, time.Second)
			}
			s.offer(10, "w10", 1, time.Second)
			s.offer(11, "w11", 0, time.Second)
			s.offer(12, "w12", 0, 10*time.Millisecond)
			s.arrive("w1.1", "/b/1", "w1")
			s.endAttempt(Outcome{Kind: OutcomeUnknown, Reason: ReasonLost, ReachedUpstream: true})
			s.at(100)
			s.node.WorkDone(s.now, Work{ID: 1, RequestID: "w1"}, s.now, RunFailed)
			s.write("w1 fails", fmt.Sprintf("fault share %.2f", s.node.Heartbeat(s.now).FaultShare))
			s.drainQueue()
			s.node.WorkDone(s.now, Work{ID: 2, RequestID: "w2"}, s.now, RunSucceeded)
			s.drainQueue()
			s.arrive("w1.2", "/b/1", "w1")
		},
	}
	g := goldie.New(t)
	for name, run := range sessions {
		t.Run(name, func(t *testing.T) {
			s := newSession(t)
			run(s)
			g.Assert(t, "session_"+name, []byte(s.out.String()))
		})
	}
}
