package measure

import (
	"testing"
	"time"

	"github.com/shallotspool/shallotspool/harness/sim"
)

// TestAttemptsStayWithinBudget checks that no request gets more attempts than its
// budget while messages and instances are lost and callers resend, in both
// generated trees. MaxAttempts must exceed the number of calls in the tree, which
// shows that retries were made.
func TestAttemptsStayWithinBudget(t *testing.T) {
	for tree, calls := range map[string]int{deepTree: 12, wideTree: 13} {
		for seed := uint64(1); seed <= 3; seed++ {
			d, text := generateTree(deployments["comics"], tree)
			w, err := sim.NewWorld(sim.Config{
				Seed: seed, Document: text, DataCentres: d.dataCentres, Upstreams: d.upstreams, ParallelCalls: d.parallelCalls,
			})
			if err != nil {
				t.Fatal(err)
			}
			w.LossRatio = 0.02
			w.AddLoad(sim.Load{Route: d.readRoute, Rate: 50, From: disturbanceStart, To: disturbanceEnd, MaxResends: 3, ResendDelay: 50 * time.Millisecond})
			upstreamLoss(w, d, 0)
			w.RunUntil(disturbanceEnd + 5*time.Second)
			a := w.Stats.Attempts
			if a.OverBudget > 0 || a.MaxAttempts <= calls {
				t.Errorf("%s tree, seed %d: %d requests above their budget, want none; highest number of attempts %d with a budget of %d, want more than %d",
					tree, seed, a.OverBudget, a.MaxAttempts, a.AttemptBudget, calls)
			}
			for _, h := range w.Hosts {
				if v := h.Node.InvariantChecker(); v.Count() > 0 {
					t.Errorf("%s tree, seed %d, %s: %+v", tree, seed, h.Target, v.First())
				}
			}
		}
	}
}
