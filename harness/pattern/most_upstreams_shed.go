package pattern

import "time"

// ShedMost returns FanOut with a deepest service where three of the four upstreams
// shed more than half of their requests although few are running. The admitted
// requests depend on the fourth upstream, which has a third of the service's
// capacity, and on a bounded number of retries.
func ShedMost(factor float64) Spec {
	s := FanOut(factor)
	s.Services[3].Sheds = []float64{0.55, 0.55, 0.55, 0}
	s.Services[3].ShedFrom = 5 * time.Second
	return s
}
