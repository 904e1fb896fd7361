package loadpattern_test

import (
	"testing"

	"github.com/shallotspool/shallotspool/harness/loadpattern"
)

// TestAllUpstreamsShedRetryBound checks that the retries arriving at each service
// stay within the configured bound, including calls that are caused by retries
// further up the call chain.
func TestAllUpstreamsShedRetryBound(t *testing.T) {
	for _, factor := range []float64{0.7, 1.3, 2} {
		spec := loadpattern.AllUpstreamsShed(factor)
		if excess := loadpattern.ExcessRetries(spec); excess > 0 {
			t.Errorf("%.1f times the normal demand: %.0f retries above the bound", factor, excess)
		} else {
			t.Logf("%.1f times the normal demand: %.0f retries below the bound", factor, -excess)
		}
	}
}
