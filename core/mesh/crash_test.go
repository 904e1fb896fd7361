package mesh

import (
	"testing"
	"time"

	"github.com/shallotspool/shallotspool/core/registry"
)

// exchangeHeartbeats updates the plan of every node and delivers its heartbeat to all
// others.
func exchangeHeartbeats(now time.Duration, nodes []*Node) {
	for _, n := range nodes {
		n.UpdatePlan(now)
		for _, other := range nodes {
			if other != n {
				other.ReceiveHeartbeat(now, n.cfg.Instance, n.Heartbeat(now))
			}
		}
	}
}

// TestCrashingRequestStopsAfterTwoUpstreams checks that a request that crashed two
// upstreams does not run at a third, at whichever node it enters, and that other
// requests still run.
func TestCrashingRequestStopsAfterTwoUpstreams(t *testing.T) {
	nodes := newFleet(t, testRoute("a", true), testRoute("b", true))
	crashing := Work{ID: 1, RequestID: "r1", Fingerprint: 77, Deadline: time.Minute}
	for _, n := range nodes[:2] {
		if _, step := nodes[3].StartCall(0, IncomingRequest{ID: "r", Host: "h", Path: "/b/1", Fingerprint: 77}); step.Kind != StepSend {
			t.Fatalf("step %+v before the second crash, want StepSend", step)
		}
		n.OfferWork(0, crashing)
		n.RecordCrash(0, crashing)
		n.WorkDone(0, crashing, time.Millisecond, RunFailed)
		exchangeHeartbeats(0, nodes)
	}
	for _, n := range nodes {
		if _, step := n.StartCall(time.Second, IncomingRequest{ID: "r", Host: "h", Path: "/b/1", Fingerprint: 77}); step.Kind != StepRefuse || step.Reason != ReasonCrasher || step.RetryAfter <= 0 {
			t.Errorf("%s: step %+v for the crashing request, want StepRefuse with ReasonCrasher and a time to come back", n.cfg.Instance, step)
		}
		if _, step := n.StartCall(time.Second, IncomingRequest{ID: "r", Host: "h", Path: "/b/1", Fingerprint: 78}); step.Kind != StepSend {
			t.Errorf("%s: step %+v for another request, want StepSend", n.cfg.Instance, step)
		}
	}
}

// TestCallsInheritRank checks that a call made for a request at the local upstream
// takes its rank, and that any other call counts as a request of a caller.
func TestCallsInheritRank(t *testing.T) {
	nodes := newFleet(t, testRoute("a", true), testRoute("b", true))
	n := nodes[0]
	root := Rank{Priority: 7, Age: time.Second, Root: 99, IsRetry: true}
	w := Work{ID: 1, RequestID: "r1", Rank: root, Deadline: time.Minute}
	n.OfferWork(10*time.Second, w)
	child, _ := n.StartCall(11*time.Second, IncomingRequest{ID: "r1.x", Parent: "r1", Host: "h", Path: "/b/1"})
	if !child.FromUpstream || child.Rank != (Rank{Priority: 7, Age: 2 * time.Second, Root: 99, IsRetry: true}) {
		t.Errorf("call of an open request: %+v, want the rank of the request, aged 2 s", child)
	}
	n.WorkDone(12*time.Second, w, time.Second, RunSucceeded)
	orphan, _ := n.StartCall(12*time.Second, IncomingRequest{ID: "r1.y", Parent: "r1", Host: "h", Path: "/b/1"})
	if orphan.FromUpstream || orphan.Rank.Root == 99 {
		t.Errorf("call of a finished request: %+v, want a rank of its own", orphan)
	}
}

// TestLeavingOrSilentNodeGetsNoWork checks that a node gets no work after it announced
// its stop, nor after its heartbeats stopped.
func TestLeavingOrSilentNodeGetsNoWork(t *testing.T) {
	nodes := newFleet(t, testRoute("a", true))
	exchangeHeartbeats(0, nodes)
	nodes[0].Leave(0, time.Minute)
	exchangeHeartbeats(time.Millisecond, nodes)
	countByInstance := func(now time.Duration) map[string]int {
		sent := map[string]int{}
		for range 20 {
			c, step := nodes[2].StartCall(now, IncomingRequest{ID: "r", Host: "h", Path: "/a/1"})
			sent[step.Target.Instance]++
			nodes[2].AbandonCall(now, c)
		}
		return sent
	}
	if sent := countByInstance(2 * time.Millisecond); sent["10.0.0.1"] != 0 || sent["10.0.0.2"] != 20 {
		t.Fatalf("requests by instance while 10.0.0.1 leaves: %v, want 20 at 10.0.0.2", sent)
	}
	nodes = newFleet(t, testRoute("a", true))
	exchangeHeartbeats(time.Millisecond, nodes)
	now := maxMissedHeartbeats*HeartbeatInterval + 2*time.Millisecond
	nodes[2].ReceiveHeartbeat(now, "10.0.0.2", nodes[1].Heartbeat(now))
	if sent := countByInstance(now); sent["10.0.0.1"] != 0 {
		t.Fatalf("requests by instance while 10.0.0.1 is silent: %v, want none there", sent)
	}
}

// TestUnregisteredNodeStaysInFleet checks that a node whose upstream is no longer
// registered, for example after it lost the store, still gets heartbeats and that its
// demand is counted.
func TestUnregisteredNodeStaysInFleet(t *testing.T) {
	nodes := newFleet(t, testRoute("b", true))
	unregistered, other := nodes[0], nodes[2]
	for _, n := range nodes {
		n.Registry().Apply(0, []registry.Change{{ID: "i-10.0.0.1", Revision: 10, Removed: true}})
		n.RegistryChanged()
	}
	now := time.Second
	// 200 requests arrive per second, and a heartbeat after every 40 of them, which is
	// once per HeartbeatInterval.
	for i := range 200 {
		now += 5 * time.Millisecond
		unregistered.StartCall(now, IncomingRequest{ID: "r", Host: "h", Path: "/b/1"})
		if i%40 != 0 {
			continue
		}
		heartbeat := unregistered.Heartbeat(now)
		other.ReceiveHeartbeat(now, unregistered.cfg.Instance, heartbeat)
		other.UpdatePlan(now)
		unregistered.UpdatePlan(now)
	}
	due := map[string]bool{}
	other.DueHeartbeats(now, func(to DueHeartbeat) { due[to.Instance] = true })
	if !due[unregistered.cfg.Instance] {
		t.Errorf("no heartbeat due for the unregistered node")
	}
	demand := other.viewDemand(now, other.fleetSums(now))
	if len(demand) != 1 || demand[0].offered < 50 {
		t.Errorf("demand %+v, want one route with at least 50 requests offered per second", demand)
	}
}

// TestEntryStopsCrasherAfterTwoUpstreams guards against a request that crashes one upstream
// after the other within one attempt of its caller, before any heartbeat tells of it.
func TestEntryStopsCrasherAfterTwoUpstreams(t *testing.T) {
	entry := newFleet(t, testRoute("b", true))[0]
	changes := testRegistrations()
	for _, c := range changes {
		c.Upstream.Service = "b"
	}
	entry.Registry().Replace(0, changes, registry.Position{Revision: 10})
	entry.RegistryChanged()
	c, step := entry.StartCall(0, IncomingRequest{ID: "r", Host: "h", Path: "/b/1", Fingerprint: 77})
	runs := 0
	for step.Kind == StepSend {
		runs++
		step = entry.EndAttempt(0, c, Outcome{Kind: OutcomeUnknown, Reason: ReasonCrashed, ReachedUpstream: true})
	}
	if runs > 2 || step.Kind != StepFail || step.Reason != ReasonCrasher {
		t.Errorf("%d runs and last step %+v, want at most 2 and StepFail with ReasonCrasher", runs, step)
	}
	if _, step := entry.StartCall(0, IncomingRequest{ID: "r2", Host: "h", Path: "/b/1", Fingerprint: 77}); step.Kind != StepRefuse {
		t.Errorf("step %+v for the next attempt of the caller, want StepRefuse", step)
	}
}
