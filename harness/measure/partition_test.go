package measure

import (
	"testing"
	"time"

	"github.com/shallotspool/shallotspool/core/engine"
	"github.com/shallotspool/shallotspool/harness/sim"
)

// leastServed is the share of idempotent requests that each side of a cut has to
// serve of what its own upstreams can take.
const leastServed = 0.95

// TestEachSideServesItsReads: while one data centre is cut off, the callers of
// either side get their idempotent requests answered. Demand is 0.7 of capacity
// on both sides, so each side's upstreams can take all of its own.
func TestEachSideServesItsReads(t *testing.T) {
	for name, d := range deployments {
		for seed := uint64(1); seed <= 3; seed++ {
			for side, served := range readsServed(t, d, seed) {
				t.Logf("%s seed %d side %s: %.3f", name, seed, side, served)
				if served < leastServed {
					t.Errorf("%s, seed %d: side %s served %.3f", name, seed, side, served)
				}
			}
		}
	}
}

// readsServed returns the share of answered reads of each side during the cut.
func readsServed(t *testing.T, d deployment, seed uint64) map[string]float64 {
	t.Helper()
	w := fullWorld(t, d, seed)
	offer(w, d, normalDemand, warm, tail, 0)
	partition(w, d, normalDemand)
	asked, answered := map[string]float64{}, map[string]float64{}
	w.OnReply = func(entry *sim.Host, send *engine.Request, r engine.Reply) {
		if send.Method != "GET" || w.Now() < begin || w.Now() >= end {
			return
		}
		side := "whole"
		if entry.DataCentre() == "dc0" {
			side = "cut"
		}
		asked[side]++
		if r.Outcome == engine.OutcomeAnswered {
			answered[side]++
		}
	}
	w.Run(tail + 5*time.Second)
	if asked["cut"] == 0 || asked["whole"] == 0 {
		t.Fatalf("reads asked: %v", asked)
	}
	return map[string]float64{
		"cut": answered["cut"] / asked["cut"], "whole": answered["whole"] / asked["whole"],
	}
}
