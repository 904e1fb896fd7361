package mesh

import (
	"testing"
	"time"

	"github.com/shallotspool/shallotspool/core/registry"
)

// tell has every node hear the heartbeats of the others.
func tell(now time.Duration, nodes []*Node) {
	for _, n := range nodes {
		n.Plan(now)
		for _, other := range nodes {
			if other != n {
				other.Hear(now, n.cfg.Instance, n.Heartbeat(now))
			}
		}
	}
}

// TestCrasherIsContained: a request that crashed two upstreams runs at no third,
// wherever it enters; others go on.
func TestCrasherIsContained(t *testing.T) {
	nodes := newFleet(t, testRoute("a", true), testRoute("b", true))
	bad := Work{ID: 1, Name: "r1", Print: 77, Deadline: time.Minute}
	for _, n := range nodes[:2] {
		if _, step := nodes[3].Arrive(0, Arrival{ID: "r", Host: "h", Path: "/b/1", Print: 77}); step.Kind != StepSend {
			t.Fatalf("step %+v before the second crash", step)
		}
		n.Offer(0, bad)
		n.WorkCrashed(0, bad)
		n.WorkDone(0, bad, time.Millisecond, RunFailed)
		tell(0, nodes)
	}
	for _, n := range nodes {
		if _, step := n.Arrive(time.Second, Arrival{ID: "r", Host: "h", Path: "/b/1", Print: 77}); step.Kind != StepFail || step.Reason != ReasonCrasher {
			t.Errorf("%s: %+v", n.cfg.Instance, step)
		}
		if _, step := n.Arrive(time.Second, Arrival{ID: "r", Host: "h", Path: "/b/1", Print: 78}); step.Kind != StepSend {
			t.Errorf("%s: %+v", n.cfg.Instance, step)
		}
	}
}

// TestCallsInheritTheRank: a call made for a request that the own upstream has
// takes the rank of that request; another is a request of a caller.
func TestCallsInheritTheRank(t *testing.T) {
	nodes := newFleet(t, testRoute("a", true), testRoute("b", true))
	n := nodes[0]
	root := Rank{Priority: 7, Age: time.Second, Root: 99, Rerun: true}
	w := Work{ID: 1, Name: "r1", Rank: root, Deadline: time.Minute}
	n.Offer(10*time.Second, w)
	child, _ := n.Arrive(11*time.Second, Arrival{ID: "r1.x", Parent: "r1", Host: "h", Path: "/b/1"})
	if !child.Inner || child.Rank != (Rank{Priority: 7, Age: 2 * time.Second, Root: 99, Rerun: true}) {
		t.Errorf("call %+v", child)
	}
	n.WorkDone(12*time.Second, w, time.Second, RunSucceeded)
	orphan, _ := n.Arrive(12*time.Second, Arrival{ID: "r1.y", Parent: "r1", Host: "h", Path: "/b/1"})
	if orphan.Inner || orphan.Rank.Root == 99 {
		t.Errorf("orphan %+v", orphan)
	}
}

// TestLeavingNodeGetsNoMore: neither after its own word nor after its silence.
func TestLeavingNodeGetsNoMore(t *testing.T) {
	nodes := newFleet(t, testRoute("a", true))
	tell(0, nodes)
	nodes[0].Leave()
	tell(time.Millisecond, nodes)
	sentTo := func(now time.Duration) map[string]int {
		got := map[string]int{}
		for range 20 {
			c, step := nodes[2].Arrive(now, Arrival{ID: "r", Host: "h", Path: "/a/1"})
			got[step.Target.Instance]++
			nodes[2].Abandon(now, c)
		}
		return got
	}
	if got := sentTo(2 * time.Millisecond); got["10.0.0.1"] != 0 || got["10.0.0.2"] != 20 {
		t.Fatalf("sent to %v", got)
	}
	nodes = newFleet(t, testRoute("a", true))
	tell(time.Millisecond, nodes)
	now := maxMissed*HeartbeatInterval + 2*time.Millisecond
	nodes[2].Hear(now, "10.0.0.2", nodes[1].Heartbeat(now))
	if got := sentTo(now); got["10.0.0.1"] != 0 {
		t.Fatalf("sent to %v", got)
	}
}

// TestUnregisteredNodeIsNotLeftOut: a node whose upstream is not registered any
// more, as after a cut from the store, hears the others and its demand counts.
func TestUnregisteredNodeIsNotLeftOut(t *testing.T) {
	nodes := newFleet(t, testRoute("b", true))
	lone, other := nodes[0], nodes[2]
	for _, n := range nodes {
		n.Registry().Apply(0, []registry.Change{{ID: "i-10.0.0.1", Revision: 10, Removed: true}})
		n.Registered()
	}
	now := time.Second
	for i := range 200 {
		now += 5 * time.Millisecond
		lone.Arrive(now, Arrival{ID: "r", Host: "h", Path: "/b/1"})
		if i%40 != 0 {
			continue
		}
		beat := lone.Heartbeat(now)
		other.Hear(now, lone.cfg.Instance, beat)
		other.Plan(now)
		lone.Plan(now)
	}
	told := map[string]bool{}
	other.Beats(now, func(to Beat) { told[to.Instance] = true })
	if !told[lone.cfg.Instance] {
		t.Errorf("no heartbeat to the node without upstream")
	}
	demand := other.viewDemand(now)
	if len(demand) != 1 || demand[0].offered < 50 {
		t.Errorf("demand %+v", demand)
	}
}
