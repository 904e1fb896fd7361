package measure

import (
	"time"

	"github.com/shallotspool/shallotspool/core/engine"
	"github.com/shallotspool/shallotspool/core/idempotency"
	"github.com/shallotspool/shallotspool/harness/sim"
)

const (
	// restartInterval is the time between the graceful stops of two instances.
	restartInterval = 500 * time.Millisecond
	// checkInterval is the polling interval for the state of nodes.
	checkInterval = 50 * time.Millisecond
)

func init() { scenarios["drain"] = scenario{start: restartOnePerService} }

// restartOnePerService restarts one instance of each service gracefully under load.
// The new incarnations have no state of the earlier ones.
func restartOnePerService(w *sim.World, d deployment, demand float64) {
	addExcessLoad(w, d, demand)
	for i, service := range d.services {
		h := w.Host(idempotency.TargetName(service, 1+i%d.targetsPerService))
		stopAt := disturbanceStart + time.Duration(i)*restartInterval
		w.After(stopAt-w.Now(), func() { restartGracefully(w, h) })
	}
}

// restartGracefully stops h gracefully and starts it again once it has stopped.
func restartGracefully(w *sim.World, h *sim.Host) {
	h.Step(&engine.StopRequested{})
	var startOnceStopped func()
	startOnceStopped = func() {
		if h.Alive() {
			w.After(checkInterval, startOnceStopped)
			return
		}
		h.Start()
	}
	startOnceStopped()
}

// restartSpecs returns the runs of the cases drain and stale_config, which restart
// instances gracefully.
func restartSpecs(seeds []uint64) []Spec {
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
