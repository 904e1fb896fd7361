package loadpattern_test

import (
	"testing"

	"github.com/shallotspool/shallotspool/harness/loadpattern"
)

// TestMostUpstreamsShed checks that excess requests are refused at their entry
// nodes and do not fail later. The healthy upstream runs 1.5 x 17 / 0.055 s = 464
// calls per second, and 40 bookings per second need 400 of them, so it has the
// capacity for all bookings. The test requires two thirds of them in time and
// lets at most a fifth of the viewings fail after they were admitted.
func TestMostUpstreamsShed(t *testing.T) {
	spec := loadpattern.MostUpstreamsShed(1)
	got := loadpattern.Run(spec)
	for class, r := range got {
		t.Logf("%s %+v", class, r)
	}
	if r := got["booking"]; r.ServedRatio() < 0.67 {
		t.Errorf("booking: %.3f served in time, want at least 0.67", r.ServedRatio())
	}
	if r := got["viewing"]; r.Failed > r.Offered/5 {
		t.Errorf("viewing: %d of %d failed after admission, want at most a fifth", r.Failed, r.Offered)
	}
	if excess := loadpattern.ExcessRetries(spec); excess > 0 {
		t.Errorf("%.0f retries above the bound", excess)
	}
}
