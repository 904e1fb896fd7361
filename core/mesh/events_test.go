package mesh

import (
	"testing"
	"time"
)

// TestPeerStateChangesAreRecorded checks that one event is recorded each time an
// instance becomes silent, sends heartbeats again, becomes faulty or recovers.
func TestPeerStateChangesAreRecorded(t *testing.T) {
	n := newFleet(t, testRoute("a", true))[3]
	var got []EventKind
	plan := func(now time.Duration) {
		n.UpdatePlan(now)
		for _, e := range n.TakeEvents() {
			if e.Instance != "10.0.0.1" {
				t.Errorf("unexpected event for %s", e.Instance)
			}
			got = append(got, e.Kind)
		}
	}
	heartbeat := Heartbeat{Incarnation: 1, Service: "a", Load: Load{Limit: 9}}
	n.ReceiveHeartbeat(time.Second, "10.0.0.1", heartbeat)
	plan(time.Second)
	plan(3 * time.Second)
	heartbeat.FaultShare = 0.4
	n.ReceiveHeartbeat(4*time.Second, "10.0.0.1", heartbeat)
	plan(4 * time.Second)
	plan(4*time.Second + time.Millisecond)
	heartbeat.FaultShare = 0
	n.ReceiveHeartbeat(4*time.Second+2*time.Millisecond, "10.0.0.1", heartbeat)
	plan(4*time.Second + 3*time.Millisecond)
	want := []EventKind{EventNodeSilent, EventNodeHeard, EventUpstreamFaulty, EventUpstreamHealthy}
	if len(got) != len(want) {
		t.Fatalf("events %v, want %v", got, want)
	}
	for i := range want {
		if got[i] != want[i] {
			t.Errorf("events %v, want %v", got, want)
		}
	}
}
