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
	t          *testing.T
	node       *engine.Node
	now        time.Duration
	lastCallID engine.CallID
}

// newTestNode returns a testNode with a fixed concurrency limit. Its cleanup
// fails the test if an invariant was violated.
func newTestNode(t *testing.T, limit int) *testNode {
	t.Helper()
	b := &testNode{t: t, now: time.Minute}
	b.node = engine.New(engine.Config{
		Self: wire.NodeID{Target: "front-1", Incarnation: 1}, Service: "front", DataCentre: "dc1", Seed: 1,
		Policy: engine.FullPolicy(), MaxCalls: 100,
		Admission: admission.Config{Initial: limit, Min: limit, Max: limit, MaxQueue: 10},
	}, b.now)
	b.step(&engine.DocumentRead{Version: 1, Text: []byte(chainDocument)})
	b.step(&engine.MembersRead{Instances: []membership.Instance{
		{Target: "front-1", Service: "front", DataCentre: "dc1"},
		{Target: "back-1", Service: "back", DataCentre: "dc1"},
		{Target: "back-2", Service: "back", DataCentre: "dc1"},
	}})
	for _, target := range []string{"back-1", "back-2"} {
		b.step(&engine.LinkChanged{Peer: wire.NodeID{Target: target, Incarnation: 7}, Up: true})
	}
	t.Cleanup(func() {
		if v := b.node.Violations(); v.Count() > 0 {
			t.Errorf("violations: %+v", v.First())
		}
	})
	return b
}

func (b *testNode) step(ev engine.Event) []engine.Action {
	return append([]engine.Action(nil), b.node.Step(b.now, ev)...)
}

// openOnUpstream returns the number of calls that run on the node's upstream or
// are queued for it.
func (b *testNode) openOnUpstream() int {
	s := b.node.Status()
	return s.InFlight + s.Queued
}

// callFromCaller delivers a caller's request and returns its ID and the
// actions.
func (b *testNode) callFromCaller(key string) (engine.CallID, []engine.Action) {
	b.lastCallID++
	return b.lastCallID, b.step(&engine.CallArrived{
		ID: b.lastCallID, Origin: engine.OriginCaller,
		Request: &engine.Request{Service: "front", Method: "GET", Path: "/front", Key: key},
	})
}

// callFromUpstream delivers a call that the node's upstream makes during
// parent.
func (b *testNode) callFromUpstream(parent engine.AttemptID) (engine.CallID, []engine.Action) {
	b.lastCallID++
	return b.lastCallID, b.step(&engine.CallArrived{
		ID: b.lastCallID, Origin: engine.OriginUpstream, Parent: parent,
		Request: &engine.Request{Service: "back", Method: "GET", Path: "/back"},
	})
}

// findOne returns the only action of type A and fails the test if there is not
// exactly one.
func findOne[A engine.Action](t *testing.T, actions []engine.Action) A {
	t.Helper()
	all := findAll[A](actions)
	if len(all) != 1 {
		t.Fatalf("%d actions of type %T in %s", len(all), *new(A), describe(actions))
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

func (b *testNode) answer(id engine.AttemptID, r engine.Reply) []engine.Action {
	return b.step(&engine.AttemptAnswered{Attempt: id, Reply: r})
}

// TestChildrenShareRetryBudget verifies that the calls made during one dispatch
// together retry no more often than the entry's retry budget allows.
func TestChildrenShareRetryBudget(t *testing.T) {
	b := newTestNode(t, 10)
	_, actions := b.callFromCaller("")
	parent := findOne[*engine.Dispatch](t, actions).Attempt
	retries := 0
	for range 3 {
		_, actions := b.callFromUpstream(parent)
		for {
			send := findAll[*engine.SendCall](actions)
			if len(send) == 0 {
				break
			}
			actions = b.step(&engine.AttemptFailed{Attempt: send[0].Attempt, Cause: engine.FailureNotSent})
			retries += len(findAll[*engine.SendCall](actions))
		}
	}
	if retries == 0 || retries > 4 {
		t.Fatalf("%d retries with a budget of 4", retries)
	}
}

// TestLostReplyForfeitsTokensAndLateReplyIsIgnored verifies that the tokens of
// a lost attempt do not come back, even if its reply arrives late.
func TestLostReplyForfeitsTokensAndLateReplyIsIgnored(t *testing.T) {
	b := newTestNode(t, 10)
	_, actions := b.callFromCaller("k")
	id, actions := b.callFromUpstream(findOne[*engine.Dispatch](t, actions).Attempt)
	lost := findOne[*engine.SendCall](t, actions)
	again := findOne[*engine.SendCall](t, b.step(&engine.AttemptFailed{Attempt: lost.Attempt, Cause: engine.FailureLost}))
	if again.Target == lost.Target || !again.Rerun {
		t.Fatalf("retry after a loss on %s: %+v", lost.Target, again)
	}
	late := b.answer(lost.Attempt, engine.Reply{Outcome: engine.OutcomeAnswered, Response: &engine.Response{}, RetryTokens: 100})
	if len(late) != 0 {
		t.Fatalf("a late reply led to %s", describe(late))
	}
	end := findOne[*engine.ReplyCall](t, b.answer(again.Attempt, engine.Reply{Outcome: engine.OutcomeAnswered, Response: &engine.Response{}}))
	if end.ID != id || end.Reply.Outcome != engine.OutcomeAnswered || end.Reply.RetryTokens != 1 {
		t.Fatalf("reply %+v", end)
	}
}

// TestResendSharesRetryBudget verifies that a caller's resends of one request
// share its retry budget, while a request with another key has its own.
func TestResendSharesRetryBudget(t *testing.T) {
	b := newTestNode(t, 10)
	broken := engine.Reply{Outcome: engine.OutcomeUpstreamError, Response: &engine.Response{Status: 500}}
	_, actions := b.callFromCaller("k")
	b.answer(findOne[*engine.Dispatch](t, actions).Attempt, broken)

	// The retry of the whole call tree takes all four tokens.
	_, actions = b.callFromCaller("k")
	repeat := findOne[*engine.Dispatch](t, actions).Attempt
	_, actions = b.callFromUpstream(repeat)
	findOne[*engine.SendCall](t, actions)
	b.answer(repeat, broken)

	_, actions = b.callFromCaller("k")
	reply := findOne[*engine.ReplyCall](t, actions).Reply
	if reply.Outcome != engine.OutcomeNotRun || reply.Reason != engine.ReasonRetryBudget || reply.RetryAfter != 0 {
		t.Fatalf("third send: %+v", reply)
	}
	_, actions = b.callFromCaller("another")
	findOne[*engine.Dispatch](t, actions)
}

// TestCancelPropagatesToChildren verifies that cancelling a call cancels its
// children at other nodes and lets a queued call run.
func TestCancelPropagatesToChildren(t *testing.T) {
	b := newTestNode(t, 1)
	first, actions := b.callFromCaller("")
	running := findOne[*engine.Dispatch](t, actions).Attempt
	waiting, _ := b.callFromCaller("")
	child, actions := b.callFromUpstream(running)
	send := findOne[*engine.SendCall](t, actions)

	actions = b.step(&engine.CallerGone{ID: first})
	frame := findOne[*engine.SendFrame](t, actions)
	if frame.To != (wire.NodeID{Target: send.Target, Incarnation: 7}) || frame.Frame.Cancel.Send != send.Send {
		t.Fatalf("cancel frame %+v", frame)
	}
	if n := len(findAll[*engine.CancelAttempt](actions)); n != 2 {
		t.Fatalf("%d attempts cancelled in %s", n, describe(actions))
	}
	replies := findAll[*engine.ReplyCall](actions)
	if len(replies) != 2 || replies[0].ID != child || replies[1].ID != first {
		t.Fatalf("replies in %s", describe(actions))
	}
	next := findOne[*engine.Dispatch](t, actions)
	if openOnUpstream := b.openOnUpstream(); openOnUpstream != 1 {
		t.Fatalf("%d calls open on the upstream after the cancel", openOnUpstream)
	}
	if _, late := b.callFromUpstream(running); findOne[*engine.ReplyCall](t, late).Reply.Reason != engine.ReasonCancelled {
		t.Fatalf("call during an ended dispatch: %s", describe(late))
	}
	b.answer(next.Attempt, engine.Reply{Outcome: engine.OutcomeAnswered, Response: &engine.Response{}})
	if openOnUpstream := b.openOnUpstream(); openOnUpstream != 0 || waiting == 0 {
		t.Fatalf("%d calls open on the upstream at the end", openOnUpstream)
	}
}

// TestCancelFrameRemovesQueuedCall verifies that a cancel frame takes a peer's
// call out of the admission queue.
func TestCancelFrameRemovesQueuedCall(t *testing.T) {
	b := newTestNode(t, 1)
	b.callFromCaller("")
	b.lastCallID++
	send := wire.SendID{Node: wire.NodeID{Target: "back-1", Incarnation: 7}, Sequence: 3}
	b.step(&engine.CallArrived{
		ID: b.lastCallID, Origin: engine.OriginPeer, Stage: engine.StageRun, Send: send, Timeout: time.Second, ReceiverStamp: wire.Stamp{Incarnation: 1},
		Request: &engine.Request{Service: "front", Method: "GET", Path: "/front"},
	})
	if openOnUpstream := b.openOnUpstream(); openOnUpstream != 2 {
		t.Fatalf("%d calls open on the upstream, want one running and one queued", openOnUpstream)
	}
	actions := b.step(&engine.FrameReceived{From: send.Node, Frame: wire.Frame{Cancel: &wire.Cancel{Send: send}}})
	if r := findOne[*engine.ReplyCall](t, actions).Reply; r.Outcome != engine.OutcomeNotRun || r.Reason != engine.ReasonCancelled {
		t.Fatalf("reply %+v", r)
	}
	if openOnUpstream := b.openOnUpstream(); openOnUpstream != 1 {
		t.Fatalf("%d calls open on the upstream after the cancel", openOnUpstream)
	}
}

// TestDeadlineDecreasesAtEachHop verifies, over twelve hops, that each hop
// passes on less time than it received and increments the depth.
func TestDeadlineDecreasesAtEachHop(t *testing.T) {
	wait := time.Second
	for hop := range 12 {
		b := newTestNode(t, 10)
		b.lastCallID++
		actions := b.step(&engine.CallArrived{
			ID: b.lastCallID, Origin: engine.OriginPeer, Stage: engine.StageRun, Timeout: wait, Depth: hop, ReceiverStamp: wire.Stamp{Incarnation: 1},
			Request: &engine.Request{Service: "front", Method: "GET", Path: "/front"},
		})
		dispatch := findOne[*engine.Dispatch](t, actions)
		b.now += 50 * time.Millisecond
		_, actions = b.callFromUpstream(dispatch.Attempt)
		send := findOne[*engine.SendCall](t, actions)
		if send.Depth != hop+1 || send.Timeout >= wait-50*time.Millisecond {
			t.Fatalf("hop %d: depth %d, %v of %v remain", hop, send.Depth, send.Timeout, wait)
		}
		wait = send.Timeout
	}
}
