package loadpattern_test

import (
	"fmt"
	"testing"

	"github.com/shallotspool/shallotspool/harness/loadpattern"
)

// TestShedUnderBurst guards against calls deep in a call tree that go to upstreams which shed
// half of them, because these are nearer than a sound one. Each such call failed a whole request
// after its work.
//
// The sound upstream carries four calls of 0.12 s for each booking in 62 slots. From two seconds
// after the start of the faults on, at least half of that has to be served, and at most one
// booking in ten may fail after it was admitted.
func TestShedUnderBurst(t *testing.T) {
	const slots, callsTime, bookings = 62, 4 * 0.12, 308.
	for _, size := range []struct {
		instances int
		seeds     uint64
	}{{48, 4}, {195, 2}} {
		for seed := uint64(1); seed <= size.seeds; seed++ {
			t.Run(fmt.Sprintf("%d instances, seed %d", size.instances, seed), func(t *testing.T) {
				got, excess := loadpattern.RunByPeriod(loadpattern.ShedUnderBurst(size.instances, seed))
				var sum loadpattern.Result
				for second := 10; second < 14; second++ {
					sum = sum.Add(got[loadpattern.Period{Class: "booking", Second: second}])
				}
				share := float64(size.instances) / 195
				want := min(slots/callsTime/(bookings*share), 1) / 2
				failed := float64(sum.Failed) / float64(sum.Offered)
				t.Logf("served %.3f of the bookings, failed %.3f", sum.AnsweredRatio(), failed)
				if sum.AnsweredRatio() < want || failed > 0.1 {
					t.Errorf("served %.3f, failed %.3f; want at least %.3f and at most 0.1", sum.AnsweredRatio(), failed, want)
				}
				if excess > 0 {
					t.Errorf("%.0f retries above the bound", excess)
				}
			})
		}
	}
}
