package pattern

import "time"

// ShedMost is FanOut with three of the four upstreams of the last service turning
// away more than half of what they get, though they work on few requests: the
// fourth, with a third of the service's power, and a bounded number of repeats
// have to carry what is let in.
func ShedMost(factor float64) Spec {
	s := FanOut(factor)
	s.Services[3].Sheds = []float64{0.55, 0.55, 0.55, 0}
	s.Services[3].ShedFrom = 5 * time.Second
	return s
}
