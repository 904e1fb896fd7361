package pattern

// GreyShed is FanOut with a last service whose upstreams turn away more than half
// of what they get, while each could run all of it: nearly every request of a
// caller meets several refusals below.
func GreyShed(factor float64) Spec {
	s := FanOut(factor)
	s.Services[3].Sheds = []float64{0.55}
	return s
}
