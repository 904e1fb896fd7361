package pattern_test

import (
	"testing"

	"github.com/shallotspool/shallotspool/harness/pattern"
)

// TestGreyShedKeepsTheBound: repeats at no service exceed the operators' bound,
// those that repeats higher up lead to among them.
func TestGreyShedKeepsTheBound(t *testing.T) {
	for _, factor := range []float64{0.7, 1.3, 2} {
		spec := pattern.GreyShed(factor)
		if excess := pattern.Excess(spec); excess > 0 {
			t.Errorf("%.1f times the demand: %.0f repeats over the bound", factor, excess)
		} else {
			t.Logf("%.1f times the demand: %.0f below the bound", factor, -excess)
		}
	}
}
