package loadpattern

// OneLimitedUpstream returns FanOut with one upstream of the given service that names a
// limit far below its share of the demand. At a factor of 0.6 the other upstreams have the
// capacity for the rest.
func OneLimitedUpstream(factor float64, service int, perSecond float64) Spec {
	s := FanOut(factor)
	s.Services[service].RateLimits = []float64{perSecond, 0, 0, 0}
	return s
}
