package loadpattern

// OneSlowUpstream returns FanOut with one upstream of the deepest service at a
// speed of 0.1, so that some of its requests time out. At a factor of 0.6 the
// other upstreams have the capacity for the demand.
func OneSlowUpstream(factor float64) Spec {
	s := FanOut(factor)
	s.Services[3].Speeds = []float64{0.1, 1, 1, 1.5}
	return s
}
