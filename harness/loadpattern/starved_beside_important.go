package loadpattern

import "time"

// StarvedBesideImportant returns FanOut in four data centres with a further class of low
// priority that runs at the deepest service itself. At a factor of 2.5 the bookings, which
// are the most important, leave a fifth of that service to all others; from 3.1 on they
// alone exceed it.
func StarvedBesideImportant(factor float64, seed uint64) Spec {
	s := FanOut(factor)
	s.Seed, s.DataCentres = seed, 4
	s.Classes = append(s.Classes, Class{
		Name: "change", Service: "deep", Priority: 2, WorkTime: 180 * time.Millisecond,
		Timeout: time.Second, LatencyGoal: 500 * time.Millisecond,
	})
	s.Demand = append(s.Demand, Demand{"change", func(time.Duration) float64 { return factor * 9 }})
	return s
}
