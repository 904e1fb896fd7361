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
			t.Errorf("%s: %.3f served in time, want at least 0.97", class, r.ServedRatio())
		}
	}
}

// TestFanOutOverloaded checks that under 1.7 times the normal demand all bookings
// are served and viewings get the remaining capacity of the deepest service. Of
// the 68 slots that nodes use there, 17 per upstream, bookings take 68/s x 0.55 s
// = 37, which leaves capacity for 0.45 of the viewings. The test requires two
// thirds of that, because the nodes start without any measurements. Without
// admission control at the entry nodes hardly any viewing succeeds.
func TestFanOutOverloaded(t *testing.T) {
	spec := loadpattern.FanOut(1.7)
	got := loadpattern.Run(spec)
	spec.DisableEntryAdmission = true
	withoutAdmission := loadpattern.Run(spec)
	for class := range got {
		t.Logf("%s with entry admission %+v, without %+v", class, got[class], withoutAdmission[class])
	}
	for class, minRatio := range map[string]float64{"booking": 0.95, "viewing": 0.30, "reading": 0.95} {
		if r := got[class]; r.ServedRatio() < minRatio {
			t.Errorf("%s: %.3f served in time, want at least %.2f", class, r.ServedRatio(), minRatio)
		}
	}
	if withoutAdmission["viewing"].ServedRatio() >= got["viewing"].ServedRatio() {
		t.Errorf("viewings served in time: %.3f with entry admission, want more than the %.3f without",
			got["viewing"].ServedRatio(), withoutAdmission["viewing"].ServedRatio())
	}
}
