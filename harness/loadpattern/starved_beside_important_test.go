package loadpattern_test

import (
	"fmt"
	"testing"

	"github.com/shallotspool/shallotspool/harness/loadpattern"
)

// minServedOfMean is the ratio to all requests at which each class has to be served, at
// least: a quarter as often.
const minServedOfMean = 0.25

// TestLowPriorityIsNotStarvedBesideImportant guards against a class of low priority that is
// served less than a quarter as often as all requests, in any data centre, because more
// important requests take all of a service that both need.
func TestLowPriorityIsNotStarvedBesideImportant(t *testing.T) {
	for _, factor := range []float64{2.5, 3.5, 5} {
		for seed := uint64(1); seed <= 4; seed++ {
			t.Run(fmt.Sprintf("%.1f times the demand, seed %d", factor, seed), func(t *testing.T) {
				checkNoneStarved(t, loadpattern.RunByOrigin(loadpattern.StarvedBesideImportant(factor, seed)))
			})
		}
	}
}

// TestPopularRequestIsNotStarved guards against a class of low priority that is starved beside
// more important ones because all its requests are the same: those of other callers were
// taken for one that came back after a refusal, and did not count as demand.
func TestPopularRequestIsNotStarved(t *testing.T) {
	for _, tt := range []struct {
		name                string
		returns, oneAddress bool
	}{
		{"callers return", true, false}, {"callers do not return", false, false}, {"callers return, from one address", true, true},
	} {
		for _, factor := range []float64{2.5, 3.5, 5} {
			t.Run(fmt.Sprintf("%s, %.1f times the demand", tt.name, factor), func(t *testing.T) {
				spec := loadpattern.StarvedBesideImportant(factor, 1)
				spec.SameContent, spec.RetryRefusedOnce, spec.OneAddress = true, tt.returns, tt.oneAddress
				checkNoneStarved(t, loadpattern.RunByOrigin(spec))
			})
		}
	}
}

// TestPopularPageBehindOneAddressIsNotStarved guards against the same if all callers send from
// one address and none comes back after a refusal.
func TestPopularPageBehindOneAddressIsNotStarved(t *testing.T) {
	for _, factor := range []float64{2.5, 3.5, 5} {
		spec := loadpattern.StarvedBesideImportant(factor, 1)
		spec.SameContent, spec.OneAddress, spec.RetryRefusedOnce = true, true, false
		checkNoneStarved(t, loadpattern.RunByOrigin(spec))
	}
}

func checkNoneStarved(t *testing.T, results map[loadpattern.Origin]loadpattern.Result) {
	var all loadpattern.Result
	byClass := map[string]loadpattern.Result{}
	for origin, r := range results {
		all = all.Add(r)
		byClass[origin.Class] = byClass[origin.Class].Add(r)
	}
	bound := minServedOfMean * all.AnsweredRatio()
	t.Logf("all %.3f %+v", all.AnsweredRatio(), all)
	for class, r := range byClass {
		t.Logf("%s %.3f %+v", class, r.AnsweredRatio(), r)
	}
	for origin, r := range results {
		if r.AnsweredRatio() < bound {
			t.Errorf("%s entering in %s: %.3f served, want at least %.3f", origin.Class, origin.DataCentre, r.AnsweredRatio(), bound)
		}
	}
}

// TestImportantGoesFirstBeyondMinimum guards against a minimum for all classes that takes
// more from the most important one than it has to. The nodes use 68 slots of the deepest
// service, at a mean speed of 1: a booking or a viewing needs 0.55 s of them, a change
// 0.18 s. Bookings get what is left after the minimum of the other two. The test requires
// two thirds of that, because the nodes start without any measurements, and that bookings
// are served at least as often as the others.
func TestImportantGoesFirstBeyondMinimum(t *testing.T) {
	const slots, deepTime, changeTime = 68, 0.55, 0.18
	for _, factor := range []float64{2.5, 3.5, 5} {
		spec := loadpattern.StarvedBesideImportant(factor, 1)
		got := loadpattern.Run(spec)
		var all loadpattern.Result
		for _, r := range got {
			all = all.Add(r)
		}
		minimum := minServedOfMean * all.AnsweredRatio()
		taken := minimum * (deepTime*float64(got["viewing"].Offered) + changeTime*float64(got["change"].Offered))
		left := (slots*spec.Duration.Seconds() - taken) / deepTime
		want := 2. / 3 * min(left/float64(got["booking"].Offered), 1)
		booking := got["booking"].AnsweredRatio()
		t.Logf("%.1f times the demand: bookings %.3f, viewings %.3f, changes %.3f, all %.3f", factor, booking,
			got["viewing"].AnsweredRatio(), got["change"].AnsweredRatio(), all.AnsweredRatio())
		if booking < want || booking < got["viewing"].AnsweredRatio() || booking < got["change"].AnsweredRatio() {
			t.Errorf("%.1f times the demand: bookings %.3f served, want at least %.3f and as often as others", factor, booking, want)
		}
	}
}
