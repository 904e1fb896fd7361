package measure

import (
	"time"

	"github.com/shallotspool/shallotspool/core/engine"
	"github.com/shallotspool/shallotspool/core/owner"
	"github.com/shallotspool/shallotspool/harness/sim"
)

const (
	// drainEvery is the time between two graceful stops of case drain.
	drainEvery = 500 * time.Millisecond
	// checkEvery is how often a case looks at the nodes.
	checkEvery = 50 * time.Millisecond
)

func init() { scenarios["drain"] = scenario{trigger: drain} }

// drain replaces one instance of each service while demand goes on: it is
// stopped gracefully, and started again, cold and without a memory, once it has
// ended.
func drain(w *sim.World, d deployment, demand float64) {
	offer(w, d, demand-normalDemand, begin, end, 0)
	for i, service := range d.chain {
		h := w.Host(owner.TargetName(service, 1+i%d.targets))
		w.After(begin+time.Duration(i)*drainEvery-w.Now(), func() { replace(w, h) })
	}
}

// replace stops h gracefully and starts it again once it has ended.
func replace(w *sim.World, h *sim.Host) {
	h.Step(&engine.StopRequested{})
	var wait func()
	wait = func() {
		if h.Alive() {
			w.After(checkEvery, wait)
			return
		}
		h.Start()
	}
	wait()
}

// controlSpecs returns the runs of the cases drain and stale_config.
func controlSpecs(seeds []uint64) []Spec {
	var specs []Spec
	for _, name := range []string{"stale_config", "drain"} {
		for _, deployment := range []string{"comics", "charter"} {
			for _, policy := range []string{"none", "static", "full"} {
				specs = append(specs, Spec{Case: name, Policy: policy, Deployment: deployment, Demand: normalDemand})
			}
		}
	}
	return withSeeds(specs, seeds)
}
