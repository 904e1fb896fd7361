package mesh

import (
	"fmt"
	"testing"
	"time"

	"github.com/shallotspool/shallotspool/core/registry"
)

// TestFullUpstreamsArePassedOver: while some upstreams have room, requests go to
// those, however many others are full.
func TestFullUpstreamsArePassedOver(t *testing.T) {
	n, id := newFleet(t, testRoute("a", true))[3], RouteID(testRoute("a", true))
	var entries []registry.Change
	for i := range 9 {
		ip := fmt.Sprintf("10.0.1.%d", i)
		entries = append(entries, registry.Change{ID: ip, Revision: 10, Upstream: &registry.Upstream{
			ID: ip, Service: "a", Address: ip + ":80", Instance: ip, DataCentre: "x", Slots: 10, Revision: 10,
		}})
		load := Load{Running: 9, Queued: 9, Limit: 9}
		if i == 4 {
			load = Load{Running: 5, Limit: 9}
		}
		n.Hear(0, ip, Heartbeat{Incarnation: 1, Service: "a", Load: load, Routes: []RouteStat{{Route: id, Run: 50 * time.Millisecond}}})
	}
	n.Registry().Replace(0, entries, 10)
	n.Registered()
	for range 100 {
		c, step := n.Arrive(0, Arrival{ID: "r", Host: "h", Path: "/a/1"})
		if step.Kind != StepSend || step.Target.Instance != "10.0.1.4" {
			t.Fatalf("sent to %+v", step)
		}
		n.Abandon(0, c)
	}
}

// TestGivenUpRunsCount: an upstream whose runs are all given up is known to be
// slow; one that turns work away at once is not taken for quick.
func TestGivenUpRunsCount(t *testing.T) {
	n := newFleet(t, testRoute("a", true))[0]
	id := RouteID(testRoute("a", true))
	run := func(i uint64, took time.Duration, end RunEnd) {
		w := Work{ID: i, Route: id, Deadline: time.Hour}
		n.Offer(0, w)
		n.WorkDone(0, w, took, end)
	}
	run(1, time.Millisecond, RunTurnedAway)
	if got := n.runs.of(id); got != unknownRun {
		t.Errorf("run time %v after a request that was turned away", got)
	}
	run(2, 20*time.Millisecond, RunSucceeded)
	for i := range uint64(60) {
		run(3+i, 700*time.Millisecond, RunFailed)
	}
	if got := n.runs.of(id); got < 600*time.Millisecond {
		t.Errorf("run time %v after 60 runs that were given up at 700 ms", got)
	}
}

// TestSilentAnswersEject: a node that gives no answer by the deadline, again and
// again, gets no more work; an upstream that runs out of time does.
func TestSilentAnswersEject(t *testing.T) {
	for _, silent := range []bool{true, false} {
		n := newFleet(t, testRoute("a", true))[3]
		for range 40 {
			c, step := n.Arrive(0, Arrival{ID: "r", Host: "h", Path: "/a/1"})
			o := Outcome{Kind: Answered, Status: 200, Reached: true}
			if step.Target.Instance == "10.0.0.1" {
				o = Outcome{Kind: Unknown, Reason: ReasonDeadline, Reached: true, Silent: silent}
			}
			n.Ended(c.Deadline, c, o)
		}
		if got := n.peer("10.0.0.1").outlier.Ejected(); got != silent {
			t.Errorf("silent %v: ejected %v", silent, got)
		}
	}
}
