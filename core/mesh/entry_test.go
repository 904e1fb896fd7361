package mesh

import (
	"testing"
	"time"
)

// TestNothingEntersForASilentService: requests that lead to a service whose
// upstreams all fell silent are refused where they enter, and told when to come
// back; they enter again once it is heard of.
func TestNothingEntersForASilentService(t *testing.T) {
	nodes := newFleet(t, testRoute("a", true))
	n, root := nodes[0], RouteID(testRoute("a", true))
	now := time.Duration(0)
	beats := func(count int, deep bool) {
		for range count {
			now += HeartbeatInterval
			for i, other := range nodes[1:] {
				b := Heartbeat{Incarnation: 1, Service: other.cfg.Service, Load: Load{Limit: 9}}
				if other.cfg.Service == "b" {
					if !deep {
						continue
					}
					b.Roots = []RootStat{{Root: root, Busy: 1, Runs: 10}}
				}
				if i == 0 {
					b.Demand = []DemandStat{{Root: root, Offered: 20, Admitted: 20, Served: 20}}
				}
				n.Hear(now, other.cfg.Instance, b)
			}
			n.Plan(now)
		}
	}
	entered := func() (count int) {
		for range 100 {
			c, step := n.Arrive(now, Arrival{ID: "r", Host: "h", Path: "/a/1"})
			switch {
			case step.Kind == StepSend:
				count++
				n.Abandon(now, c)
			case step.Kind != StepRefuse || step.RetryAfter <= 0:
				t.Fatalf("step %+v", step)
			}
		}
		return count
	}
	beats(20, true)
	if got := entered(); got != 100 {
		t.Errorf("%d of 100 entered while there was room", got)
	}
	beats(3*maxMissed, false)
	if got := entered(); got > 5 {
		t.Errorf("%d of 100 entered that lead to a silent service", got)
	}
	beats(3, true)
	if got := entered(); got < 90 {
		t.Errorf("%d of 100 entered once it was heard of again", got)
	}
}
