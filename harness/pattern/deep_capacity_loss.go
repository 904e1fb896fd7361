package pattern

import "time"

// DeepLoss returns FanOut with half of the upstreams of the services read and deep
// removed. The capacity of deep is too small even for the most important requests
// alone. Readings never call deep, but they share the service read with calls that
// wait for it.
func DeepLoss(factor float64) Spec {
	s := FanOut(factor)
	s.Services[2].Targets, s.Services[3].Targets = 2, 2
	for i := range s.Demand {
		s.Demand[i].PerSecond = func(time.Duration) float64 { return factor * []float64{74, 40, 38}[i] }
	}
	return s
}
