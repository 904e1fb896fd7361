package pattern_test

import (
	"testing"

	"github.com/shallotspool/shallotspool/harness/pattern"
)

// TestSlowOne: at a demand that the three sound upstreams have room for, views and
// bookings are served as if the slow one were not there. The first second, in
// which nodes learn which one it is, is a thirtieth of the run.
func TestSlowOne(t *testing.T) {
	got := pattern.Run(pattern.SlowOne(0.6))
	for class, r := range got {
		t.Logf("%s %+v", class, r)
		if r.Ratio() < 0.95 {
			t.Errorf("%s: %.3f served in time", class, r.Ratio())
		}
	}
}
