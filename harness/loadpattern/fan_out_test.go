package loadpattern_test

import (
	"testing"

	"github.com/shallotspool/shallotspool/harness/loadpattern"
)

// TestFanOutWithinCapacity checks that nearly all requests are served in time when
// demand is below capacity.
func TestFanOutWithinCapacity(t *testing.T) {
	for class, r := range loadpattern.Run(loadpattern.FanOut(0.7)) {
		t.Logf("%s %+v", class, r)
		if r.ServedRatio() < 0.97 {
			t.Errorf("%s: %.3f served in time", class, r.ServedRatio())
		}
	}
}

// TestFanOutOverloaded checks that under 1.7 times the normal demand all bookings
// are served and viewings get the remaining capacity of the deepest service. Of 68
// slots there, 17 per upstream, bookings use 68/s x 0.55 s = 37 slots, which
// leaves capacity for 0.45 of the viewings. The test requires two thirds of that,
// because the nodes start without any measurements. Without admission control at
// the entry nodes hardly any viewing succeeds.
func TestFanOutOverloaded(t *testing.T) {
	spec := loadpattern.FanOut(1.7)
	got := loadpattern.Run(spec)
	spec.DisableEntryAdmission = true
	open := loadpattern.Run(spec)
	for class := range got {
		t.Logf("%s with entry admission %+v, without %+v", class, got[class], open[class])
	}
	for class, least := range map[string]float64{"booking": 0.95, "viewing": 0.30, "reading": 0.95} {
		if r := got[class]; r.ServedRatio() < least {
			t.Errorf("%s: %.3f served in time, want %.2f", class, r.ServedRatio(), least)
		}
	}
	if open["viewing"].ServedRatio() >= got["viewing"].ServedRatio() {
		t.Errorf("entry admission does not increase the ratio of viewings served in time")
	}
}
