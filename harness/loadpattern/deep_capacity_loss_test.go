package loadpattern_test

import (
	"testing"

	"github.com/shallotspool/shallotspool/harness/loadpattern"
)

// TestDeepCapacityLoss checks that requests which never call the overloaded
// service are still served. The two upstreams of that service have speeds 0.5 and
// 1, so their 34 slots do the work of 25.5 at speed 1. A booking needs 0.55 s
// there, which leaves capacity for 46 of 68 bookings per second, a ratio of 0.68.
// The test requires two thirds of that ratio for bookings and a ratio of 0.8 for
// readings, all of which fit.
func TestDeepCapacityLoss(t *testing.T) {
	got := loadpattern.Run(loadpattern.DeepCapacityLoss(1.7))
	for class, r := range got {
		t.Logf("%s %+v", class, r)
	}
	if r := got["reading"]; r.ServedRatio() < 0.8 {
		t.Errorf("reading: %.3f served in time, want at least 0.8", r.ServedRatio())
	}
	if r := got["booking"]; r.ServedRatio() < 0.45 {
		t.Errorf("booking: %.3f served in time, want at least 0.45", r.ServedRatio())
	}
}
