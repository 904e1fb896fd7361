package loadpattern_test

import (
	"testing"

	"github.com/shallotspool/shallotspool/harness/loadpattern"
)

// TestOneLimitedUpstream checks that an upstream gets no more than the limit that it names,
// and that callers are served by the others, at the first service and at the deepest.
func TestOneLimitedUpstream(t *testing.T) {
	for service, perSecond := range map[int]float64{0: 3, 3: 10} {
		got, excess := loadpattern.ExcessOverLimits(loadpattern.OneLimitedUpstream(0.6, service, perSecond))
		if excess > 0 {
			t.Errorf("service %d: %.0f requests above what the limit allows in 4 s", service, excess)
		}
		for class, r := range got {
			t.Logf("service %d: %s %+v", service, class, r)
			if r.ServedRatio() < 0.95 {
				t.Errorf("service %d: %s: %.3f served in time, want at least 0.95", service, class, r.ServedRatio())
			}
		}
	}
}
