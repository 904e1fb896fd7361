package mesh

import (
	"math"
	"testing"
	"time"

	"github.com/shallotspool/shallotspool/core/route"
)

// TestNoAdmissionForSilentService checks that requests that lead to a service whose
// upstreams are all silent are refused admission with a retry delay, and are admitted
// again once its heartbeats return.
func TestNoAdmissionForSilentService(t *testing.T) {
	nodes := newFleet(t, testRoute("a", true))
	n, root := nodes[0], RouteID(testRoute("a", true))
	now := time.Duration(0)
	receiveHeartbeats := func(count int, bReports bool) {
		for range count {
			now += HeartbeatInterval
			for i, other := range nodes[1:] {
				h := Heartbeat{Incarnation: 1, Service: other.cfg.Service, Load: Load{Limit: 9}}
				if other.cfg.Service == "b" {
					if !bReports {
						continue
					}
					h.Roots = []RootStat{{Root: root, SlotsInUse: 1, RunRate: 10}}
				}
				if i == 0 {
					h.Demand = []DemandStat{{Root: root, Offered: 20, Admitted: 20, Served: 20}}
				}
				n.ReceiveHeartbeat(now, other.cfg.Instance, h)
			}
			n.UpdatePlan(now)
		}
	}
	countAdmitted := func() (count int) {
		for range 100 {
			c, step := n.StartCall(now, IncomingRequest{ID: "r", Host: "h", Path: "/a/1"})
			switch {
			case step.Kind == StepSend:
				count++
				n.AbandonCall(now, c)
			case step.Kind != StepRefuse || step.RetryAfter <= 0:
				t.Fatalf("step %+v, want StepSend or StepRefuse with a retry delay", step)
			}
		}
		return count
	}
	receiveHeartbeats(20, true)
	if got := countAdmitted(); got != 100 {
		t.Errorf("%d of 100 admitted below capacity, want all", got)
	}
	receiveHeartbeats(3*maxMissedHeartbeats, false)
	if got := countAdmitted(); got > 5 {
		t.Errorf("%d of 100 admitted while service b was silent, want at most 5", got)
	}
	receiveHeartbeats(3, true)
	if got := countAdmitted(); got < 90 {
		t.Errorf("%d of 100 admitted after service b returned, want at least 90", got)
	}
}

// admitMany sends requests of different content and returns how many are admitted, and how
// many of these have the highest priority.
func admitMany(n *Node, r *route.Route, count int, first uint64) (admitted, highest int) {
	for i := range count {
		c, step := n.StartCall(0, IncomingRequest{ID: "r", Host: "h", Path: r.Prefix + "1", Fingerprint: first + uint64(i)})
		if step.Kind != StepSend {
			continue
		}
		admitted++
		if c.Rank.Priority == highestPriority {
			highest++
		}
		n.AbandonCall(0, c)
	}
	return admitted, highest
}

// TestMinimumOfRouteIsNotOvertaken guards against requests of low priority that are admitted
// as the minimum of their route, and then wait behind all more important ones at each
// upstream until they fail.
func TestMinimumOfRouteIsNotOvertaken(t *testing.T) {
	r := testRoute("a", true)
	r.Priority = 2
	n := newFleet(t, r)[0]
	for _, tt := range []struct{ share, minimum, admitted, highest float64 }{
		{0.2, 0.1, 20, 10}, {0.1, 0.1, 10, 10}, {1, 0.1, 100, 0},
	} {
		d := n.admission.demandFor(RouteID(r), r)
		d.share, d.minimum, d.credit, d.minimumCredit = tt.share, tt.minimum, 0, 0
		admitted, highest := admitMany(n, r, 100, 1)
		if math.Abs(float64(admitted)-tt.admitted) > 2 || math.Abs(float64(highest)-tt.highest) > 2 {
			t.Errorf("share %v, minimum %v: %d admitted, %d of them with the highest priority; want %v and %v",
				tt.share, tt.minimum, admitted, highest, tt.admitted, tt.highest)
		}
	}
}

// TestReturningRequestsDoNotShutOutLaterOnes guards against new requests that are refused
// although there is room again, because those that came back after a refusal used up the
// admissions of the next seconds.
func TestReturningRequestsDoNotShutOutLaterOnes(t *testing.T) {
	r := testRoute("a", true)
	n := newFleet(t, r)[0]
	d := n.admission.demandFor(RouteID(r), r)
	d.share, d.credit = 0.01, 0
	admitMany(n, r, 50, 1)
	admitMany(n, r, 50, 1)
	d.share = 0.9
	if admitted, _ := admitMany(n, r, 10, 1000); admitted < 7 {
		t.Errorf("%d of 10 new requests admitted at a share of 0.9, want at least 7", admitted)
	}
}

// TestLoadIsNotOverestimatedWhenAdmissionsFall guards against requests that are refused
// because their load is overestimated: when fewer are admitted, those admitted before still
// hold their slots.
func TestLoadIsNotOverestimatedWhenAdmissionsFall(t *testing.T) {
	const load, steady = 0.5, 100.0
	nodes := newFleet(t, testRoute("a", true))
	n, root := nodes[0], RouteID(testRoute("a", true))
	other := nodes[1].cfg
	now, slotsInUse, admitted := time.Duration(0), load*steady, steady
	for i := range 60 {
		if i >= 30 {
			slotsInUse, admitted = max(slotsInUse*0.75, load*steady/20), steady/20
		}
		now += HeartbeatInterval
		n.ReceiveHeartbeat(now, other.Instance, Heartbeat{
			Incarnation: 1, Service: other.Service, Load: Load{Limit: 90},
			Roots:  []RootStat{{Root: root, SlotsInUse: float32(slotsInUse), RunRate: float32(admitted)}},
			Demand: []DemandStat{{Root: root, Offered: steady, Admitted: float32(admitted), Served: float32(admitted)}},
		})
		n.UpdatePlan(now)
		for _, d := range n.DemandReports() {
			for _, l := range d.Loads {
				if l.Load > 1.5*load {
					t.Fatalf("load %.2f per request after %v, want at most half more than %.2f", l.Load, now, load)
				}
			}
		}
	}
}

// TestMovedRouteIsAdmittedAtItsNewService guards against a route that is refused admission for want of
// room at the service that it led to in an earlier version of the table.
func TestMovedRouteIsAdmittedAtItsNewService(t *testing.T) {
	before := testRoute("b", true)
	n, root := newFleet(t, before)[0], RouteID(before)
	now := time.Duration(0)
	receiveHeartbeats := func(count int, bReports bool) {
		for range count {
			now += HeartbeatInterval
			n.ReceiveHeartbeat(now, "10.0.0.2", Heartbeat{
				Incarnation: 1, Service: "a", Load: Load{Limit: 9}, Demand: []DemandStat{{Root: root, Offered: 20, Admitted: 20, Served: 20}},
			})
			for _, instance := range []string{"10.0.0.3", "10.0.0.4"} {
				if bReports {
					n.ReceiveHeartbeat(now, instance, Heartbeat{Incarnation: 1, Service: "b", Load: Load{Limit: 9}, Roots: []RootStat{{Root: root, SlotsInUse: 1, RunRate: 10}}})
				}
			}
			n.UpdatePlan(now)
		}
	}
	receiveHeartbeats(20, true)
	admitMany(n, before, 100, 0)
	receiveHeartbeats(3*maxMissedHeartbeats, false)
	if admitted, _ := admitMany(n, before, 100, 100); admitted > 5 {
		t.Fatalf("%d of 100 admitted while service b was silent, want at most 5", admitted)
	}
	moved := testRoute("b", true)
	moved.Split = []route.WeightedService{{Service: "a", Weight: 1}}
	table := &route.Table{Version: n.Table().Version + 1, Services: n.Table().Services, Routes: []*route.Route{moved}}
	table.BuildIndex()
	n.SetTable(now, table)
	receiveHeartbeats(1, false)
	if admitted, _ := admitMany(n, moved, 100, 200); admitted < 100 {
		t.Errorf("%d of 100 admitted after the route moved to service a, want all", admitted)
	}
}
