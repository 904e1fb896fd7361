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

// transcript delivers events to a testNode and records them with the resulting
// actions.
type transcript struct {
	*testNode
	text strings.Builder
}

// inject delivers an event and records it and the resulting actions.
func (s *transcript) inject(what string, ev engine.Event) []engine.Action {
	fmt.Fprintf(&s.text, "%v in: %s\n", s.now-time.Minute, what)
	return s.writeActions(s.step(ev))
}

func (s *transcript) writeActions(actions []engine.Action) []engine.Action {
	for _, action := range actions {
		switch a := action.(type) {
		case *engine.Dispatch:
			fmt.Fprintf(&s.text, "  dispatch attempt=%d wait=%v\n", a.Attempt, a.Timeout)
		case *engine.SendCall:
			fmt.Fprintf(&s.text, "  send attempt=%d to=%s wait=%v tokens=%d depth=%d rerun=%t\n",
				a.Attempt, a.Target, a.Timeout, a.RetryTokens, a.Depth, a.Rerun)
		case *engine.ReplyCall:
			fmt.Fprintf(&s.text, "  reply call=%d outcome=%s reason=%s tokens=%d\n",
				a.ID, a.Reply.Outcome, a.Reply.Reason, a.Reply.RetryTokens)
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

// enterFromCaller delivers a caller's request and returns its dispatch.
func (s *transcript) enterFromCaller(key string) engine.AttemptID {
	s.lastCallID++
	return findOne[*engine.Dispatch](s.t, s.inject(fmt.Sprintf("call %d of a caller", s.lastCallID), &engine.CallArrived{
		ID: s.lastCallID, Origin: engine.OriginCaller,
		Request: &engine.Request{Service: "front", Method: "GET", Path: "/front", Key: key},
	})).Attempt
}

// openChild delivers a call that the upstream makes during parent.
func (s *transcript) openChild(parent engine.AttemptID) []engine.Action {
	s.lastCallID++
	return s.inject(fmt.Sprintf("call %d for attempt %d", s.lastCallID, parent), &engine.CallArrived{
		ID: s.lastCallID, Origin: engine.OriginUpstream, Parent: parent,
		Request: &engine.Request{Service: "back", Method: "GET", Path: "/back"},
	})
}

func (s *transcript) completeAttempt(id engine.AttemptID) {
	s.inject(fmt.Sprintf("attempt %d answered", id), &engine.AttemptAnswered{
		Attempt: id, Reply: engine.Reply{
			Outcome: engine.OutcomeAnswered, Response: &engine.Response{Status: 200},
			Load: wire.Load{Limit: 10, AdmissionLevel: 0xffff}, // admits every rank
		},
	})
}

func (s *transcript) failAttempt(id engine.AttemptID, cause engine.FailureCause, how string) []engine.Action {
	return s.inject(fmt.Sprintf("attempt %d %s", id, how), &engine.AttemptFailed{Attempt: id, Cause: cause})
}

// TestTargetLossAndReturn verifies that a send to a lost target is retried
// elsewhere within the retry budget, that new work goes to the other target,
// and that the target gets a small share of the work after its return.
func TestTargetLossAndReturn(t *testing.T) {
	s := &transcript{testNode: newTestNodeWithLimit(t, 10)}
	first := s.enterFromCaller("a")
	sent := findOne[*engine.SendCall](t, s.openChild(first))
	lost := wire.NodeID{Target: sent.Target, Incarnation: 7}
	s.inject("link to "+sent.Target+" down", &engine.LinkChanged{Peer: lost})
	again := findOne[*engine.SendCall](t, s.failAttempt(sent.Attempt, engine.FailureLost, "lost"))
	s.completeAttempt(again.Attempt)
	s.completeAttempt(first)
	for range 4 {
		s.now += 200 * time.Millisecond
		entered := s.enterFromCaller("")
		send := findOne[*engine.SendCall](t, s.openChild(entered))
		if send.Target == sent.Target {
			send = findOne[*engine.SendCall](t, s.failAttempt(send.Attempt, engine.FailureNotSent, "not sent"))
		}
		s.completeAttempt(send.Attempt)
		s.completeAttempt(entered)
	}
	lost.Incarnation++
	s.inject("link to "+sent.Target+" up again, a new run", &engine.LinkChanged{Peer: lost, Up: true})
	entered := s.enterFromCaller("")
	for range 6 {
		s.openChild(entered)
	}
	goldie.New(t).Assert(t, "upstream_loss", []byte(s.text.String()))
}

// TestCancelTranscript cancels a request whose upstream has open calls while
// another request is queued.
func TestCancelTranscript(t *testing.T) {
	s := &transcript{testNode: newTestNodeWithLimit(t, 1)}
	entered := s.enterFromCaller("")
	s.openChild(entered)
	s.openChild(entered)
	s.lastCallID++
	s.inject("call 4 of a caller, which waits", &engine.CallArrived{
		ID: s.lastCallID, Origin: engine.OriginCaller,
		Request: &engine.Request{Service: "front", Method: "GET", Path: "/front"},
	})
	s.now += 100 * time.Millisecond
	s.inject("caller of call 1 gone", &engine.CallerGone{ID: 1})
	s.completeAttempt(2)
	s.openChild(entered)
	s.now += 2 * time.Second
	s.inject("tick", &engine.Tick{})
	goldie.New(t).Assert(t, "cancel", []byte(s.text.String()))
}
