package loadpattern

import "time"

// MostUpstreamsShed returns FanOut with a deepest service where three of the four
// upstreams shed more than half of their requests, even if few are running. The
// admitted requests depend on the fourth upstream, which has three eighths of the
// service's capacity, and on a bounded number of retries.
func MostUpstreamsShed(factor float64) Spec {
	s := FanOut(factor)
	s.Services[3].ShedRatios = []float64{0.55, 0.55, 0.55, 0}
	s.Services[3].ShedStart = 5 * time.Second
	return s
}
