package measure

import (
	"testing"
	"time"

	"github.com/shallotspool/shallotspool/core/engine"
	"github.com/shallotspool/shallotspool/harness/sim"
)

// minServedRatio is the minimum ratio of reads that must be answered on each side
// of a partition.
const minServedRatio = 0.95

// TestPartitionedSidesServeReads checks that the callers on both sides of a network
// partition get their reads answered. Demand is 0.7 of capacity, so the upstreams
// of each side have the capacity for all reads that enter there.
func TestPartitionedSidesServeReads(t *testing.T) {
	for name, d := range deployments {
		for seed := uint64(1); seed <= 3; seed++ {
			for side, served := range servedReadRatios(t, d, seed) {
				t.Logf("%s seed %d side %s: %.3f", name, seed, side, served)
				if served < minServedRatio {
					t.Errorf("%s, seed %d: side %s served %.3f, want at least %.2f", name, seed, side, served, minServedRatio)
				}
			}
		}
	}
}

// servedReadRatios returns the ratio of answered reads during the partition for
// each side: "cut" is the isolated data centre, "whole" all others.
func servedReadRatios(t *testing.T, d deployment, seed uint64) map[string]float64 {
	t.Helper()
	w := newFullPolicyWorld(t, d, seed)
	addLoad(w, d, normalDemand, loadStart, loadEnd, 0)
	partition(w, d, normalDemand)
	offered, answered := map[string]float64{}, map[string]float64{}
	w.OnReply = func(entry *sim.Host, send *engine.Request, r engine.Reply) {
		if send.Method != "GET" || w.Now() < disturbanceStart || w.Now() >= disturbanceEnd {
			return
		}
		side := "whole"
		if entry.DataCentre() == "dc0" {
			side = "cut"
		}
		offered[side]++
		if r.Outcome == engine.OutcomeAnswered {
			answered[side]++
		}
	}
	w.RunUntil(loadEnd + 5*time.Second)
	if offered["cut"] == 0 || offered["whole"] == 0 {
		t.Fatalf("reads offered: %v, want some on both sides", offered)
	}
	return map[string]float64{
		"cut": answered["cut"] / offered["cut"], "whole": answered["whole"] / offered["whole"],
	}
}
