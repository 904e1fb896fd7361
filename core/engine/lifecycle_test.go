package engine_test

import (
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/shallotspool/shallotspool/core/engine"
	"github.com/shallotspool/shallotspool/core/wire"
)

// told returns the states that the actions tell each linked node.
func told(actions []engine.Action) map[string]wire.NodeState {
	states := map[string]wire.NodeState{}
	for _, a := range actions {
		if f, ok := a.(*engine.SendFrame); ok && f.Frame.State != nil {
			states[f.To.Target] = f.Frame.State.State
		}
	}
	return states
}

// peerCall is a send of back-1 that this node's own upstream shall run; clock is
// the node's own time that back-1 last heard, in milliseconds.
func peerCall(id engine.CallID, clock uint64) *engine.CallArrived {
	return &engine.CallArrived{
		ID: id, Origin: engine.OriginPeer, Stage: engine.StageRun,
		Request: &engine.Request{Service: "front", Method: "GET", Path: "/front"}, Wait: 5 * time.Minute,
		Send:  wire.SendID{Node: wire.NodeID{Target: "back-1", Incarnation: 7}, Sequence: uint64(id)},
		Heard: wire.Stamp{Incarnation: 1, Clock: clock},
	}
}

// TestDrain: all links are told at once that the node leaves; what others send
// later is refused as not run; what is in flight completes, with the calls its
// upstream still makes; a drain that does not end shows; then the node stops.
func TestDrain(t *testing.T) {
	b := newBench(t, 10)
	b.step(&engine.DocumentSeen{Text: []byte(longWaits())})
	dispatch := find[*engine.Dispatch](t, b.step(peerCall(101, 0)))

	states := told(b.step(&engine.StopRequested{}))
	if states["back-1"] != wire.NodeLeaving || states["back-2"] != wire.NodeLeaving {
		t.Fatalf("told %v", states)
	}
	b.now += 2 * time.Second
	reply := find[*engine.ReplyCall](t, b.step(peerCall(102, 2000))).Reply
	if reply.Outcome != engine.OutcomeNotRun || reply.Reason != engine.ReasonLeaving {
		t.Fatalf("a later send got %+v", reply)
	}
	_, actions := b.child(dispatch.Attempt)
	send := find[*engine.SendCall](t, actions)
	b.step(&engine.AttemptAnswered{Attempt: send.Attempt, Reply: engine.Reply{
		Outcome: engine.OutcomeAnswered, Answer: &engine.Answer{Status: 200},
	}})
	for range 40 {
		b.now += time.Second
		if len(every[*engine.Stopped](b.step(&engine.Tick{}))) > 0 {
			t.Fatal("stopped with a call in flight")
		}
	}
	if got := b.node.Status().Charts[0].State; got != "overdue" {
		t.Fatalf("the drain that does not end shows as %s", got)
	}
	answered := find[*engine.ReplyCall](t, b.step(&engine.AttemptAnswered{Attempt: dispatch.Attempt, Reply: engine.Reply{
		Outcome: engine.OutcomeAnswered, Answer: &engine.Answer{Status: 200},
	}}))
	if answered.ID != 101 || answered.Reply.Outcome != engine.OutcomeAnswered {
		t.Fatalf("what was in flight got %+v", answered)
	}
	find[*engine.Stopped](t, b.step(&engine.Tick{}))
}

// longWaits is the second version of the chain's document, in which callers
// wait for minutes.
func longWaits() string {
	text := strings.Replace(chainDocument, "version: 1", "version: 2", 1)
	return regexp.MustCompile(`wait: \w+`).ReplaceAllString(text, "wait: 5m")
}
