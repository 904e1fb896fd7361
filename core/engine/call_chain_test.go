package engine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shallotspool/shallotspool/core/admission"
	"github.com/shallotspool/shallotspool/core/engine"
	"github.com/shallotspool/shallotspool/core/membership"
	"github.com/shallotspool/shallotspool/core/wire"
)

const chainDocument = `version: 1
name: chain
classes: [high, low]
resend_window: 5s
answers: {bytes: 1000000, keys: 1000}
services:
  front:
    targets: 1
    routes:
      get: {method: GET, path: /front, class: low, idempotent: true, wait: 2s, retries: 4, calls: [back.get, back.more, back.last]}
  back:
    targets: 2
    routes:
      get: {method: GET, path: /back, class: low, idempotent: true, wait: 1s, retries: 2}
      more: {method: GET, path: /more, class: low, idempotent: true, wait: 1s, retries: 2}
      last: {method: GET, path: /last, class: low, idempotent: true, wait: 1s, retries: 2}
`

// testNode is the node "front-1" with linked peers "back-1" and "back-2", to
// which the test delivers events one at a time.
type testNode struct {
	t    *testing.T
	node *engine.Node
	// now starts at one minute; transcripts show the time since then.
	now        time.Duration
	lastCallID engine.CallID
}

// newTestNodeWithLimit returns a testNode with a fixed concurrency limit. Its
// cleanup fails the test if an invariant was violated.
func newTestNodeWithLimit(t *testing.T, limit int) *testNode {
	t.Helper()
	tn := &testNode{t: t, now: time.Minute}
	tn.node = engine.New(engine.Config{
		Self: wire.NodeID{Target: "front-1", Incarnation: 1}, Service: "front", DataCentre: "dc1", Seed: 1,
		Policy: engine.FullPolicy(), MaxCalls: 100,
		Admission: admission.Config{Initial: limit, Min: limit, Max: limit, MaxQueue: 10},
	}, tn.now)
	tn.step(&engine.DocumentRead{Version: 1, Text: []byte(chainDocument)})
	tn.step(&engine.MembersRead{Instances: []membership.Instance{
		{Target: "front-1", Service: "front", DataCentre: "dc1"},
		{Target: "back-1", Service: "back", DataCentre: "dc1"},
		{Target: "back-2", Service: "back", DataCentre: "dc1"},
	}})
	for _, target := range []string{"back-1", "back-2"} {
		tn.step(&engine.LinkChanged{Peer: wire.NodeID{Target: target, Incarnation: 7}, Up: true})
	}
	t.Cleanup(func() {
		if v := tn.node.InvariantChecker(); v.Count() > 0 {
			t.Errorf("violations: %+v", v.First())
		}
	})
	return tn
}

func (tn *testNode) step(ev engine.Event) []engine.Action {
	return append([]engine.Action(nil), tn.node.Step(tn.now, ev)...)
}

// openOnUpstream returns the number of calls that run on the node's upstream or
// are queued for it.
func (tn *testNode) openOnUpstream() int {
	s := tn.node.Status()
	return s.InFlight + s.Queued
}

// callFromCaller delivers a caller's request and returns its ID and the
// actions.
func (tn *testNode) callFromCaller(key string) (engine.CallID, []engine.Action) {
	tn.lastCallID++
	return tn.lastCallID, tn.step(&engine.CallArrived{
		ID: tn.lastCallID, Origin: engine.OriginCaller,
		Request: &engine.Request{Service: "front", Method: "GET", Path: "/front", Key: key},
	})
}

// callFromUpstream delivers a call that the node's upstream makes during
// parent.
func (tn *testNode) callFromUpstream(parent engine.AttemptID) (engine.CallID, []engine.Action) {
	tn.lastCallID++
	return tn.lastCallID, tn.step(&engine.CallArrived{
		ID: tn.lastCallID, Origin: engine.OriginUpstream, Parent: parent,
		Request: &engine.Request{Service: "back", Method: "GET", Path: "/back"},
	})
}

// findOne returns the only action of type A and fails the test if there is not
// exactly one.
func findOne[A engine.Action](t *testing.T, actions []engine.Action) A {
	t.Helper()
	all := findAll[A](actions)
	if len(all) != 1 {
		t.Fatalf("%d actions of type %T, want 1, in %s", len(all), *new(A), describe(actions))
	}
	return all[0]
}

// findAll returns the actions of type A.
func findAll[A engine.Action](actions []engine.Action) []A {
	var all []A
	for _, a := range actions {
		if a, ok := a.(A); ok {
			all = append(all, a)
		}
	}
	return all
}

func describe(actions []engine.Action) string {
	text := ""
	for _, a := range actions {
		text += fmt.Sprintf("%T%+v ", a, a)
	}
	return text
}

func (tn *testNode) answer(id engine.AttemptID, r engine.Reply) []engine.Action {
	return tn.step(&engine.AttemptAnswered{Attempt: id, Reply: r})
}

// TestChildrenShareRetryBudget verifies that the calls made during one dispatch
// together retry no more often than the entry's retry budget allows.
func TestChildrenShareRetryBudget(t *testing.T) {
	tn := newTestNodeWithLimit(t, 10)
	_, actions := tn.callFromCaller("")
	parent := findOne[*engine.Dispatch](t, actions).Attempt
	retries := 0
	for range 3 {
		_, actions := tn.callFromUpstream(parent)
		for {
			send := findAll[*engine.SendCall](actions)
			if len(send) == 0 {
				break
			}
			actions = tn.step(&engine.AttemptFailed{Attempt: send[0].Attempt, Cause: engine.FailureNotSent})
			retries += len(findAll[*engine.SendCall](actions))
		}
	}
	if retries == 0 || retries > 4 {
		t.Fatalf("%d retries, want at least 1 and at most the budget of 4", retries)
	}
}

// TestLostReplyForfeitsTokensAndLateReplyIsIgnored verifies that the tokens
// lent to a lost attempt do not come back, even if its reply arrives late.
func TestLostReplyForfeitsTokensAndLateReplyIsIgnored(t *testing.T) {
	tn := newTestNodeWithLimit(t, 10)
	_, actions := tn.callFromCaller("k")
	id, actions := tn.callFromUpstream(findOne[*engine.Dispatch](t, actions).Attempt)
	lost := findOne[*engine.SendCall](t, actions)
	again := findOne[*engine.SendCall](t, tn.step(&engine.AttemptFailed{Attempt: lost.Attempt, Cause: engine.FailureLost}))
	if again.Target == lost.Target || !again.Rerun {
		t.Fatalf("retry after a loss on %s: %+v, want a rerun on the other target", lost.Target, again)
	}
	late := tn.answer(lost.Attempt, engine.Reply{Outcome: engine.OutcomeAnswered, Response: &engine.Response{}, RetryTokens: 100})
	if len(late) != 0 {
		t.Fatalf("a late reply led to %s, want no action", describe(late))
	}
	end := findOne[*engine.ReplyCall](t, tn.answer(again.Attempt, engine.Reply{Outcome: engine.OutcomeAnswered, Response: &engine.Response{}}))
	// The first of three calls got two of the four tokens and spent one.
	if end.ID != id || end.Reply.Outcome != engine.OutcomeAnswered || end.Reply.RetryTokens != 1 {
		t.Fatalf("reply %+v, want call %d answered with 1 token left", end, id)
	}
}

// TestResendSharesRetryBudget verifies that a caller's resends of one request
// share its retry budget, while a request with another key has its own.
func TestResendSharesRetryBudget(t *testing.T) {
	tn := newTestNodeWithLimit(t, 10)
	upstreamError := engine.Reply{Outcome: engine.OutcomeUpstreamError, Response: &engine.Response{Status: 500}}
	_, actions := tn.callFromCaller("k")
	tn.answer(findOne[*engine.Dispatch](t, actions).Attempt, upstreamError)

	// A retry of the whole call tree requires all four tokens; it spends one for
	// this call and one for the call that the upstream makes.
	_, actions = tn.callFromCaller("k")
	second := findOne[*engine.Dispatch](t, actions).Attempt
	_, actions = tn.callFromUpstream(second)
	findOne[*engine.SendCall](t, actions)
	tn.answer(second, upstreamError)

	_, actions = tn.callFromCaller("k")
	reply := findOne[*engine.ReplyCall](t, actions).Reply
	if reply.Outcome != engine.OutcomeNotRun || reply.Reason != engine.ReasonRetryBudget || reply.RetryAfter != 0 {
		t.Fatalf("reply to the third send: %+v, want not run because of the retry budget", reply)
	}
	_, actions = tn.callFromCaller("another")
	findOne[*engine.Dispatch](t, actions)
}

// TestCancelPropagatesToChildren verifies that cancelling a call cancels its
// children at other nodes and lets a queued call run.
func TestCancelPropagatesToChildren(t *testing.T) {
	tn := newTestNodeWithLimit(t, 1)
	first, actions := tn.callFromCaller("")
	running := findOne[*engine.Dispatch](t, actions).Attempt
	waiting, _ := tn.callFromCaller("")
	child, actions := tn.callFromUpstream(running)
	send := findOne[*engine.SendCall](t, actions)

	actions = tn.step(&engine.CallerGone{ID: first})
	frame := findOne[*engine.SendFrame](t, actions)
	if frame.To != (wire.NodeID{Target: send.Target, Incarnation: 7}) || frame.Frame.Cancel.Send != send.Send {
		t.Fatalf("cancel frame %+v, want one to %s for send %+v", frame, send.Target, send.Send)
	}
	if n := len(findAll[*engine.CancelAttempt](actions)); n != 2 {
		t.Fatalf("%d attempts cancelled, want 2, in %s", n, describe(actions))
	}
	replies := findAll[*engine.ReplyCall](actions)
	if len(replies) != 2 || replies[0].ID != child || replies[1].ID != first {
		t.Fatalf("replies in %s, want those to calls %d and %d", describe(actions), child, first)
	}
	next := findOne[*engine.Dispatch](t, actions)
	if open := tn.openOnUpstream(); open != 1 {
		t.Fatalf("%d calls open on the upstream after the cancel, want 1", open)
	}
	if _, late := tn.callFromUpstream(running); findOne[*engine.ReplyCall](t, late).Reply.Reason != engine.ReasonCancelled {
		t.Fatalf("call during an ended dispatch: %s, want it cancelled", describe(late))
	}
	tn.answer(next.Attempt, engine.Reply{Outcome: engine.OutcomeAnswered, Response: &engine.Response{}})
	if open := tn.openOnUpstream(); open != 0 || waiting == 0 {
		t.Fatalf("%d calls open on the upstream at the end, want 0", open)
	}
}

// TestCancelFrameRemovesQueuedCall verifies that a cancel frame takes a peer's
// call out of the admission queue.
func TestCancelFrameRemovesQueuedCall(t *testing.T) {
	tn := newTestNodeWithLimit(t, 1)
	tn.callFromCaller("")
	tn.lastCallID++
	send := wire.SendID{Node: wire.NodeID{Target: "back-1", Incarnation: 7}, Sequence: 3}
	tn.step(&engine.CallArrived{
		ID: tn.lastCallID, Origin: engine.OriginPeer, Stage: engine.StageRun, Send: send, Timeout: time.Second, ReceiverStamp: wire.Stamp{Incarnation: 1},
		Request: &engine.Request{Service: "front", Method: "GET", Path: "/front"},
	})
	if open := tn.openOnUpstream(); open != 2 {
		t.Fatalf("%d calls open on the upstream, want one running and one queued", open)
	}
	actions := tn.step(&engine.FrameReceived{From: send.Node, Frame: wire.Frame{Cancel: &wire.Cancel{Send: send}}})
	if r := findOne[*engine.ReplyCall](t, actions).Reply; r.Outcome != engine.OutcomeNotRun || r.Reason != engine.ReasonCancelled {
		t.Fatalf("reply %+v, want not run and cancelled", r)
	}
	if open := tn.openOnUpstream(); open != 1 {
		t.Fatalf("%d calls open on the upstream after the cancel, want 1", open)
	}
}

// TestDeadlineDecreasesAtEachHop verifies, over twelve hops, that each hop
// passes on less time than it received and increments the depth.
func TestDeadlineDecreasesAtEachHop(t *testing.T) {
	timeout := time.Second
	for hop := range 12 {
		tn := newTestNodeWithLimit(t, 10)
		tn.lastCallID++
		actions := tn.step(&engine.CallArrived{
			ID: tn.lastCallID, Origin: engine.OriginPeer, Stage: engine.StageRun, Timeout: timeout, Depth: hop, ReceiverStamp: wire.Stamp{Incarnation: 1},
			Request: &engine.Request{Service: "front", Method: "GET", Path: "/front"},
		})
		dispatch := findOne[*engine.Dispatch](t, actions)
		tn.now += 50 * time.Millisecond
		_, actions = tn.callFromUpstream(dispatch.Attempt)
		send := findOne[*engine.SendCall](t, actions)
		if send.Depth != hop+1 || send.Timeout >= timeout-50*time.Millisecond {
			t.Fatalf("hop %d: depth %d, want %d; %v of %v remain after 50ms, want less than the difference", hop, send.Depth, hop+1, send.Timeout, timeout)
		}
		timeout = send.Timeout
	}
}
