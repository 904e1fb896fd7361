package loadpattern

import "time"

// FanOut returns a call graph in which one viewing or booking leads to ten calls
// of the deepest service, which is also the smallest. Viewings and bookings
// compete for that service; readings never call it. factor multiplies the normal
// demand, which needs 63 of the 76 slots of the deepest service. Nodes use up to
// 17 of the 19 slots of an upstream there.
func FanOut(factor float64) Spec {
	steady := func(perSecond float64) func(time.Duration) float64 {
		return func(time.Duration) float64 { return factor * perSecond }
	}
	return Spec{
		Services: []Service{
			{Name: "view", UpstreamCount: 4, Slots: 54, Speeds: []float64{0.6, 1, 1.4}},
			{Name: "book", UpstreamCount: 4, Slots: 54, Speeds: []float64{0.5, 1, 1, 1.5}},
			{Name: "read", UpstreamCount: 4, Slots: 54, Speeds: []float64{0.6, 1, 1.4}},
			{Name: "deep", UpstreamCount: 4, Slots: 19, Speeds: []float64{0.5, 1, 1, 1.5}},
		},
		Classes: []Class{
			{Name: "viewing", Service: "view", Priority: 2, Idempotent: true, WorkTime: 220 * time.Millisecond,
				Timeout: 1200 * time.Millisecond, LatencyGoal: 2 * time.Second, Calls: []CallGroup{{"lookup", 2, true}}},
			{Name: "booking", Service: "book", Priority: 0, WorkTime: 290 * time.Millisecond,
				Timeout: 1500 * time.Millisecond, LatencyGoal: 2 * time.Second, Calls: []CallGroup{{"feed", 2, true}}},
			{Name: "reading", Service: "read", Priority: 2, Idempotent: true, WorkTime: 550 * time.Millisecond,
				Timeout: 3 * time.Second, LatencyGoal: 1500 * time.Millisecond},
			{Name: "lookup", Service: "book", Priority: 1, Idempotent: true, WorkTime: 15 * time.Millisecond,
				Timeout: 3 * time.Second, Calls: []CallGroup{{"feed", 1, false}}},
			{Name: "feed", Service: "read", Priority: 1, Idempotent: true, WorkTime: 15 * time.Millisecond,
				Timeout: 2500 * time.Millisecond, Calls: []CallGroup{{"leaf", 5, false}}},
			{Name: "leaf", Service: "deep", Priority: 1, Idempotent: true, WorkTime: 55 * time.Millisecond,
				Timeout: 700 * time.Millisecond},
		},
		Demand: []Demand{
			{"viewing", steady(74)}, {"booking", steady(40)}, {"reading", steady(38)},
		},
		Duration: 30 * time.Second, Seed: 1, RetryRefusedOnce: true,
	}
}
