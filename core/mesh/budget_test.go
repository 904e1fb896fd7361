package mesh

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/shallotspool/shallotspool/core/registry"
	"github.com/shallotspool/shallotspool/core/route"
)

var testRetryBounds = RetryBounds{Window: 10 * time.Second, Ratio: 0.2, Slack: 49}

// newFleet returns four nodes that know each other and have been up for some time:
// 10.0.0.1 and 10.0.0.2 beside upstreams of service "a", 10.0.0.3 and 10.0.0.4 beside
// upstreams of service "b". Each upstream has 10 slots, so its concurrency limit is 9.
func newFleet(t interface{ Fatalf(string, ...any) }, routes ...*route.Route) []*Node {
	var nodes []*Node
	for _, c := range testRegistrations() {
		nodes = append(nodes, startNode(t, Config{
			Instance: c.Upstream.Instance, Incarnation: 1, Service: c.Upstream.Service, DataCentre: "x", Seed: 1, RetryBounds: testRetryBounds,
			StartedAt: -testRetryBounds.Window,
		}, routes...))
	}
	return nodes
}

// testRegistrations returns the registrations of the upstreams of newFleet.
func testRegistrations() (changes []registry.Change) {
	for i, service := range []string{"a", "a", "b", "b"} {
		ip := "10.0.0." + string(rune('1'+i))
		changes = append(changes, registry.Change{ID: "i-" + ip, Revision: uint64(i + 1), Upstream: &registry.Upstream{
			ID: "i-" + ip, Service: service, Address: ip + ":80", Instance: ip, DataCentre: "x", Slots: 10, Revision: uint64(i + 1),
		}})
	}
	return changes
}

// startNode returns a node that knows the upstreams of newFleet and the routes.
func startNode(t interface{ Fatalf(string, ...any) }, cfg Config, routes ...*route.Route) *Node {
	table := &route.Table{Version: 1, Routes: routes}
	table.BuildIndex()
	n := New(cfg)
	if !n.SetTable(0, table) {
		t.Fatalf("routing table not accepted")
	}
	n.Registry().Replace(0, testRegistrations(), registry.Position{Revision: 9})
	n.RegistryChanged()
	return n
}

func testRoute(service string, idempotent bool) *route.Route {
	return &route.Route{
		Name: service, Host: "h", Prefix: "/" + service + "/", Idempotent: idempotent, MaxAttempts: 3,
		Timeout: 2 * time.Second, Split: []route.WeightedService{{Service: service, Weight: 1}},
	}
}

// learnNoDownstreamCalls makes a node learn from heartbeats that requests to service
// "a" cause no further calls.
func learnNoDownstreamCalls(n *Node) {
	reporter, root := "10.0.0.1", RouteID(testRoute("a", true))
	if n.cfg.Instance == reporter {
		reporter = "10.0.0.2"
	}
	for i := range minObservations {
		now := time.Duration(i+1) * time.Millisecond
		n.ReceiveHeartbeat(now, reporter, Heartbeat{
			Incarnation: 1, Service: "a", Load: Load{Limit: 9}, Roots: []RootStat{{Root: root, SlotsInUse: 1, RunRate: 10}},
			Demand: []DemandStat{{Root: root, Offered: 10, Admitted: 10, Served: 10}},
		})
		n.UpdatePlan(now)
	}
}

// TestRetriesStayWithinBounds checks that all nodes together never send a service more
// retries within a window than RetryBounds allows.
func TestRetriesStayWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := newFleet(t, testRoute("a", true))
		for _, n := range nodes {
			learnNoDownstreamCalls(n)
		}
		var requests, retries []time.Duration
		now := HeartbeatInterval
		for range rapid.IntRange(1, 1500).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond
			n := nodes[rapid.IntRange(0, 3).Draw(t, "node")]
			c, step := n.StartCall(now, IncomingRequest{ID: "1", Host: "h", Path: "/a/1"})
			for step.Kind == StepSend {
				if c.Attempts() == 1 {
					requests = append(requests, now)
				} else {
					retries = append(retries, now)
				}
				step = n.EndAttempt(now, c, Outcome{Kind: OutcomeUnknown, Reason: ReasonLost, ReachedUpstream: true})
			}
		}
		for _, from := range retries {
			allowed := testRetryBounds.Slack + testRetryBounds.Ratio*float64(countWithin(requests, from))
			if got := countWithin(retries, from); float64(got) > allowed {
				t.Fatalf("%d retries within a window, %.0f allowed", got, allowed)
			}
		}
	})
}

// TestNonIdempotentRequestIsNotRetriedAfterPossibleRun checks that a non-idempotent
// request is sent again only after an attempt that certainly did not run.
func TestNonIdempotentRequestIsNotRetriedAfterPossibleRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := newFleet(t, testRoute("a", false))
		n := nodes[rapid.IntRange(0, 3).Draw(t, "node")]
		c, step := n.StartCall(0, IncomingRequest{ID: "1", Host: "h", Path: "/a/1"})
		mayHaveRun := false
		for step.Kind == StepSend {
			if mayHaveRun {
				t.Fatalf("sent again after an attempt that may have run")
			}
			o := rapid.SampledFrom([]Outcome{
				{Kind: OutcomeNotRun, Reason: ReasonBusy}, {Kind: OutcomeNotRun, Reason: ReasonShed, ReachedUpstream: true},
				{Kind: OutcomeNotRun, Reason: ReasonUnreachable}, {Kind: OutcomeNotRun, Reason: ReasonMoved}, {Kind: OutcomeNotRun, Reason: ReasonLeaving},
				{Kind: OutcomeUnknown, Reason: ReasonLost, ReachedUpstream: true}, {Kind: OutcomeUnknown, Reason: ReasonDeadline, ReachedUpstream: true},
				{Kind: OutcomeAnswered, Status: 500, ReachedUpstream: true},
			}).Draw(t, "outcome")
			mayHaveRun = mayHaveRun || o.Kind != OutcomeNotRun
			step = n.EndAttempt(0, c, o)
		}
		if mayHaveRun && step.Kind == StepRefuse {
			t.Fatalf("refused as not run after an attempt that may have run")
		}
	})
}

// TestNonIdempotentServerErrorIsDelivered checks that a server error of the upstream
// is delivered to the caller.
func TestNonIdempotentServerErrorIsDelivered(t *testing.T) {
	n := newFleet(t, testRoute("a", false))[2]
	c, _ := n.StartCall(0, IncomingRequest{ID: "1", Host: "h", Path: "/a/1"})
	if step := n.EndAttempt(0, c, Outcome{Kind: OutcomeAnswered, Status: 500, ReachedUpstream: true}); step.Kind != StepDeliver {
		t.Fatalf("step %+v, want StepDeliver", step)
	}
}

// TestReportedRetriesStopFurtherRetries checks that no node retries while the reported
// number of retries at a service is near the bound, even if other nodes sent them.
func TestReportedRetriesStopFurtherRetries(t *testing.T) {
	nodes := newFleet(t, testRoute("a", true))
	n := nodes[3]
	learnNoDownstreamCalls(n)
	// 249 retries are allowed: 0.2 * 1000 + 49. At priority 0 they stop at 75 % of that.
	retryStep := func(now time.Duration) StepKind {
		c, _ := n.StartCall(now, IncomingRequest{ID: "1", Host: "h", Path: "/a/1"})
		step := n.EndAttempt(now, c, Outcome{Kind: OutcomeUnknown, Reason: ReasonLost, ReachedUpstream: true})
		if step.Kind == StepSend {
			n.AbandonCall(now, c)
		}
		return step.Kind
	}
	n.ReceiveHeartbeat(time.Second, "10.0.0.1", Heartbeat{Incarnation: 1, Service: "a", Load: Load{Limit: 9}, FirstRuns: 1000, Retries: 100})
	n.UpdatePlan(time.Second)
	if got := retryStep(time.Second); got != StepSend {
		t.Errorf("step %v with 100 of 249 allowed retries, want StepSend", got)
	}
	n.ReceiveHeartbeat(2*time.Second, "10.0.0.1", Heartbeat{Incarnation: 1, Service: "a", Load: Load{Limit: 9}, FirstRuns: 1000, Retries: 190})
	n.UpdatePlan(2 * time.Second)
	if got := retryStep(2 * time.Second); got != StepFail {
		t.Errorf("step %v with 190 of 249 allowed retries, want StepFail", got)
	}
}

// TestCallsOfRetriedRunsDoNotRaiseAllowance checks that calls made for a retried run
// do not raise the number of allowed retries.
func TestCallsOfRetriedRunsDoNotRaiseAllowance(t *testing.T) {
	n := newFleet(t, testRoute("a", true))[3]
	before := n.directAllowance(0, "a")
	n.trackWork(0, Work{RequestID: "p", Rank: Rank{IsRetry: true}})
	for range 100 {
		c, _ := n.StartCall(0, IncomingRequest{ID: "p.1", Host: "h", Path: "/a/1", Parent: "p"})
		n.AbandonCall(0, c)
	}
	if got := n.directAllowance(0, "a"); got != before {
		t.Errorf("%.1f retries allowed, %.1f before the calls", got, before)
	}
}

// TestNoRetryWithoutTimeLeft checks that a failure is delivered instead of retried if
// too little time is left for another run.
func TestNoRetryWithoutTimeLeft(t *testing.T) {
	n := newFleet(t, testRoute("a", true))[3]
	learnNoDownstreamCalls(n)
	n.ReceiveHeartbeat(time.Second, "10.0.0.1", Heartbeat{Incarnation: 1, Service: "a", Load: Load{Limit: 9},
		Routes: []RouteStat{{Route: RouteID(testRoute("a", true)), RunTime: 200 * time.Millisecond}}})
	// At least half of the run time of 200 ms must be left.
	for left, want := range map[time.Duration]StepKind{50 * time.Millisecond: StepDeliver, 500 * time.Millisecond: StepSend} {
		c, _ := n.StartCall(time.Second, IncomingRequest{ID: "1", Host: "h", Path: "/a/1", Timeout: time.Second})
		step := n.EndAttempt(c.Deadline-left, c, Outcome{Kind: OutcomeAnswered, Status: 504, ReachedUpstream: true})
		if step.Kind != want {
			t.Errorf("%v left: step %v, want %v", left, step.Kind, want)
		}
	}
}

// TestWindowCounterIsBounded checks that a counter that is never read holds the
// buckets of one window at most.
func TestWindowCounterIsBounded(t *testing.T) {
	var c windowCounter
	maxBuckets := int(testRetryBounds.Window/bucketWidth) + 1
	for now := time.Duration(0); now < time.Hour; now += bucketWidth {
		if c.add(now, testRetryBounds.Window, 1); len(c.buckets) > maxBuckets {
			t.Fatalf("%d buckets at %v, want at most %d", len(c.buckets), now, maxBuckets)
		}
	}
}

// TestRestartedNodesStayWithinRetryBounds guards against more retries than allowed because
// each node that starts has a share of its own, whatever its earlier process spent.
func TestRestartedNodesStayWithinRetryBounds(t *testing.T) {
	const requestInterval = 25 * time.Millisecond
	for _, lifetime := range []time.Duration{700 * time.Millisecond, 1500 * time.Millisecond, 3500 * time.Millisecond, 9 * time.Second, 11 * time.Second} {
		for _, unknownCalls := range []bool{false, true} {
			nodes, births := newFleet(t, testRoute("a", true)), map[int]time.Duration{}
			if !unknownCalls {
				for _, n := range nodes {
					learnNoDownstreamCalls(n)
				}
			}
			var requests, retries []time.Duration
			for now := time.Second; now < time.Minute; now += requestInterval {
				i := len(requests) % len(nodes)
				if now-births[i] > lifetime {
					births[i] = now
					cfg := nodes[i].cfg
					cfg.StartedAt = 0
					nodes[i] = startNode(t, cfg, testRoute("a", true))
					if !unknownCalls {
						learnNoDownstreamCalls(nodes[i])
					}
				}
				requests = append(requests, now)
				c, step := nodes[i].StartCall(now-births[i], IncomingRequest{ID: "1", Host: "h", Path: "/a/1"})
				for step.Kind == StepSend {
					if c.Attempts() > 1 {
						retries = append(retries, now)
					}
					step = nodes[i].EndAttempt(now-births[i], c, Outcome{Kind: OutcomeUnknown, Reason: ReasonLost, ReachedUpstream: true})
				}
			}
			for _, from := range retries {
				allowed := testRetryBounds.Slack + testRetryBounds.Ratio*testRetryBounds.Window.Seconds()/requestInterval.Seconds()
				if got := countWithin(retries, from); float64(got) > allowed {
					t.Errorf("restarted after %v, calls unknown %v: %d retries within a window, %.0f allowed", lifetime, unknownCalls, got, allowed)
					break
				}
			}
		}
	}
}

// countWithin counts the times in the retry window that starts at from.
func countWithin(list []time.Duration, from time.Duration) (count int) {
	for _, at := range list {
		if at >= from && at < from+testRetryBounds.Window {
			count++
		}
	}
	return count
}

// TestRetryIsAllowedBesideFormerlySlowUpstream guards against requests that are never sent again, because
// one upstream of the service reports the run time of a slow phase: it gets no requests that would
// change that.
func TestRetryIsAllowedBesideFormerlySlowUpstream(t *testing.T) {
	n := newFleet(t, testRoute("a", true))[3]
	learnNoDownstreamCalls(n)
	for instance, runTime := range map[string]time.Duration{"10.0.0.1": 20 * time.Millisecond, "10.0.0.2": 5 * time.Second} {
		n.ReceiveHeartbeat(time.Second, instance, Heartbeat{Incarnation: 1, Service: "a", Load: Load{Limit: 9},
			Routes: []RouteStat{{Route: RouteID(testRoute("a", true)), RunTime: runTime}}})
	}
	c, _ := n.StartCall(time.Second, IncomingRequest{ID: "1", Host: "h", Path: "/a/1", Timeout: time.Second})
	if step := n.EndAttempt(time.Second, c, Outcome{Kind: OutcomeUnknown, Reason: ReasonLost, ReachedUpstream: true}); step.Kind != StepSend {
		t.Errorf("step %+v with a second left, want another attempt", step)
	}
}
