package ceiling_test

import (
	"math"
	"slices"
	"testing"

	"github.com/shallotspool/shallotspool/harness/ceiling"
)

// largeWindow returns a window of the comics office's large deployment: burst is the factor on
// its demand at a heavy day's level, deep the sound slots of its smallest service.
func largeWindow(burst, deep float64) ceiling.Window {
	const calls, callTime = 4, 0.12
	return ceiling.Window{
		Slots: map[string]float64{"deep": deep, "view": 62 * 84, "book": 47 * 84, "read": 75 * 84},
		Routes: []ceiling.Route{
			{Name: "list", Demand: 686 * burst, Worth: 1, Loads: map[string]float64{"deep": calls * callTime, "view": 0.48 + calls*callTime}},
			{Name: "reserve", Demand: 308 * burst, Worth: 3, Loads: map[string]float64{"deep": calls * callTime, "book": 0.62 + calls*callTime}},
			{Name: "arrivals", Demand: 350 * burst, Worth: 1, Loads: map[string]float64{"read": 1.2}},
			{Name: "transfer", Demand: 81 * burst, Worth: 1, Loads: map[string]float64{"deep": 0.38}},
		},
	}
}

// TestCeilingOfLargeWindows computes the windows of docs/design/large.md.
func TestCeilingOfLargeWindows(t *testing.T) {
	for _, tt := range []struct {
		name           string
		burst, deep    float64
		worth, reserve float64
	}{
		// 682 slots: 889 of the 1,689 requests with calls, after reservations and transfers.
		{"burst", 1.7, 682, 0.891, 523.6},
		// 62 slots: 129 reservations, nothing else that needs the service.
		{"burst, ten of eleven upstreams shed", 1.7, 62, 0.283, 129.2},
		{"ten of eleven upstreams shed", 1, 62, 0.361, 129.2},
	} {
		got, err := ceiling.Compute(largeWindow(tt.burst, tt.deep))
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%s: %+v", tt.name, got)
		if math.Abs(got.WorthRatio-tt.worth) > 0.001 || math.Abs(got.Served["reserve"]-tt.reserve) > 1 || !slices.Equal(got.Binding, []string{"deep"}) {
			t.Errorf("%s: %+v, want a worth of %.3f and %.1f reservations, bound by deep", tt.name, got, tt.worth, tt.reserve)
		}
	}
}

// TestCeilingWithoutBound checks that everything is served if no service binds.
func TestCeilingWithoutBound(t *testing.T) {
	got, err := ceiling.Compute(largeWindow(1, 5000))
	if err != nil || math.Abs(got.WorthRatio-1) > 1e-9 || len(got.Binding) != 0 {
		t.Errorf("%+v, error %v; want everything served", got, err)
	}
}
