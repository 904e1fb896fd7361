package loadpattern

// AllUpstreamsShed returns FanOut with a deepest service whose upstreams all shed
// more than half of their requests although they have the capacity to run them.
// Nearly every viewing and booking leads to several rejected calls.
func AllUpstreamsShed(factor float64) Spec {
	s := FanOut(factor)
	s.Services[3].ShedRatios = []float64{0.55}
	return s
}
