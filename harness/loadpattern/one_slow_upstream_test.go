package loadpattern_test

import (
	"testing"

	"github.com/shallotspool/shallotspool/harness/loadpattern"
)

// TestOneSlowUpstream checks that nodes avoid a slow upstream when the three
// healthy ones have the capacity for the demand. Nodes need about the first second
// to detect it, which is a thirtieth of the run.
func TestOneSlowUpstream(t *testing.T) {
	got := loadpattern.Run(loadpattern.OneSlowUpstream(0.6))
	for class, r := range got {
		t.Logf("%s %+v", class, r)
		if r.ServedRatio() < 0.95 {
			t.Errorf("%s: %.3f served in time, want at least 0.95", class, r.ServedRatio())
		}
	}
}
