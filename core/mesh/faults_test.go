package mesh

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/shallotspool/shallotspool/core/registry"
)

// TestOwnFaults: a run that failed because of one of its calls, or while one is
// open, is not held against the upstream.
func TestOwnFaults(t *testing.T) {
	for _, c := range []struct {
		name  string
		end   RunEnd
		calls func(n *Node) // what its calls did
		fault bool
	}{
		{"success", RunSucceeded, nil, false},
		{"turned away", RunTurnedAway, nil, true},
		{"failed by itself", RunFailed, nil, true},
		{"cut short", RunCutShort, nil, false},
		{"given up soon", RunExpired, nil, false},
		{"failed after a call that failed", RunFailed, func(n *Node) {
			c, _ := n.Arrive(0, Arrival{ID: "w.1", Host: "h", Path: "/b/1", Parent: "w"})
			n.Ended(0, c, Outcome{Kind: Unknown, Reason: ReasonLost, Reached: true})
		}, false},
		{"failed with a call open", RunFailed, func(n *Node) {
			n.Arrive(0, Arrival{ID: "w.1", Host: "h", Path: "/b/1", Parent: "w"})
		}, false},
		{"failed after a call that did well", RunFailed, func(n *Node) {
			c, _ := n.Arrive(0, Arrival{ID: "w.1", Host: "h", Path: "/b/1", Parent: "w"})
			n.Ended(0, c, Outcome{Kind: Answered, Status: 200, Reached: true})
		}, true},
	} {
		n := newFleet(t, testRoute("a", true), testRoute("b", false))[0]
		w := Work{ID: 1, Name: "w", Deadline: time.Hour}
		n.Offer(0, w)
		if c.calls != nil {
			c.calls(n)
		}
		n.WorkDone(0, w, time.Millisecond, c.end)
		for i := range uint64(leastRuns) {
			other := Work{ID: 10 + i, Deadline: time.Hour}
			n.Offer(0, other)
			n.WorkDone(0, other, time.Millisecond, RunSucceeded)
		}
		if got := n.Heartbeat(0).Faults > 0; got != c.fault {
			t.Errorf("%s: fault %v, want %v", c.name, got, c.fault)
		}
	}
}

// TestUsableSlots: what is let in never needs more repeats than are allowed, and
// sound upstreams count whole.
func TestUsableSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		repeats := rapid.Float64Range(0, 0.3).Draw(t, "repeats")
		var offers []offer
		sound, all := 0.0, 0.0
		for range rapid.IntRange(1, 8).Draw(t, "upstreams") {
			o := offer{slots: rapid.Float64Range(1, 100).Draw(t, "slots"), faults: rapid.SampledFrom([]float64{0, 0, 0.1, 0.4, 1}).Draw(t, "faults")}
			if o.faults == 0 {
				sound += o.slots
			}
			all += o.slots
			offers = append(offers, o)
		}
		got, most := usableSlots(offers, repeats)
		if got < sound-1e-9 || got > most+1e-9 || most > all+1e-9 {
			t.Fatalf("%v usable of %v, %v of them sound", got, all, sound)
		}
	})
	// Of two equal upstreams the second turns half away: each of its answers takes
	// one repeat, and x of them are allowed 0.2 x (10 + x).
	if got, _ := usableSlots([]offer{{10, 0.5}, {10, 0}}, 0.2); math.Abs(got-12.5) > 1e-9 {
		t.Errorf("%v usable, want 12.5", got)
	}
}

// TestDownUpstream: an upstream that takes no connections gets no work from any
// node while another has room, and counts again once it is back or replaced.
func TestDownUpstream(t *testing.T) {
	nodes := newFleet(t, testRoute("a", true), testRoute("b", true))
	beside, far := nodes[0], nodes[3]
	down := func() {
		w := Work{ID: 1, Name: "w", Deadline: time.Hour}
		beside.Offer(0, w)
		beside.WorkDone(0, w, time.Millisecond, RunUnreachable)
	}
	got := func(now time.Duration) (count int) {
		far.Hear(now, beside.cfg.Instance, beside.Heartbeat(now))
		for range 50 {
			c, step := far.Arrive(now, Arrival{ID: "r", Host: "h", Path: "/a/1"})
			if step.Target.Instance == beside.cfg.Instance {
				count++
			}
			far.Abandon(now, c)
		}
		return count
	}
	down()
	if count := got(0); !beside.UpstreamDown() || count != 0 {
		t.Errorf("down %v, %d requests sent", beside.UpstreamDown(), count)
	}
	beside.Plan(time.Minute)
	if beside.Heartbeat(0).Faults != 1 {
		t.Errorf("a down upstream became sound by waiting")
	}
	beside.UpstreamBack()
	if count := got(time.Second); beside.UpstreamDown() || count == 0 {
		t.Errorf("after its return: down %v, %d requests sent", beside.UpstreamDown(), count)
	}
	down()
	own := *beside.own()
	own.ID, own.Revision = "i-new", 20
	beside.Registry().Apply(0, []registry.Change{{ID: own.ID, Revision: 20, Upstream: &own}})
	beside.Registered()
	if beside.UpstreamDown() {
		t.Errorf("down after another upstream took its place")
	}
}
