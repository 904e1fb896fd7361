package engine_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/shallotspool/shallotspool/core/admission"
	"github.com/shallotspool/shallotspool/core/engine"
	"github.com/shallotspool/shallotspool/core/idempotency"
	"github.com/shallotspool/shallotspool/core/membership"
	"github.com/shallotspool/shallotspool/core/wire"
)

const payDocument = `version: 1
name: pay
classes: [high]
resend_window: 5s
answers: {bytes: 4096, keys: 100}
services:
  pay:
    targets: 2
    routes:
      charge: {method: POST, path: /charge, class: high, idempotent: false, wait: 2s, retries: 2}
`

// ownerTranscript delivers events to the node "pay-1" and records them with the
// resulting actions.
type ownerTranscript struct {
	t    *testing.T
	node *engine.Node
	// now starts at one minute; the transcript shows the time since then.
	now        time.Duration
	lastCallID engine.CallID
	text       strings.Builder
}

var peerID = wire.NodeID{Target: "pay-2", Incarnation: 7}

// newOwnerTranscript returns a node that has been running for age and is linked
// to its peer pay-2.
func newOwnerTranscript(t *testing.T, age time.Duration) *ownerTranscript {
	t.Helper()
	s := &ownerTranscript{t: t, now: time.Minute}
	s.node = engine.New(engine.Config{
		Self: wire.NodeID{Target: "pay-1", Incarnation: 1}, Service: "pay", DataCentre: "dc1", Seed: 1,
		Policy: engine.FullPolicy(), MaxCalls: 100,
		Admission: admission.Config{Initial: 10, Min: 10, Max: 10, MaxQueue: 10},
	}, s.now)
	s.node.Step(s.now, &engine.DocumentRead{Text: []byte(payDocument)})
	s.node.Step(s.now, &engine.MembersRead{Instances: []membership.Instance{
		{Target: "pay-1", Service: "pay", DataCentre: "dc1"}, {Target: "pay-2", Service: "pay", DataCentre: "dc1"},
	}})
	s.node.Step(s.now, &engine.LinkChanged{Peer: peerID, Up: true})
	for s.now < time.Minute+age {
		s.now += 100 * time.Millisecond
		s.node.Step(s.now, &engine.Tick{})
	}
	s.receiveHeartbeat()
	t.Cleanup(func() {
		if v := s.node.InvariantChecker(); v.Count() > 0 {
			t.Errorf("violations: %+v", v.First())
		}
	})
	return s
}

// receiveHeartbeat delivers a heartbeat of pay-2.
func (s *ownerTranscript) receiveHeartbeat() {
	uptime := uint64(s.now / time.Millisecond)
	s.node.Step(s.now, &engine.FrameReceived{From: peerID, Frame: wire.Frame{Heartbeat: &wire.Heartbeat{
		State: wire.NodeServing, Stamp: wire.Stamp{Incarnation: peerID.Incarnation, UptimeMS: uptime}, NextHeartbeatMS: 250,
	}}})
}

// inject delivers an event and records it and the resulting actions.
func (s *ownerTranscript) inject(what string, ev engine.Event) []engine.Action {
	fmt.Fprintf(&s.text, "%v %s\n", s.now-time.Minute, what)
	actions := append([]engine.Action(nil), s.node.Step(s.now, ev)...)
	for _, action := range actions {
		switch a := action.(type) {
		case *engine.Dispatch:
			fmt.Fprintf(&s.text, "  dispatch attempt=%d\n", a.Attempt)
		case *engine.SendCall:
			fmt.Fprintf(&s.text, "  send attempt=%d to=%s stage=%d heard=%d\n", a.Attempt, a.Target, a.Stage, a.ReceiverStamp.UptimeMS)
		case *engine.ReplyCall:
			fmt.Fprintf(&s.text, "  reply call=%d outcome=%s reason=%s retry_after=%v\n",
				a.ID, a.Reply.Outcome, a.Reply.Reason, a.Reply.RetryAfter)
		case *engine.SendFrame:
			if f := a.Frame.Fence; f != nil {
				fmt.Fprintf(&s.text, "  fence to=%s send=%d\n", a.To.Target, f.Send.Sequence)
			}
			if f := a.Frame.FenceReply; f != nil {
				fmt.Fprintf(&s.text, "  fence reply to=%s send=%d may_have_run=%t\n", a.To.Target, f.Send.Sequence, f.MayHaveRun)
			}
		}
	}
	return actions
}

// keyOwnedBy returns a key that the named target owns.
func keyOwnedBy(target string) string {
	for i := 0; ; i++ {
		if key := fmt.Sprint("key", i); idempotency.TargetForKey("pay", 2, key) == target {
			return key
		}
	}
}

func chargeRequest(key string) *engine.Request {
	return &engine.Request{Service: "pay", Method: "POST", Path: "/charge", Key: key, Body: []byte("5")}
}

// callFromCaller delivers a caller's request.
func (s *ownerTranscript) callFromCaller(key string) []engine.Action {
	s.lastCallID++
	return s.inject(fmt.Sprintf("call %d of a caller", s.lastCallID), &engine.CallArrived{
		ID: s.lastCallID, Origin: engine.OriginCaller, Request: chargeRequest(key),
	})
}

// callFromPeer delivers a send of pay-2 that carries the given stamp of pay-1.
func (s *ownerTranscript) callFromPeer(stage engine.Stage, sequence uint64, receiverStamp wire.Stamp) []engine.Action {
	s.lastCallID++
	return s.inject(fmt.Sprintf("call %d is send %d of pay-2, stage %d", s.lastCallID, sequence, stage), &engine.CallArrived{
		ID: s.lastCallID, Origin: engine.OriginPeer, Stage: stage, Request: chargeRequest(keyOwnedBy("pay-1")),
		Timeout: time.Second, RetryTokens: 2, ReceiverStamp: receiverStamp, Send: wire.SendID{Node: peerID, Sequence: sequence},
	})
}

// ownStamp returns a stamp that the node itself issued the given time ago.
func (s *ownerTranscript) ownStamp(age time.Duration) wire.Stamp {
	return wire.Stamp{Incarnation: 1, UptimeMS: uint64((s.now - time.Minute - age) / time.Millisecond)}
}

// receiveFence delivers a fence of pay-2 for one of its sends.
func (s *ownerTranscript) receiveFence(sequence uint64, receiverStamp wire.Stamp) []engine.Action {
	return s.inject(fmt.Sprintf("fence for send %d of pay-2", sequence), &engine.FrameReceived{From: peerID, Frame: wire.Frame{
		Fence: &wire.Fence{Send: wire.SendID{Node: peerID, Sequence: sequence}, ReceiverStamp: receiverStamp},
	}})
}

// completeAttempt answers the attempt that is among the actions.
func (s *ownerTranscript) completeAttempt(actions []engine.Action) {
	id := engine.AttemptID(0)
	for _, d := range findAll[*engine.Dispatch](actions) {
		id = d.Attempt
	}
	for _, d := range findAll[*engine.SendCall](actions) {
		id = d.Attempt
	}
	s.inject(fmt.Sprintf("attempt %d answered", id), &engine.AttemptAnswered{Attempt: id, Reply: engine.Reply{
		Outcome: engine.OutcomeAnswered, Response: &engine.Response{Status: 200, Body: []byte("done")},
	}})
}

func (s *ownerTranscript) assertGolden(name string) {
	goldie.New(s.t).Assert(s.t, name, []byte(s.text.String()))
}

// settledAge is an age at which a node accepts unknown keys, because the resend
// window since its start has passed.
const settledAge = 30 * time.Second

// TestResendJoinsRunOrGetsStoredReply verifies that a resend joins the run in
// progress, that a later one gets the stored reply, and that a different
// request with the same key is refused.
func TestResendJoinsRunOrGetsStoredReply(t *testing.T) {
	s := newOwnerTranscript(t, settledAge)
	key := keyOwnedBy("pay-1")
	first := s.callFromCaller(key)
	s.callFromPeer(engine.StageOwner, 1, s.ownStamp(0))
	s.completeAttempt(first)
	s.callFromCaller(key)
	s.lastCallID++
	reused := chargeRequest(key)
	reused.Body = []byte("6")
	s.inject("another request under the key", &engine.CallArrived{ID: s.lastCallID, Origin: engine.OriginCaller, Request: reused})
	s.assertGolden("resend")
}

// TestRestartedOwnerRefusesUnknownKeys verifies that an owner that has just
// started refuses keys that an earlier run of it may have accepted or issued,
// but accepts the keys that it has issued itself since.
func TestRestartedOwnerRefusesUnknownKeys(t *testing.T) {
	s := newOwnerTranscript(t, time.Second) // less than the resend window
	s.callFromCaller(keyOwnedBy("pay-1"))
	issued := s.node.IssueKey()
	s.completeAttempt(s.callFromCaller(issued))
	s.callFromCaller(issued)
	fromOtherRun := idempotency.NewIssuer("pay-1", 99).Issue(0)
	s.callFromCaller(fromOtherRun)
	s.assertGolden("owner_restart")
}

// TestFenceOfLostSend verifies that a lost send is fenced, that it is repeated
// once the receiver says that it has not run, and that a receiver refuses a
// fenced send that arrives later.
func TestFenceOfLostSend(t *testing.T) {
	s := newOwnerTranscript(t, settledAge)
	send := findOne[*engine.SendCall](t, s.callFromCaller(keyOwnedBy("pay-2")))
	actions := s.inject("attempt lost", &engine.AttemptFailed{Attempt: send.Attempt, Cause: engine.FailureLost})
	fence := findOne[*engine.SendFrame](t, actions).Frame.Fence
	s.inject("fenced, it has not run", &engine.FrameReceived{From: peerID, Frame: wire.Frame{
		FenceReply: &wire.FenceReply{Send: fence.Send, MayHaveRun: false},
	}})
	s.receiveFence(5, s.ownStamp(0))
	s.callFromPeer(engine.StageRun, 5, s.ownStamp(0))
	s.callFromPeer(engine.StageRun, 6, s.ownStamp(0))
	s.receiveFence(6, s.ownStamp(0))
	s.assertGolden("fence")
}

// TestPausedNodeRefusesUntilCaughtUp verifies that a paused node refuses
// non-idempotent calls of callers until it has caught up, and refuses sends
// from before the pause.
func TestPausedNodeRefusesUntilCaughtUp(t *testing.T) {
	s := newOwnerTranscript(t, settledAge)
	before := s.ownStamp(0)
	s.now += 10 * time.Second // a pause, longer than idempotency.MaxSendAge
	s.callFromCaller(keyOwnedBy("pay-1"))
	s.callFromPeer(engine.StageOwner, 1, before)
	s.callFromPeer(engine.StageOwner, 2, s.ownStamp(0))
	s.assertGolden("late_wake")
}

// The remaining tests cover faults that the soak test found.

// TestFenceOfOldSendReportsPossiblyRun guards against answering a fence with
// "not run" after the record of the send has expired, although the send may
// have run.
func TestFenceOfOldSendReportsPossiblyRun(t *testing.T) {
	s := newOwnerTranscript(t, settledAge)
	actions := s.receiveFence(3, s.ownStamp(idempotency.MaxSendAge))
	if !findOne[*engine.SendFrame](t, actions).Frame.FenceReply.MayHaveRun {
		t.Fatal("an old send was reported as not run")
	}
}

// TestCopyOfSendToEarlierRunHasUnknownOutcome guards against refusing a copy of
// a send as not run although the first copy ran before the receiver restarted.
// It occurred while the restarted node had no document.
func TestCopyOfSendToEarlierRunHasUnknownOutcome(t *testing.T) {
	node := engine.New(engine.Config{Self: wire.NodeID{Target: "pay-1", Incarnation: 2}, Service: "pay", Policy: engine.FullPolicy()}, 0)
	reply := findOne[*engine.ReplyCall](t, node.Step(0, &engine.CallArrived{
		ID: 1, Origin: engine.OriginPeer, Stage: engine.StageRun, Request: chargeRequest("k"), Timeout: time.Second,
		ReceiverStamp: wire.Stamp{Incarnation: 1, UptimeMS: 5}, Send: wire.SendID{Node: peerID, Sequence: 1},
	})).Reply
	if reply.Outcome != engine.OutcomeUnknown || reply.Reason != engine.ReasonStaleStamp {
		t.Fatalf("reply %+v, want an unknown outcome because of the stale stamp", reply)
	}
}

// TestSendWithoutStampIsRefusedWithNewStamp guards against a send without a
// stamp of which one copy is refused as not run and a later copy runs.
func TestSendWithoutStampIsRefusedWithNewStamp(t *testing.T) {
	s := newOwnerTranscript(t, settledAge)
	reply := findOne[*engine.ReplyCall](t, s.callFromPeer(engine.StageRun, 4, wire.Stamp{})).Reply
	if reply.Outcome != engine.OutcomeNotRun || reply.Reason != engine.ReasonStaleStamp || reply.Stamp != s.ownStamp(0) {
		t.Fatalf("reply %+v, want not run because of the stale stamp, with stamp %+v", reply, s.ownStamp(0))
	}
}

// TestFenceAnswerAfterEndOfCallIsIgnored guards against a late answer to a
// fence that puts a call that has ended back into the deadline heap; the node
// then expired the call over and over.
func TestFenceAnswerAfterEndOfCallIsIgnored(t *testing.T) {
	s := newOwnerTranscript(t, settledAge)
	send := findOne[*engine.SendCall](t, s.callFromCaller(keyOwnedBy("pay-2")))
	actions := s.inject("lost", &engine.AttemptFailed{Attempt: send.Attempt, Cause: engine.FailureLost})
	fence := findOne[*engine.SendFrame](t, actions).Frame.Fence
	s.now += 100 * time.Millisecond // the fence times out
	findOne[*engine.ReplyCall](t, s.inject("tick", &engine.Tick{}))
	late := s.inject("late", &engine.FrameReceived{From: peerID, Frame: wire.Frame{FenceReply: &wire.FenceReply{Send: fence.Send}}})
	if len(late) != 0 {
		t.Fatalf("a late answer to the fence led to %s, want no action", describe(late))
	}
	s.now += 5 * time.Second // beyond the deadline of the call
	s.inject("tick", &engine.Tick{})
}
