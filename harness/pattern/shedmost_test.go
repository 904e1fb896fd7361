package pattern_test

import (
	"testing"

	"github.com/shallotspool/shallotspool/harness/pattern"
)

// TestShedMost: the sound upstream runs 1.5 x 17 / 0.055 = 464 calls a second, of
// which 40 bookings need 400: they go whole, and what does not fit is refused where
// it enters instead of failing. Two thirds of the bookings are wanted in time.
func TestShedMost(t *testing.T) {
	spec := pattern.ShedMost(1)
	got := pattern.Run(spec)
	for class, r := range got {
		t.Logf("%s %+v", class, r)
	}
	if r := got["booking"]; r.Ratio() < 0.67 {
		t.Errorf("bookings: %.3f served in time", r.Ratio())
	}
	if r := got["viewing"]; r.Failed > r.Asked/5 {
		t.Errorf("views: %d of %d failed after they were let in", r.Failed, r.Asked)
	}
	if excess := pattern.Excess(spec); excess > 0 {
		t.Errorf("%.0f repeats over the bound", excess)
	}
}
