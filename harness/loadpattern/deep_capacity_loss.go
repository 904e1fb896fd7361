package loadpattern

import "time"

// DeepCapacityLoss returns FanOut with half of the upstreams of the services read
// and deep removed. From a factor of 1.2 on, the capacity of deep is too small
// even for the most important requests, the bookings, alone. Readings never call
// deep, but they share the service read with calls that wait for it.
func DeepCapacityLoss(factor float64) Spec {
	s := FanOut(factor)
	s.Services[2].UpstreamCount, s.Services[3].UpstreamCount = 2, 2
	for i := range s.Demand {
		s.Demand[i].Rate = func(time.Duration) float64 { return factor * []float64{74, 40, 38}[i] }
	}
	return s
}
