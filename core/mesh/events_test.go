package mesh

import (
	"testing"
	"time"
)

// TestChangesOfBeliefAreNoted: an instance that falls silent, is heard again,
// becomes faulty or sound, or is ejected, is noted once each.
func TestChangesOfBeliefAreNoted(t *testing.T) {
	n := newFleet(t, testRoute("a", true))[3]
	var got []EventKind
	plan := func(now time.Duration) {
		n.Plan(now)
		for _, e := range n.Events() {
			if e.Instance != "10.0.0.1" {
				t.Errorf("event of %s", e.Instance)
			}
			got = append(got, e.Kind)
		}
	}
	beat := Heartbeat{Incarnation: 1, Service: "a", Load: Load{Limit: 9}}
	n.Hear(time.Second, "10.0.0.1", beat)
	plan(time.Second)
	plan(3 * time.Second)
	beat.Faults = 0.4
	n.Hear(4*time.Second, "10.0.0.1", beat)
	plan(4 * time.Second)
	plan(4*time.Second + time.Millisecond)
	beat.Faults = 0
	n.Hear(4*time.Second+2*time.Millisecond, "10.0.0.1", beat)
	plan(4*time.Second + 3*time.Millisecond)
	want := []EventKind{EventSilent, EventHeard, EventFaulty, EventSound}
	if len(got) != len(want) {
		t.Fatalf("noted %v, want %v", got, want)
	}
	for i := range want {
		if got[i] != want[i] {
			t.Errorf("noted %v, want %v", got, want)
		}
	}
}
