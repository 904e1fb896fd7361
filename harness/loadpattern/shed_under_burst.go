package loadpattern

import "time"

// ShedUnderBurst returns a call graph of the given number of instances whose deepest service,
// with one in eighteen of them, gets four calls for each viewing and booking. The demand is 1.7
// times the normal one until 11 s. From 8 to 16 s all but one upstream of the deepest service
// shed more than half of their requests, even if few are running.
func ShedUnderBurst(instances int, seed uint64) Spec {
	const burst, burstEnd, shedStart, shedEnd = 1.7, 11 * time.Second, 8 * time.Second, 16 * time.Second
	share := float64(instances) / 195
	count := func(of float64) int { return max(int(of*share), 2) }
	demand := func(perSecond float64) func(time.Duration) float64 {
		return func(at time.Duration) float64 {
			if at < burstEnd {
				return burst * perSecond * share
			}
			return perSecond * share
		}
	}
	deep := count(11)
	shed := make([]float64, deep)
	for i := range deep - 1 {
		shed[i] = 0.55
	}
	return Spec{
		Services: []Service{
			{Name: "view", UpstreamCount: count(62), Slots: 90, Speeds: []float64{0.6, 1, 1.4}},
			{Name: "book", UpstreamCount: count(47), Slots: 90, Speeds: []float64{0.6, 1, 1.4}},
			{Name: "read", UpstreamCount: count(75), Slots: 90, Speeds: []float64{0.6, 1, 1.4}},
			{Name: "deep", UpstreamCount: deep, Slots: 66, Speeds: []float64{0.7, 1, 1.3}, ShedRatios: shed, ShedStart: shedStart, ShedEnd: shedEnd},
		},
		Classes: []Class{
			{Name: "viewing", Service: "view", Priority: 2, Idempotent: true, WorkTime: 480 * time.Millisecond,
				Timeout: 2500 * time.Millisecond, LatencyGoal: 2500 * time.Millisecond, Calls: []CallGroup{{"lookup", 1, true}}},
			{Name: "booking", Service: "book", Priority: 0, WorkTime: 620 * time.Millisecond,
				Timeout: 3 * time.Second, LatencyGoal: 2500 * time.Millisecond, Calls: []CallGroup{{"feed", 1, true}}},
			{Name: "lookup", Service: "book", Priority: 1, Idempotent: true, WorkTime: 15 * time.Millisecond,
				Timeout: 2500 * time.Millisecond, Calls: []CallGroup{{"feed", 1, false}}},
			{Name: "feed", Service: "read", Priority: 1, Idempotent: true, WorkTime: 15 * time.Millisecond,
				Timeout: 2 * time.Second, Calls: []CallGroup{{"leaf", 4, true}}},
			{Name: "leaf", Service: "deep", Priority: 1, Idempotent: true, WorkTime: 120 * time.Millisecond,
				Timeout: 700 * time.Millisecond},
		},
		Demand:   []Demand{{"viewing", demand(686)}, {"booking", demand(308)}},
		Duration: 17 * time.Second, Seed: seed, DataCentres: min(5, deep), RetryRefusedOnce: true,
	}
}
