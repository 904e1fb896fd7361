package pattern

// SlowOne is FanOut with one upstream of the last service ten times slower than
// it was, so that its runs are given up; the others have room for the demand.
func SlowOne(factor float64) Spec {
	s := FanOut(factor)
	s.Services[3].Speeds = []float64{0.1, 1, 1, 1.5}
	return s
}
