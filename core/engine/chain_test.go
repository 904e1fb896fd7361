package engine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shallotspool/shallotspool/core/admission"
	"github.com/shallotspool/shallotspool/core/engine"
	"github.com/shallotspool/shallotspool/core/member"
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

// bench drives one node, "front-1", by hand.
type bench struct {
	t     *testing.T
	node  *engine.Node
	now   time.Duration
	calls engine.CallID
}

func newBench(t *testing.T, limit int) *bench {
	t.Helper()
	b := &bench{t: t, now: time.Minute}
	b.node = engine.New(engine.Config{
		Self: wire.NodeID{Target: "front-1", Incarnation: 1}, Service: "front", DataCentre: "dc1", Seed: 1,
		Policy: engine.Full(), MaxCalls: 100,
		Admission: admission.Config{Initial: limit, Min: limit, Max: limit, MaxQueue: 10},
	}, b.now)
	b.step(&engine.DocumentSeen{Version: 1, Text: []byte(chainDocument)})
	b.step(&engine.MembersSeen{List: []member.Instance{
		{Target: "front-1", Service: "front", DataCentre: "dc1"},
		{Target: "back-1", Service: "back", DataCentre: "dc1"},
		{Target: "back-2", Service: "back", DataCentre: "dc1"},
	}})
	for _, target := range []string{"back-1", "back-2"} {
		b.step(&engine.LinkChanged{Peer: wire.NodeID{Target: target, Incarnation: 7}, Up: true})
	}
	t.Cleanup(func() {
		if v := b.node.Violations(); v.Count() > 0 {
			t.Errorf("violations: %+v", v.Recent())
		}
	})
	return b
}

func (b *bench) step(ev engine.Event) []engine.Action {
	return append([]engine.Action(nil), b.node.Step(b.now, ev)...)
}

// held is the number of calls that run on the node's upstream or wait for it.
func (b *bench) held() int {
	s := b.node.Status()
	return s.InFlight + s.Queued
}

func (b *bench) call(key string) (engine.CallID, []engine.Action) {
	b.calls++
	return b.calls, b.step(&engine.CallArrived{
		ID: b.calls, Origin: engine.OriginCaller,
		Request: &engine.Request{Service: "front", Method: "GET", Path: "/front", Key: key},
	})
}

func (b *bench) child(parent engine.AttemptID) (engine.CallID, []engine.Action) {
	b.calls++
	return b.calls, b.step(&engine.CallArrived{
		ID: b.calls, Origin: engine.OriginUpstream, Parent: parent,
		Request: &engine.Request{Service: "back", Method: "GET", Path: "/back"},
	})
}

// find returns the only action of type A.
func find[A engine.Action](t *testing.T, actions []engine.Action) A {
	t.Helper()
	all := every[A](actions)
	if len(all) != 1 {
		t.Fatalf("%d actions of type %T in %s", len(all), *new(A), describe(actions))
	}
	return all[0]
}

func every[A engine.Action](actions []engine.Action) []A {
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

func (b *bench) answer(id engine.AttemptID, r engine.Reply) []engine.Action {
	return b.step(&engine.AttemptAnswered{Attempt: id, Reply: r})
}

func TestParallelChildrenShareTheAllotment(t *testing.T) {
	b := newBench(t, 10)
	_, actions := b.call("")
	parent := find[*engine.Dispatch](t, actions).Attempt
	retries := 0
	for range 3 {
		_, actions := b.child(parent)
		for {
			send := every[*engine.SendCall](actions)
			if len(send) == 0 {
				break
			}
			actions = b.step(&engine.AttemptFailed{Attempt: send[0].Attempt, Cause: engine.FailureNotSent})
			retries += len(every[*engine.SendCall](actions))
		}
	}
	if retries == 0 || retries > 4 {
		t.Fatalf("%d retries of an allotment of 4", retries)
	}
}

func TestLostAnswerLosesItsTokensAndALateOneIsIgnored(t *testing.T) {
	b := newBench(t, 10)
	_, actions := b.call("k")
	id, actions := b.child(find[*engine.Dispatch](t, actions).Attempt)
	lost := find[*engine.SendCall](t, actions)
	again := find[*engine.SendCall](t, b.step(&engine.AttemptFailed{Attempt: lost.Attempt, Cause: engine.FailureLost}))
	if again.Target == lost.Target || !again.Rerun {
		t.Fatalf("after a loss on %s came %+v", lost.Target, again)
	}
	late := b.answer(lost.Attempt, engine.Reply{Outcome: engine.OutcomeAnswered, Answer: &engine.Answer{}, Tokens: 100})
	if len(late) != 0 {
		t.Fatalf("a late answer led to %s", describe(late))
	}
	end := find[*engine.ReplyCall](t, b.answer(again.Attempt, engine.Reply{Outcome: engine.OutcomeAnswered, Answer: &engine.Answer{}}))
	if end.ID != id || end.Reply.Outcome != engine.OutcomeAnswered || end.Reply.Tokens != 1 {
		t.Fatalf("reply %+v", end)
	}
}

func TestResendDrawsOnTheSameAllotment(t *testing.T) {
	b := newBench(t, 10)
	broken := engine.Reply{Outcome: engine.OutcomeUpstreamError, Answer: &engine.Answer{Status: 500}}
	_, actions := b.call("k")
	b.answer(find[*engine.Dispatch](t, actions).Attempt, broken)

	// A repeat of the whole tree takes all four tokens.
	_, actions = b.call("k")
	repeat := find[*engine.Dispatch](t, actions).Attempt
	_, actions = b.child(repeat)
	find[*engine.SendCall](t, actions)
	b.answer(repeat, broken)

	_, actions = b.call("k")
	reply := find[*engine.ReplyCall](t, actions).Reply
	if reply.Outcome != engine.OutcomeNotRun || reply.Reason != engine.ReasonBudget || reply.RetryAfter != 0 {
		t.Fatalf("third send: %+v", reply)
	}
	_, actions = b.call("another")
	find[*engine.Dispatch](t, actions)
}

func TestCancelReachesTheSubtree(t *testing.T) {
	b := newBench(t, 1)
	first, actions := b.call("")
	running := find[*engine.Dispatch](t, actions).Attempt
	waiting, _ := b.call("")
	child, actions := b.child(running)
	send := find[*engine.SendCall](t, actions)

	actions = b.step(&engine.CallerGone{ID: first})
	frame := find[*engine.SendFrame](t, actions)
	if frame.To != (wire.NodeID{Target: send.Target, Incarnation: 7}) || frame.Frame.Cancel.Send != send.Send {
		t.Fatalf("cancel frame %+v", frame)
	}
	if n := len(every[*engine.CancelAttempt](actions)); n != 2 {
		t.Fatalf("%d attempts cancelled in %s", n, describe(actions))
	}
	replies := every[*engine.ReplyCall](actions)
	if len(replies) != 2 || replies[0].ID != child || replies[1].ID != first {
		t.Fatalf("replies in %s", describe(actions))
	}
	next := find[*engine.Dispatch](t, actions)
	if held := b.held(); held != 1 {
		t.Fatalf("load after the cancel: %d", held)
	}
	if _, late := b.child(running); find[*engine.ReplyCall](t, late).Reply.Reason != engine.ReasonCancelled {
		t.Fatalf("a call for an ended dispatch: %s", describe(late))
	}
	b.answer(next.Attempt, engine.Reply{Outcome: engine.OutcomeAnswered, Answer: &engine.Answer{}})
	if held := b.held(); held != 0 || waiting == 0 {
		t.Fatalf("load at the end: %d", held)
	}
}

func TestCancelFrameFreesAQueuePlace(t *testing.T) {
	b := newBench(t, 1)
	b.call("")
	b.calls++
	send := wire.SendID{Node: wire.NodeID{Target: "back-1", Incarnation: 7}, Sequence: 3}
	b.step(&engine.CallArrived{
		ID: b.calls, Origin: engine.OriginPeer, Stage: engine.StageRun, Send: send, Wait: time.Second, Heard: wire.Stamp{Incarnation: 1},
		Request: &engine.Request{Service: "front", Method: "GET", Path: "/front"},
	})
	if held := b.held(); held != 2 {
		t.Fatalf("one runs and one waits: %d", held)
	}
	actions := b.step(&engine.FrameReceived{From: send.Node, Frame: wire.Frame{Cancel: &wire.Cancel{Send: send}}})
	if r := find[*engine.ReplyCall](t, actions).Reply; r.Outcome != engine.OutcomeNotRun || r.Reason != engine.ReasonCancelled {
		t.Fatalf("reply %+v", r)
	}
	if held := b.held(); held != 1 {
		t.Fatalf("load after the cancel: %d", held)
	}
}

func TestDeadlineShrinksOverTwelveHops(t *testing.T) {
	wait := time.Second
	for hop := range 12 {
		b := newBench(t, 10)
		b.calls++
		actions := b.step(&engine.CallArrived{
			ID: b.calls, Origin: engine.OriginPeer, Stage: engine.StageRun, Wait: wait, Depth: hop, Heard: wire.Stamp{Incarnation: 1},
			Request: &engine.Request{Service: "front", Method: "GET", Path: "/front"},
		})
		dispatch := find[*engine.Dispatch](t, actions)
		b.now += 50 * time.Millisecond
		_, actions = b.child(dispatch.Attempt)
		send := find[*engine.SendCall](t, actions)
		if send.Depth != hop+1 || send.Wait >= wait-50*time.Millisecond {
			t.Fatalf("hop %d: depth %d, %v of %v remain", hop, send.Depth, send.Wait, wait)
		}
		wait = send.Wait
	}
}
