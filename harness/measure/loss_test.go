package measure

import (
	"testing"
	"time"

	"github.com/shallotspool/shallotspool/harness/sim"
)

// TestAttemptsStayWithinTheirBudget loses messages and instances while callers
// send again, in a chain of twelve and in a tree with parallel calls.
func TestAttemptsStayWithinTheirBudget(t *testing.T) {
	for tree, calls := range map[string]int{deepTree: 12, wideTree: 13} {
		for seed := uint64(1); seed <= 3; seed++ {
			d, text := deepen(deployments["comics"], tree)
			w, err := sim.NewWorld(sim.Setup{
				Seed: seed, Document: text, DataCentres: d.centres, Shape: d.shape, Parallel: d.parallel,
			})
			if err != nil {
				t.Fatal(err)
			}
			w.Loss = 0.02
			w.Offer(sim.Load{Route: d.reads, Rate: 50, From: begin, To: end, Resends: 3, ResendAfter: 50 * time.Millisecond})
			upstreamLoss(w, d, 0)
			w.Run(end + 5*time.Second)
			a := w.Stats.Attempts
			if a.Over > 0 || a.Max <= calls {
				t.Errorf("%s tree, seed %d: %d requests beyond their budget, at most %d attempts of %d",
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
