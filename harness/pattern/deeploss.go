package pattern

import "time"

// DeepLoss is FanOut with half of the two last services gone: even the most
// important requests do not all fit into the last one, while readings, which
// never lead to it, share the other with calls that wait for it.
func DeepLoss(factor float64) Spec {
	s := FanOut(factor)
	s.Services[2].Targets, s.Services[3].Targets = 2, 2
	for i := range s.Demand {
		s.Demand[i].PerSecond = func(time.Duration) float64 { return factor * []float64{74, 40, 38}[i] }
	}
	return s
}
