package mesh

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/shallotspool/shallotspool/core/registry"
)

// TestOwnFaults checks that a run counts as a fault of the upstream only if none of
// its calls failed or is still open.
func TestOwnFaults(t *testing.T) {
	for _, c := range []struct {
		name   string
		result RunResult
		calls  func(n *Node) // makes the calls of the run
		fault  bool          // whether the run counts as a fault of the upstream
	}{
		{"success", RunSucceeded, nil, false},
		{"refused by the upstream", RunShed, nil, true},
		{"failed without calls", RunFailed, nil, true},
		{"inconclusive result", RunInconclusive, nil, false},
		{"timed out early", RunTimedOut, nil, false},
		{"failed after a failed call", RunFailed, func(n *Node) {
			c, _ := n.StartCall(0, IncomingRequest{ID: "w.1", Host: "h", Path: "/b/1", Parent: "w"})
			n.EndAttempt(0, c, Outcome{Kind: OutcomeUnknown, Reason: ReasonLost, ReachedUpstream: true})
		}, false},
		{"failed with an open call", RunFailed, func(n *Node) {
			n.StartCall(0, IncomingRequest{ID: "w.1", Host: "h", Path: "/b/1", Parent: "w"})
		}, false},
		{"failed after a successful call", RunFailed, func(n *Node) {
			c, _ := n.StartCall(0, IncomingRequest{ID: "w.1", Host: "h", Path: "/b/1", Parent: "w"})
			n.EndAttempt(0, c, Outcome{Kind: OutcomeAnswered, Status: 200, ReachedUpstream: true})
		}, true},
	} {
		n := newFleet(t, testRoute("a", true), testRoute("b", false))[0]
		w := Work{ID: 1, RequestID: "w", Deadline: time.Hour}
		n.OfferWork(0, w)
		if c.calls != nil {
			c.calls(n)
		}
		n.WorkDone(0, w, time.Millisecond, c.result)
		for i := range uint64(minRuns) {
			other := Work{ID: 10 + i, Deadline: time.Hour}
			n.OfferWork(0, other)
			n.WorkDone(0, other, time.Millisecond, RunSucceeded)
		}
		if got := n.Heartbeat(0).FaultShare > 0; got != c.fault {
			t.Errorf("%s: fault %v, want %v", c.name, got, c.fault)
		}
	}
}

// TestUsableSlots checks that the slots of upstreams without faults are reliable, that
// reliable slots never exceed best-effort ones, and these never all slots.
func TestUsableSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		retries := rapid.Float64Range(0, 0.3).Draw(t, "retries")
		var upstreams []upstreamCapacity
		faultless, total := 0.0, 0.0
		for range rapid.IntRange(1, 8).Draw(t, "upstreams") {
			u := upstreamCapacity{slots: rapid.Float64Range(1, 100).Draw(t, "slots"), faultShare: rapid.SampledFrom([]float64{0, 0, 0.1, 0.4, 1}).Draw(t, "fault share")}
			if u.faultShare == 0 {
				faultless += u.slots
			}
			total += u.slots
			upstreams = append(upstreams, u)
		}
		reliable, bestEffort := usableSlots(upstreams, retries)
		if reliable < faultless-1e-9 || reliable > bestEffort+1e-9 || bestEffort > total+1e-9 {
			t.Fatalf("%v reliable and %v best-effort slots of %v, %v of them without faults", reliable, bestEffort, total, faultless)
		}
	})
	// The first upstream refuses half of its calls, so each of its successes takes one
	// retry. x successes there are allowed if x = 0.2 * (10 + x).
	if reliable, _ := usableSlots([]upstreamCapacity{{10, 0.5}, {10, 0}}, 0.2); math.Abs(reliable-12.5) > 1e-9 {
		t.Errorf("%v reliable slots, want 12.5", reliable)
	}
}

// TestDownUpstreamGetsNoWork checks that an upstream that accepts no connections gets
// no work from any node while another has room, and gets work again once it recovers
// or is replaced.
func TestDownUpstreamGetsNoWork(t *testing.T) {
	nodes := newFleet(t, testRoute("a", true), testRoute("b", true))
	local, remote := nodes[0], nodes[3]
	takeDown := func() {
		w := Work{ID: 1, RequestID: "w", Deadline: time.Hour}
		local.OfferWork(0, w)
		local.WorkDone(0, w, time.Millisecond, RunUnreachable)
	}
	countSent := func(now time.Duration) (count int) {
		remote.ReceiveHeartbeat(now, local.cfg.Instance, local.Heartbeat(now))
		for range 50 {
			c, step := remote.StartCall(now, IncomingRequest{ID: "r", Host: "h", Path: "/a/1"})
			if step.Target.Instance == local.cfg.Instance {
				count++
			}
			remote.AbandonCall(now, c)
		}
		return count
	}
	takeDown()
	if count := countSent(0); !local.UpstreamDown() || count != 0 {
		t.Errorf("down %v, %d requests sent, want true and none", local.UpstreamDown(), count)
	}
	local.UpdatePlan(time.Minute)
	if got := local.Heartbeat(0).FaultShare; got != 1 {
		t.Errorf("fault share %v of a down upstream, want 1", got)
	}
	local.UpstreamRecovered()
	if count := countSent(time.Second); local.UpstreamDown() || count == 0 {
		t.Errorf("after recovery: down %v, %d requests sent, want false and some", local.UpstreamDown(), count)
	}
	takeDown()
	ownRegistration := *local.ownRegistration()
	ownRegistration.ID, ownRegistration.Revision = "i-new", 20
	local.Registry().Apply(0, []registry.Change{{ID: ownRegistration.ID, Revision: 20, Upstream: &ownRegistration}})
	local.RegistryChanged()
	if local.UpstreamDown() {
		t.Errorf("down after replacement by another upstream")
	}
}
