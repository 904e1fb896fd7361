package measure

import (
	"testing"
	"time"

	"github.com/shallotspool/shallotspool/harness/sim"
)

// TestAttemptsStayWithinBudget checks that no request gets more attempts than its
// budget while messages and instances are lost and callers resend, in both
// generated trees.
func TestAttemptsStayWithinBudget(t *testing.T) {
	for tree, calls := range map[string]int{deepTree: 12, wideTree: 13} {
		for seed := uint64(1); seed <= 3; seed++ {
			d, text := generateTree(deployments["comics"], tree)
			w, err := sim.NewWorld(sim.Setup{
				Seed: seed, Document: text, DataCentres: d.dataCentres, Shape: d.upstreams, Parallel: d.parallelCalls,
			})
			if err != nil {
				t.Fatal(err)
			}
			w.Loss = 0.02
			w.Offer(sim.Load{Route: d.readRoute, Rate: 50, From: pressureStart, To: pressureEnd, Resends: 3, ResendAfter: 50 * time.Millisecond})
			upstreamLoss(w, d, 0)
			w.Run(pressureEnd + 5*time.Second)
			a := w.Stats.Attempts
			if a.Over > 0 || a.Max <= calls {
				t.Errorf("%s tree, seed %d: %d requests above their budget, highest number of attempts %d with a budget of %d",
					tree, seed, a.Over, a.Max, a.MaxBudget)
			}
			for _, h := range w.Hosts {
				if v := h.Node.Violations(); v.Count() > 0 {
					t.Errorf("%s tree, seed %d, %s: %+v", tree, seed, h.Target, v.Recent())
				}
			}
		}
	}
}
