package loadpattern_test

import (
	"testing"

	"github.com/shallotspool/shallotspool/harness/loadpattern"
)

// TestDeepCapacityLoss checks that requests which never call the overloaded
// service are still served. The two upstreams of that service have speeds 0.5 and
// 1, so their 34 slots do the work of 25.5 at speed 1. A booking or a viewing needs 0.55 s
// there, which leaves capacity for 46 of 68 bookings per second, less the viewings that are
// served in any case: a quarter as often as all requests. The test requires two thirds of
// that ratio for bookings, the minimum for viewings, and a ratio of 0.8 for readings, all of
// which fit.
func TestDeepCapacityLoss(t *testing.T) {
	const slots, deepTime = 25.5, 0.55
	spec := loadpattern.DeepCapacityLoss(1.7)
	got := loadpattern.Run(spec)
	var all loadpattern.Result
	for class, r := range got {
		t.Logf("%s %+v", class, r)
		all = all.Add(r)
	}
	if r := got["reading"]; r.ServedRatio() < 0.8 {
		t.Errorf("reading: %.3f served in time, want at least 0.8", r.ServedRatio())
	}
	minimum := minServedOfMean * all.AnsweredRatio()
	if r := got["viewing"]; r.AnsweredRatio() < minimum {
		t.Errorf("viewing: %.3f served, want at least %.3f", r.AnsweredRatio(), minimum)
	}
	left := slots*spec.Duration.Seconds()/deepTime - minimum*float64(got["viewing"].Offered)
	want := 2. / 3 * left / float64(got["booking"].Offered)
	if r := got["booking"]; r.ServedRatio() < want {
		t.Errorf("booking: %.3f served in time, want at least %.3f", r.ServedRatio(), want)
	}
}
