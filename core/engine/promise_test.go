package engine_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/shallotspool/shallotspool/core/admission"
	"github.com/shallotspool/shallotspool/core/engine"
	"github.com/shallotspool/shallotspool/core/member"
	"github.com/shallotspool/shallotspool/core/owner"
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

// story drives the node "pay-1" by hand and writes what went in and out.
type story struct {
	t     *testing.T
	node  *engine.Node
	now   time.Duration
	calls engine.CallID
	text  strings.Builder
}

var other = wire.NodeID{Target: "pay-2", Incarnation: 7}

func newStory(t *testing.T, age time.Duration) *story {
	t.Helper()
	s := &story{t: t, now: time.Minute}
	s.node = engine.New(engine.Config{
		Self: wire.NodeID{Target: "pay-1", Incarnation: 1}, Service: "pay", DataCentre: "dc1", Seed: 1,
		Policy: engine.Full(), MaxCalls: 100,
		Admission: admission.Config{Initial: 10, Min: 10, Max: 10, MaxQueue: 10},
	}, s.now)
	s.node.Step(s.now, &engine.DocumentSeen{Text: []byte(payDocument)})
	s.node.Step(s.now, &engine.MembersSeen{List: []member.Instance{
		{Target: "pay-1", Service: "pay", DataCentre: "dc1"}, {Target: "pay-2", Service: "pay", DataCentre: "dc1"},
	}})
	s.node.Step(s.now, &engine.LinkChanged{Peer: other, Up: true})
	for s.now < time.Minute+age {
		s.now += 100 * time.Millisecond
		s.node.Step(s.now, &engine.Tick{})
	}
	s.hear()
	t.Cleanup(func() {
		if v := s.node.Violations(); v.Count() > 0 {
			t.Errorf("violations: %+v", v.Recent())
		}
	})
	return s
}

// hear lets a heartbeat of pay-2 in.
func (s *story) hear() {
	clock := uint64(s.now / time.Millisecond)
	s.node.Step(s.now, &engine.FrameReceived{From: other, Frame: wire.Frame{State: &wire.State{
		State: wire.NodeServing, Stamp: wire.Stamp{Incarnation: other.Incarnation, Clock: clock}, NextMS: 250,
	}}})
}

func (s *story) in(what string, ev engine.Event) []engine.Action {
	fmt.Fprintf(&s.text, "%v %s\n", s.now-time.Minute, what)
	actions := append([]engine.Action(nil), s.node.Step(s.now, ev)...)
	for _, action := range actions {
		switch a := action.(type) {
		case *engine.Dispatch:
			fmt.Fprintf(&s.text, "  dispatch attempt=%d\n", a.Attempt)
		case *engine.SendCall:
			fmt.Fprintf(&s.text, "  send attempt=%d to=%s stage=%d heard=%d\n", a.Attempt, a.Target, a.Stage, a.Heard.Clock)
		case *engine.ReplyCall:
			fmt.Fprintf(&s.text, "  reply call=%d outcome=%s reason=%s retry_after=%v\n",
				a.ID, a.Reply.Outcome, a.Reply.Reason, a.Reply.RetryAfter)
		case *engine.SendFrame:
			if f := a.Frame.Fence; f != nil {
				fmt.Fprintf(&s.text, "  fence to=%s send=%d\n", a.To.Target, f.Send.Sequence)
			}
			if f := a.Frame.Fenced; f != nil {
				fmt.Fprintf(&s.text, "  fenced to=%s send=%d ran=%t\n", a.To.Target, f.Send.Sequence, f.Ran)
			}
		}
	}
	return actions
}

// keyOf returns a key that the named target owns.
func keyOf(target string) string {
	for i := 0; ; i++ {
		if key := fmt.Sprint("key", i); owner.Of("pay", 2, key) == target {
			return key
		}
	}
}

func charge(key string) *engine.Request {
	return &engine.Request{Service: "pay", Method: "POST", Path: "/charge", Key: key, Body: []byte("5")}
}

// call lets a caller's request in.
func (s *story) call(key string) []engine.Action {
	s.calls++
	return s.in(fmt.Sprintf("call %d of a caller", s.calls), &engine.CallArrived{
		ID: s.calls, Origin: engine.OriginCaller, Request: charge(key),
	})
}

// sent lets a send of pay-2 in that bears the given stamp.
func (s *story) sent(stage engine.Stage, sequence uint64, heard wire.Stamp) []engine.Action {
	s.calls++
	return s.in(fmt.Sprintf("call %d is send %d of pay-2, stage %d", s.calls, sequence, stage), &engine.CallArrived{
		ID: s.calls, Origin: engine.OriginPeer, Stage: stage, Request: charge(keyOf("pay-1")),
		Wait: time.Second, Tokens: 2, Heard: heard, Send: wire.SendID{Node: other, Sequence: sequence},
	})
}

// stamp is the node's own time, ago.
func (s *story) stamp(ago time.Duration) wire.Stamp {
	return wire.Stamp{Incarnation: 1, Clock: uint64((s.now - time.Minute - ago) / time.Millisecond)}
}

func (s *story) fence(sequence uint64, heard wire.Stamp) []engine.Action {
	return s.in(fmt.Sprintf("fence for send %d of pay-2", sequence), &engine.FrameReceived{From: other, Frame: wire.Frame{
		Fence: &wire.Fence{Send: wire.SendID{Node: other, Sequence: sequence}, Heard: heard},
	}})
}

// finish lets whatever runs a call answer it.
func (s *story) finish(actions []engine.Action) {
	id := engine.AttemptID(0)
	for _, d := range every[*engine.Dispatch](actions) {
		id = d.Attempt
	}
	for _, d := range every[*engine.SendCall](actions) {
		id = d.Attempt
	}
	s.in(fmt.Sprintf("attempt %d answered", id), &engine.AttemptAnswered{Attempt: id, Reply: engine.Reply{
		Outcome: engine.OutcomeAnswered, Answer: &engine.Answer{Status: 200, Body: []byte("done")},
	}})
}

func (s *story) golden(name string) { goldie.New(s.t).Assert(s.t, name, []byte(s.text.String())) }

const old = 30 * time.Second

// TestStoryResend: a resend joins the run in progress, a later one gets the held
// answer, another request under the key is refused.
func TestStoryResend(t *testing.T) {
	s := newStory(t, old)
	key := keyOf("pay-1")
	first := s.call(key)
	s.sent(engine.StageOwn, 1, s.stamp(0))
	s.finish(first)
	s.call(key)
	s.calls++
	reused := charge(key)
	reused.Body = []byte("6")
	s.in("another request under the key", &engine.CallArrived{ID: s.calls, Origin: engine.OriginCaller, Request: reused})
	s.golden("resend")
}

// TestStoryOwnerRestart: an owner that just started refuses what it may have
// run before, but takes the keys it issued itself.
func TestStoryOwnerRestart(t *testing.T) {
	s := newStory(t, time.Second)
	s.call(keyOf("pay-1"))
	issued := s.node.IssueKey()
	s.finish(s.call(issued))
	s.call(issued)
	stranger := owner.NewIssuer("pay-1", 99).Issue(0)
	s.call(stranger)
	s.golden("owner_restart")
}

// TestStoryFence: a lost send is asked after; not run is certain, and the
// receiver keeps to it.
func TestStoryFence(t *testing.T) {
	s := newStory(t, old)
	send := find[*engine.SendCall](t, s.call(keyOf("pay-2")))
	asked := s.in("attempt lost", &engine.AttemptFailed{Attempt: send.Attempt, Cause: engine.FailureLost})
	frame := find[*engine.SendFrame](t, asked).Frame.Fence
	s.in("fenced, it has not run", &engine.FrameReceived{From: other, Frame: wire.Frame{
		Fenced: &wire.Fenced{Send: frame.Send, Ran: false},
	}})
	s.fence(5, s.stamp(0))
	s.sent(engine.StageRun, 5, s.stamp(0))
	s.sent(engine.StageRun, 6, s.stamp(0))
	s.fence(6, s.stamp(0))
	s.golden("fence")
}

// TestStoryLateWake: a node that slept takes no call that must not repeat until
// it has caught up, and no send from before.
func TestStoryLateWake(t *testing.T) {
	s := newStory(t, old)
	before := s.stamp(0)
	s.now += 10 * time.Second
	s.call(keyOf("pay-1"))
	s.sent(engine.StageOwn, 1, before)
	s.sent(engine.StageOwn, 2, s.stamp(0))
	s.golden("late_wake")
}

// The rest are faults that the soak found.

// A fence that came after the receipts were forgotten was answered with not run
// though the send had run.
func TestFenceOfAnOldSendIsNotAnsweredWithNotRun(t *testing.T) {
	s := newStory(t, old)
	actions := s.fence(3, s.stamp(owner.MaxSendAge))
	if !find[*engine.SendFrame](t, actions).Frame.Fenced.Ran {
		t.Fatal("told that an old send has not run")
	}
}

// A copy that reached a restarted node without a document was refused as not
// run though the first one ran before the restart.
func TestCopyForAnEarlierRunIsNotRefusedAsNotRun(t *testing.T) {
	node := engine.New(engine.Config{Self: wire.NodeID{Target: "pay-1", Incarnation: 2}, Service: "pay", Policy: engine.Full()}, 0)
	reply := find[*engine.ReplyCall](t, node.Step(0, &engine.CallArrived{
		ID: 1, Origin: engine.OriginPeer, Stage: engine.StageRun, Request: charge("k"), Wait: time.Second,
		Heard: wire.Stamp{Incarnation: 1, Clock: 5}, Send: wire.SendID{Node: other, Sequence: 1},
	})).Reply
	if reply.Outcome != engine.OutcomeUnknown || reply.Reason != engine.ReasonStale {
		t.Fatalf("reply %+v", reply)
	}
}

// A send without a stamp ran as a late copy after it had been refused.
func TestSendWithoutAStampIsRefusedWithANewOne(t *testing.T) {
	s := newStory(t, old)
	reply := find[*engine.ReplyCall](t, s.sent(engine.StageRun, 4, wire.Stamp{})).Reply
	if reply.Outcome != engine.OutcomeNotRun || reply.Reason != engine.ReasonStale || reply.Stamp != s.stamp(0) {
		t.Fatalf("reply %+v", reply)
	}
}

// A call that ended while its fence was open came back into the deadline heap
// with the answer, and the node expired it for ever.
func TestAnswerToAFenceOfAnEndedCallIsIgnored(t *testing.T) {
	s := newStory(t, old)
	send := find[*engine.SendCall](t, s.call(keyOf("pay-2")))
	asked := s.in("lost", &engine.AttemptFailed{Attempt: send.Attempt, Cause: engine.FailureLost})
	fence := find[*engine.SendFrame](t, asked).Frame.Fence
	s.now += 100 * time.Millisecond
	find[*engine.ReplyCall](t, s.in("tick", &engine.Tick{}))
	late := s.in("late", &engine.FrameReceived{From: other, Frame: wire.Frame{Fenced: &wire.Fenced{Send: fence.Send}}})
	if len(late) != 0 {
		t.Fatalf("a late answer led to %s", describe(late))
	}
	s.now += 5 * time.Second
	s.in("tick", &engine.Tick{})
}
