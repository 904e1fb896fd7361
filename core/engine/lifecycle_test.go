package engine_test

import (
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/shallotspool/shallotspool/core/engine"
	"github.com/shallotspool/shallotspool/core/wire"
)

// sentStates returns the state that the actions send to each linked node.
func sentStates(actions []engine.Action) map[string]wire.NodeState {
	states := map[string]wire.NodeState{}
	for _, a := range actions {
		if f, ok := a.(*engine.SendFrame); ok && f.Frame.Heartbeat != nil {
			states[f.To.Target] = f.Frame.Heartbeat.State
		}
	}
	return states
}

// callFromPeer returns a call that back-1 sends to front-1, to be run by the
// upstream of front-1. uptimeMS is the uptime of front-1 in the receiver stamp,
// in milliseconds.
func callFromPeer(id engine.CallID, uptimeMS uint64) *engine.CallArrived {
	return &engine.CallArrived{
		ID: id, Origin: engine.OriginPeer, Stage: engine.StageRun,
		Request: &engine.Request{Service: "front", Method: "GET", Path: "/front"}, Timeout: 5 * time.Minute,
		Send:          wire.SendID{Node: wire.NodeID{Target: "back-1", Incarnation: 7}, Sequence: uint64(id)},
		ReceiverStamp: wire.Stamp{Incarnation: 1, UptimeMS: uptimeMS},
	}
}

// TestDrain verifies a graceful shutdown. All linked nodes are told at once
// that the node is leaving, and later sends are refused as not run. Open calls
// complete, including the calls that the upstream makes for them. An overdue
// drain shows in the status, and the node stops once nothing is open.
func TestDrain(t *testing.T) {
	tn := newTestNodeWithLimit(t, 10)
	tn.step(&engine.DocumentRead{Text: []byte(longTimeoutDocument())})
	dispatch := findOne[*engine.Dispatch](t, tn.step(callFromPeer(101, 0)))

	states := sentStates(tn.step(&engine.StopRequested{}))
	if states["back-1"] != wire.NodeLeaving || states["back-2"] != wire.NodeLeaving {
		t.Fatalf("states sent to peers: %v, want leaving for back-1 and back-2", states)
	}
	tn.now += 2 * time.Second // longer than a leaving node accepts sends
	reply := findOne[*engine.ReplyCall](t, tn.step(callFromPeer(102, 2000))).Reply
	if reply.Outcome != engine.OutcomeNotRun || reply.Reason != engine.ReasonLeaving {
		t.Fatalf("reply to a later send: %+v, want not run because the node is leaving", reply)
	}
	_, actions := tn.callFromUpstream(dispatch.Attempt)
	send := findOne[*engine.SendCall](t, actions)
	tn.step(&engine.AttemptAnswered{Attempt: send.Attempt, Reply: engine.Reply{
		Outcome: engine.OutcomeAnswered, Response: &engine.Response{Status: 200},
	}})
	for range 40 { // seconds; the drain is overdue after 30
		tn.now += time.Second
		if len(findAll[*engine.Stopped](tn.step(&engine.Tick{}))) > 0 {
			t.Fatal("stopped with a call in flight")
		}
	}
	// The first chart is the node's.
	if got := tn.node.Status().Charts[0].State; got != "overdue" {
		t.Fatalf("state of an overdue drain: %s, want overdue", got)
	}
	answered := findOne[*engine.ReplyCall](t, tn.step(&engine.AttemptAnswered{Attempt: dispatch.Attempt, Reply: engine.Reply{
		Outcome: engine.OutcomeAnswered, Response: &engine.Response{Status: 200},
	}}))
	if answered.ID != 101 || answered.Reply.Outcome != engine.OutcomeAnswered {
		t.Fatalf("reply to the open call: %+v, want call 101 answered", answered)
	}
	findOne[*engine.Stopped](t, tn.step(&engine.Tick{}))
}

// longTimeoutDocument returns version 2 of chainDocument with timeouts of five
// minutes.
func longTimeoutDocument() string {
	text := strings.Replace(chainDocument, "version: 1", "version: 2", 1)
	return regexp.MustCompile(`wait: \w+`).ReplaceAllString(text, "wait: 5m")
}
