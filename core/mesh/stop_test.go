package mesh

import (
	"testing"
	"time"

	"github.com/shallotspool/shallotspool/core/concurrency"
	"github.com/shallotspool/shallotspool/core/registry"
)

// stopTime is how long the nodes of the tests have from Leave to their end.
const stopTime = 6 * time.Second

// TestStoppingNodeSendsOnlyWhatEnds guards against requests that a node takes while it stops, and
// that it cuts when its process ends though they run.
func TestStoppingNodeSendsOnlyWhatEnds(t *testing.T) {
	nodes := newFleet(t, testRoute("a", true))
	n, id := nodes[2], RouteID(testRoute("a", true))
	exchangeHeartbeats(0, nodes)
	start := func(now time.Duration) (*Call, Step) {
		return n.StartCall(now, IncomingRequest{ID: "r", Host: "h", Path: "/a/1", Timeout: time.Minute})
	}
	early, _ := start(0)
	n.Leave(0, stopTime)
	c, step := start(time.Second)
	if step.Kind != StepSend || c.Deadline >= stopTime {
		t.Errorf("got step %+v with deadline %v, want it sent with a deadline before the end", step, c.Deadline)
	}
	late := time.Duration(startShare * float64(stopTime))
	if _, step := start(late); step.Kind != StepRefuse || step.Reason != ReasonLeaving || step.RetryAfter <= 0 {
		t.Errorf("got step %+v in the last part of the time, want a refusal that says when to come back", step)
	}
	// A request that was sent before is not sent again then.
	notRun := Outcome{Kind: OutcomeNotRun, Reason: ReasonUnreachable}
	if step := n.EndAttempt(late, early, notRun); step.Kind != StepRefuse {
		t.Errorf("got step %+v after an attempt that did not run, want a refusal", step)
	}
	if step := n.EndAttempt(late, c, Outcome{Kind: OutcomeUnknown, Reason: ReasonLost, ReachedUpstream: true}); step.Kind != StepFail {
		t.Errorf("got step %+v after a lost answer, want no other attempt", step)
	}
	// Requests that take long are refused sooner.
	for i := range nodes {
		n.ReceiveHeartbeat(time.Second, nodes[i].cfg.Instance, Heartbeat{
			Incarnation: 2, Service: nodes[i].cfg.Service, Routes: []RouteStat{{Route: id, RunTime: stopTime / 2}},
		})
	}
	if _, step := start(time.Second); step.Kind != StepRefuse {
		t.Errorf("got step %+v for a request that may take longer than is left, want a refusal", step)
	}
}

// TestCallsOfRunningRequestsAreSentWhileStopping guards against requests at the local upstream that
// fail because the calls made for them are refused while the node stops.
func TestCallsOfRunningRequestsAreSentWhileStopping(t *testing.T) {
	nodes := newFleet(t, testRoute("a", true))
	n := nodes[2]
	exchangeHeartbeats(0, nodes)
	n.OfferWork(0, Work{ID: 1, RequestID: "parent", Deadline: time.Minute})
	n.Leave(0, stopTime)
	call := IncomingRequest{ID: "child", Parent: "parent", Host: "h", Path: "/a/1", Timeout: time.Second}
	if _, step := n.StartCall(stopTime-time.Second, call); step.Kind != StepSend {
		t.Errorf("got step %+v, want the call sent", step)
	}
	if _, step := n.StartCall(stopTime-time.Millisecond, call); step.Kind != StepRefuse {
		t.Errorf("got step %+v just before the end, want a refusal", step)
	}
}

// TestStoppingNodeRefusesWaitingWork guards against requests that wait beside a stopping node's
// upstream and get its slot too late.
func TestStoppingNodeRefusesWaitingWork(t *testing.T) {
	n := newFleet(t, testRoute("a", true))[0]
	expectWaitingRefused(t, n, func() { n.Leave(0, stopTime) }, time.Duration(startShare*float64(stopTime)))
}

// TestDepartedUpstreamGetsNoWaitingWork guards against requests that reach an upstream after it left,
// because they waited in the queue of the node beside it, or were sent by a node that learned late.
func TestDepartedUpstreamGetsNoWaitingWork(t *testing.T) {
	for _, removed := range []bool{true, false} {
		n := newFleet(t, testRoute("a", true))[0]
		own := *n.ownRegistration()
		revision := n.Registry().Position().Revision
		expectWaitingRefused(t, n, func() {
			change := registry.Change{ID: own.ID, Revision: revision + 1, Removed: removed}
			if !removed {
				draining := own
				draining.Draining = true
				change.Upstream = &draining
			}
			n.Registry().Apply(0, []registry.Change{change})
			n.RegistryChanged()
			n.ExpireWork(0)
		}, departureDelay)
		// A later run of the upstream gets requests again.
		next := own
		next.ID += "-next"
		n.Registry().Apply(time.Second, []registry.Change{{ID: own.ID, Revision: revision + 2, Removed: true}, {ID: next.ID, Revision: revision + 3, Upstream: &next}})
		n.RegistryChanged()
		n.ExpireWork(time.Second)
		if d := n.OfferWork(time.Second, Work{ID: 1000, Deadline: time.Minute}); d == concurrency.Refuse {
			t.Errorf("removed %v: the next run of the upstream gets no requests", removed)
		}
	}
}

// TestRefusalOfLeavingUpstreamDoesNotSpread guards against an instance that counts as leaving at all
// nodes, for as long as they tell it to each other, because its upstream was unknown for a moment.
func TestRefusalOfLeavingUpstreamDoesNotSpread(t *testing.T) {
	nodes := newFleet(t, testRoute("a", true))
	exchangeHeartbeats(0, nodes)
	n := nodes[2]
	c, step := n.StartCall(0, IncomingRequest{ID: "r", Host: "h", Path: "/a/1"})
	n.EndAttempt(0, c, Outcome{Kind: OutcomeNotRun, Reason: ReasonLeaving})
	if p := n.peer(step.Target.Instance); p.leaving(0) {
		t.Errorf("%s counts as leaving after one refusal", step.Target.Instance)
	}
}

// expectWaitingRefused checks that n refuses new and waiting work from lastStart after close.
func expectWaitingRefused(t *testing.T, n *Node, closing func(), lastStart time.Duration) {
	t.Helper()
	id := uint64(1)
	for n.OfferWork(0, Work{ID: id, Deadline: time.Minute}) == concurrency.Admit {
		id++
	}
	closing()
	if expired := n.ExpireWork(lastStart - time.Millisecond); len(expired) != 0 || n.RefusalReason(lastStart-time.Millisecond) != ReasonBusy {
		t.Errorf("%v do not wait any more before the last start", expired)
	}
	if expired := n.ExpireWork(lastStart); len(expired) != 1 || expired[0] != id {
		t.Errorf("%v do not wait any more, want request %d", expired, id)
	}
	for running := uint64(1); running < id; running++ {
		n.WorkDone(lastStart, Work{ID: running}, time.Millisecond, RunInconclusive)
	}
	if d := n.OfferWork(lastStart, Work{ID: id + 1, Deadline: time.Minute}); d != concurrency.Refuse || n.RefusalReason(lastStart) != ReasonLeaving {
		t.Errorf("got decision %v after the last start, want a refusal because it is leaving", d)
	}
}
