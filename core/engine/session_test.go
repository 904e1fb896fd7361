package engine_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/shallotspool/shallotspool/core/engine"
	"github.com/shallotspool/shallotspool/core/wire"
)

// session drives a node and writes what went in and what came out.
type session struct {
	*bench
	text strings.Builder
}

func (s *session) in(what string, ev engine.Event) []engine.Action {
	fmt.Fprintf(&s.text, "%v in: %s\n", s.now-time.Minute, what)
	return s.out(s.step(ev))
}

func (s *session) out(actions []engine.Action) []engine.Action {
	for _, action := range actions {
		switch a := action.(type) {
		case *engine.Dispatch:
			fmt.Fprintf(&s.text, "  dispatch attempt=%d wait=%v\n", a.Attempt, a.Wait)
		case *engine.SendCall:
			fmt.Fprintf(&s.text, "  send attempt=%d to=%s wait=%v tokens=%d depth=%d rerun=%t\n",
				a.Attempt, a.Target, a.Wait, a.Tokens, a.Depth, a.Rerun)
		case *engine.ReplyCall:
			fmt.Fprintf(&s.text, "  reply call=%d outcome=%s reason=%s tokens=%d\n",
				a.ID, a.Reply.Outcome, a.Reply.Reason, a.Reply.Tokens)
		case *engine.CancelAttempt:
			fmt.Fprintf(&s.text, "  cancel attempt=%d\n", a.Attempt)
		case *engine.SendFrame:
			if a.Frame.Cancel != nil {
				fmt.Fprintf(&s.text, "  cancel frame to=%s send=%d\n", a.To.Target, a.Frame.Cancel.Send.Sequence)
			}
		}
	}
	return actions
}

// enter lets a caller's request in and returns its dispatch.
func (s *session) enter(key string) engine.AttemptID {
	s.calls++
	return find[*engine.Dispatch](s.t, s.in(fmt.Sprintf("call %d of a caller", s.calls), &engine.CallArrived{
		ID: s.calls, Origin: engine.OriginCaller,
		Request: &engine.Request{Service: "front", Method: "GET", Path: "/front", Key: key},
	})).Attempt
}

// open lets the own upstream call another service on behalf of parent.
func (s *session) open(parent engine.AttemptID) []engine.Action {
	s.calls++
	return s.in(fmt.Sprintf("call %d for attempt %d", s.calls, parent), &engine.CallArrived{
		ID: s.calls, Origin: engine.OriginUpstream, Parent: parent,
		Request: &engine.Request{Service: "back", Method: "GET", Path: "/back"},
	})
}

func (s *session) answered(id engine.AttemptID) {
	s.in(fmt.Sprintf("attempt %d answered", id), &engine.AttemptAnswered{
		Attempt: id, Reply: engine.Reply{
			Outcome: engine.OutcomeAnswered, Answer: &engine.Answer{Status: 200},
			Load: wire.Load{Limit: 10, Level: 0xffff},
		},
	})
}

func (s *session) failed(id engine.AttemptID, cause engine.FailureCause, how string) []engine.Action {
	return s.in(fmt.Sprintf("attempt %d %s", id, how), &engine.AttemptFailed{Attempt: id, Cause: cause})
}

// TestSessionUpstreamLoss loses a target: what was sent to it is repeated
// elsewhere within the allotment, new work goes to the other target, and the
// lost one gets a small share when it is back.
func TestSessionUpstreamLoss(t *testing.T) {
	s := &session{bench: newBench(t, 10)}
	first := s.enter("a")
	sent := find[*engine.SendCall](t, s.open(first))
	lost := wire.NodeID{Target: sent.Target, Incarnation: 7}
	s.in("link to "+sent.Target+" down", &engine.LinkChanged{Peer: lost})
	again := find[*engine.SendCall](t, s.failed(sent.Attempt, engine.FailureLost, "lost"))
	s.answered(again.Attempt)
	s.answered(first)
	for range 4 {
		s.now += 200 * time.Millisecond
		entered := s.enter("")
		send := find[*engine.SendCall](t, s.open(entered))
		if send.Target == sent.Target {
			send = find[*engine.SendCall](t, s.failed(send.Attempt, engine.FailureNotSent, "not sent"))
		}
		s.answered(send.Attempt)
		s.answered(entered)
	}
	lost.Incarnation++
	s.in("link to "+sent.Target+" up again, a new run", &engine.LinkChanged{Peer: lost, Up: true})
	entered := s.enter("")
	for range 6 {
		s.open(entered)
	}
	goldie.New(t).Assert(t, "upstream_loss", []byte(s.text.String()))
}

// TestSessionCancel abandons a request whose upstream has calls open, while
// another waits for its place.
func TestSessionCancel(t *testing.T) {
	s := &session{bench: newBench(t, 1)}
	entered := s.enter("")
	s.open(entered)
	s.open(entered)
	s.calls++
	s.in("call 4 of a caller, which waits", &engine.CallArrived{
		ID: s.calls, Origin: engine.OriginCaller,
		Request: &engine.Request{Service: "front", Method: "GET", Path: "/front"},
	})
	s.now += 100 * time.Millisecond
	s.in("caller of call 1 gone", &engine.CallerGone{ID: 1})
	s.answered(2)
	s.open(entered)
	s.now += 2 * time.Second
	s.in("tick", &engine.Tick{})
	goldie.New(t).Assert(t, "cancel", []byte(s.text.String()))
}
