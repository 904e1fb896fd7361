package mesh

import (
	"fmt"
	"testing"
	"time"

	"github.com/shallotspool/shallotspool/core/registry"
)

// TestFullUpstreamsAreAvoided checks that requests go to an upstream with room,
// however many others are full.
func TestFullUpstreamsAreAvoided(t *testing.T) {
	n, id := newFleet(t, testRoute("a", true))[3], RouteID(testRoute("a", true))
	var changes []registry.Change
	for i := range 9 {
		ip := fmt.Sprintf("10.0.1.%d", i)
		changes = append(changes, registry.Change{ID: ip, Revision: 10, Upstream: &registry.Upstream{
			ID: ip, Service: "a", Address: ip + ":80", Instance: ip, DataCentre: "x", Slots: 10, Revision: 10,
		}})
		load := Load{Running: 9, Queued: 9, Limit: 9}
		if i == 4 {
			load = Load{Running: 5, Limit: 9}
		}
		n.ReceiveHeartbeat(0, ip, Heartbeat{Incarnation: 1, Service: "a", Load: load, Routes: []RouteStat{{Route: id, RunTime: 50 * time.Millisecond}}})
	}
	n.Registry().Replace(0, changes, registry.Position{Revision: 10})
	n.RegistryChanged()
	for range 100 {
		c, step := n.StartCall(0, IncomingRequest{ID: "r", Host: "h", Path: "/a/1"})
		if step.Kind != StepSend || step.Target.Instance != "10.0.1.4" {
			t.Fatalf("step %+v, want StepSend to 10.0.1.4", step)
		}
		n.AbandonCall(0, c)
	}
}

// TestLateFailuresRaiseRunTime checks that an upstream whose runs all fail late counts
// as slow, and that quick refusals do not make an upstream count as fast.
func TestLateFailuresRaiseRunTime(t *testing.T) {
	n := newFleet(t, testRoute("a", true))[0]
	id := RouteID(testRoute("a", true))
	run := func(i uint64, took time.Duration, result RunResult) {
		w := Work{ID: i, Route: id, Deadline: time.Hour}
		n.OfferWork(0, w)
		n.WorkDone(0, w, took, result)
	}
	run(1, time.Millisecond, RunShed)
	if got := n.runTimes.mean(id); got != defaultRunTime {
		t.Errorf("run time %v after a refused request, want %v", got, defaultRunTime)
	}
	run(2, 20*time.Millisecond, RunSucceeded)
	for i := range uint64(60) {
		run(3+i, 700*time.Millisecond, RunFailed)
	}
	if got := n.runTimes.mean(id); got < 600*time.Millisecond {
		t.Errorf("run time %v after 60 failed runs of 700 ms, want at least 600 ms", got)
	}
}

// TestNodeWithoutAnswersIsEjected checks that a node that repeatedly gives no answer
// by the deadline is ejected, and that one whose upstream exceeds the deadline is not.
func TestNodeWithoutAnswersIsEjected(t *testing.T) {
	for _, silent := range []bool{true, false} {
		n := newFleet(t, testRoute("a", true))[3]
		for range 40 {
			c, step := n.StartCall(0, IncomingRequest{ID: "r", Host: "h", Path: "/a/1"})
			o := Outcome{Kind: OutcomeAnswered, Status: 200, ReachedUpstream: true}
			if step.Target.Instance == "10.0.0.1" {
				o = Outcome{Kind: OutcomeUnknown, Reason: ReasonDeadline, ReachedUpstream: true, NodeSilent: silent}
			}
			n.EndAttempt(c.Deadline, c, o)
		}
		if got := n.peer("10.0.0.1").outlier.Ejected(); got != silent {
			t.Errorf("node silent %v: ejected %v, want %v", silent, got, silent)
		}
	}
}

// TestEjectionsOfFormerUpstreamsDoNotCount guards against upstreams that fail and are not ejected, because
// ejected ones that have left still count as the part of the service that may be ejected.
func TestEjectionsOfFormerUpstreamsDoNotCount(t *testing.T) {
	n := newFleet(t, testRoute("a", true))[3]
	fail := func(instance string) {
		for range 40 {
			c, step := n.StartCall(0, IncomingRequest{ID: "r", Host: "h", Path: "/a/1"})
			o := Outcome{Kind: OutcomeAnswered, Status: 200, ReachedUpstream: true}
			if step.Target.Instance == instance {
				o = Outcome{Kind: OutcomeUnknown, Reason: ReasonDeadline, ReachedUpstream: true, NodeSilent: true}
			}
			n.EndAttempt(c.Deadline, c, o)
		}
		if !n.peer(instance).outlier.Ejected() {
			t.Errorf("%s fails and is not ejected", instance)
		}
	}
	fail("10.0.0.1")
	next := *testRegistrations()[0].Upstream
	next.ID, next.Instance, next.Address, next.Revision = "i-next", "10.0.0.9", "10.0.0.9:80", 21
	n.Registry().Apply(0, []registry.Change{{ID: "i-10.0.0.1", Revision: 20}, {ID: next.ID, Revision: 21, Upstream: &next}})
	n.RegistryChanged()
	fail("10.0.0.9")
}
