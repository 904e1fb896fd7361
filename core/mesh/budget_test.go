package mesh

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/shallotspool/shallotspool/core/registry"
	"github.com/shallotspool/shallotspool/core/route"
)

var testBounds = RetryBounds{Window: 10 * time.Second, Ratio: 0.2, Slack: 49}

// newFleet returns nodes beside the upstreams of services "a" and "b", two each.
func newFleet(t interface{ Fatalf(string, ...any) }, routes ...*route.Route) []*Node {
	table := &route.Table{Version: 1, Routes: routes}
	table.Index()
	var entries []registry.Change
	for i, service := range []string{"a", "a", "b", "b"} {
		ip := "10.0.0." + string(rune('1'+i))
		entries = append(entries, registry.Change{ID: "i-" + ip, Revision: uint64(i + 1), Upstream: &registry.Upstream{
			ID: "i-" + ip, Service: service, Address: ip + ":80", Instance: ip, DataCentre: "x", Slots: 10, Revision: uint64(i + 1),
		}})
	}
	var nodes []*Node
	for _, e := range entries {
		n := New(Config{Instance: e.Upstream.Instance, Incarnation: 1, Service: e.Upstream.Service, DataCentre: "x", Seed: 1, Retries: testBounds})
		if !n.SetTable(0, table) {
			t.Fatalf("table refused")
		}
		n.Registry().Replace(0, entries, 9)
		n.Registered()
		nodes = append(nodes, n)
	}
	return nodes
}

func testRoute(service string, idempotent bool) *route.Route {
	return &route.Route{
		Name: service, Host: "h", Prefix: "/" + service + "/", Idempotent: idempotent, MaxAttempts: 3,
		Timeout: 2 * time.Second, Split: []route.Share{{Service: service, Weight: 1}},
	}
}

// settle has a node learn that requests to service "a" lead to nothing else.
func settle(n *Node) {
	teller, root := "10.0.0.1", RouteID(testRoute("a", true))
	if n.cfg.Instance == teller {
		teller = "10.0.0.2"
	}
	for i := range leastSeen {
		now := time.Duration(i+1) * time.Millisecond
		n.Hear(now, teller, Heartbeat{
			Incarnation: 1, Service: "a", Load: Load{Limit: 9}, Roots: []RootStat{{Root: root, Busy: 1, Runs: 10}},
			Demand: []DemandStat{{Root: root, Offered: 10, Admitted: 10, Served: 10}},
		})
		n.Plan(now)
	}
}

// TestRepeatsStayWithinTheBound: whatever the nodes do, all of them together send
// a service no more repeats within any window than the bound says.
func TestRepeatsStayWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := newFleet(t, testRoute("a", true))
		for _, n := range nodes {
			settle(n)
		}
		var requests, repeats []time.Duration
		now := HeartbeatInterval
		for range rapid.IntRange(1, 1500).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond
			n := nodes[rapid.IntRange(0, 3).Draw(t, "node")]
			c, step := n.Arrive(now, Arrival{ID: "1", Host: "h", Path: "/a/1"})
			for step.Kind == StepSend {
				if c.Attempts() == 1 {
					requests = append(requests, now)
				} else {
					repeats = append(repeats, now)
				}
				step = n.Ended(now, c, Outcome{Kind: Unknown, Reason: ReasonLost, Reached: true})
			}
		}
		within := func(list []time.Duration, from time.Duration) (count int) {
			for _, at := range list {
				if at >= from && at < from+testBounds.Window {
					count++
				}
			}
			return count
		}
		for _, from := range repeats {
			allowed := testBounds.Slack + testBounds.Ratio*float64(within(requests, from))
			if got := within(repeats, from); float64(got) > allowed {
				t.Fatalf("%d repeats within a window, %.0f allowed", got, allowed)
			}
		}
	})
}

// TestOnlyIdempotentRequestsRepeat: a request that must not repeat is sent again
// only after an attempt that certainly did not run.
func TestOnlyIdempotentRequestsRepeat(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := newFleet(t, testRoute("a", false))
		n := nodes[rapid.IntRange(0, 3).Draw(t, "node")]
		c, step := n.Arrive(0, Arrival{ID: "1", Host: "h", Path: "/a/1"})
		mayHaveRun := false
		for step.Kind == StepSend {
			if mayHaveRun {
				t.Fatalf("sent again after an attempt that may have run")
			}
			o := rapid.SampledFrom([]Outcome{
				{Kind: NotRun, Reason: ReasonBusy}, {Kind: NotRun, Reason: ReasonShed, Reached: true},
				{Kind: NotRun, Reason: ReasonUnreachable}, {Kind: NotRun, Reason: ReasonMoved}, {Kind: NotRun, Reason: ReasonLeaving},
				{Kind: Unknown, Reason: ReasonLost, Reached: true}, {Kind: Unknown, Reason: ReasonDeadline, Reached: true},
				{Kind: Answered, Status: 500, Reached: true},
			}).Draw(t, "outcome")
			mayHaveRun = mayHaveRun || o.Kind != NotRun
			step = n.Ended(0, c, o)
		}
		if mayHaveRun && step.Kind == StepRefuse {
			t.Fatalf("called not run after an attempt that may have run")
		}
	})
}

// TestUnsafeAnswerIsDelivered: an upstream's own failure goes to the caller.
func TestUnsafeAnswerIsDelivered(t *testing.T) {
	n := newFleet(t, testRoute("a", false))[2]
	c, _ := n.Arrive(0, Arrival{ID: "1", Host: "h", Path: "/a/1"})
	if step := n.Ended(0, c, Outcome{Kind: Answered, Status: 500, Reached: true}); step.Kind != StepDeliver {
		t.Fatalf("step %+v", step)
	}
}

// TestArrivingRepeatsStopFurtherOnes: when the repeats that arrived at a service
// are near the bound, nobody makes more, whoever sent them.
func TestArrivingRepeatsStopFurtherOnes(t *testing.T) {
	nodes := newFleet(t, testRoute("a", true))
	n := nodes[3]
	settle(n)
	again := func(now time.Duration) StepKind {
		c, _ := n.Arrive(now, Arrival{ID: "1", Host: "h", Path: "/a/1"})
		step := n.Ended(now, c, Outcome{Kind: Unknown, Reason: ReasonLost, Reached: true})
		if step.Kind == StepSend {
			n.Abandon(now, c)
		}
		return step.Kind
	}
	n.Hear(time.Second, "10.0.0.1", Heartbeat{Incarnation: 1, Service: "a", Load: Load{Limit: 9}, Firsts: 1000, Repeats: 100})
	n.Plan(time.Second)
	if got := again(time.Second); got != StepSend {
		t.Errorf("step %v with 100 repeats of 249 allowed", got)
	}
	n.Hear(2*time.Second, "10.0.0.1", Heartbeat{Incarnation: 1, Service: "a", Load: Load{Limit: 9}, Firsts: 1000, Repeats: 190})
	n.Plan(2 * time.Second)
	if got := again(2 * time.Second); got != StepFail {
		t.Errorf("step %v with 190 repeats of 249 allowed", got)
	}
}

// TestRerunsAreNoRequests: calls made for a repeated run do not raise the number
// of repeats that is allowed.
func TestRerunsAreNoRequests(t *testing.T) {
	n := newFleet(t, testRoute("a", true))[3]
	before := n.direct(0, "a")
	n.open(0, Work{Name: "p", Rank: Rank{Rerun: true}})
	for range 100 {
		c, _ := n.Arrive(0, Arrival{ID: "p.1", Host: "h", Path: "/a/1", Parent: "p"})
		n.Abandon(0, c)
	}
	if got := n.direct(0, "a"); got != before {
		t.Errorf("%.1f repeats allowed, %.1f before the reruns", got, before)
	}
}

// TestNoRepeatWithoutTime: a failure that comes when there is no time left for
// another run is delivered as it is.
func TestNoRepeatWithoutTime(t *testing.T) {
	n := newFleet(t, testRoute("a", true))[3]
	settle(n)
	n.Hear(time.Second, "10.0.0.1", Heartbeat{Incarnation: 1, Service: "a", Load: Load{Limit: 9},
		Routes: []RouteStat{{Route: RouteID(testRoute("a", true)), Run: 200 * time.Millisecond}}})
	for left, want := range map[time.Duration]StepKind{50 * time.Millisecond: StepDeliver, 500 * time.Millisecond: StepSend} {
		c, _ := n.Arrive(time.Second, Arrival{ID: "1", Host: "h", Path: "/a/1", Wait: time.Second})
		step := n.Ended(c.Deadline-left, c, Outcome{Kind: Answered, Status: 504, Reached: true})
		if step.Kind != want {
			t.Errorf("%v left: step %v, want %v", left, step.Kind, want)
		}
	}
}

// TestCountersForget: what is counted and never asked for takes no more room than
// one window of it.
func TestCountersForget(t *testing.T) {
	var c counter
	most := int(testBounds.Window/counterGrain) + 1
	for now := time.Duration(0); now < time.Hour; now += counterGrain {
		if c.add(now, testBounds.Window, 1); len(c.list) > most {
			t.Fatalf("%d entries at %v, want %d at most", len(c.list), now, most)
		}
	}
}
