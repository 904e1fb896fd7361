package measure

import (
	"time"

	"github.com/shallotspool/shallotspool/core/idempotency"
	"github.com/shallotspool/shallotspool/harness/sim"
)

const (
	// deepSlowFactor is the factor on the working time of the deepest service in
	// case deep_slow.
	deepSlowFactor = 4
	// stormResends is the maximum number of resends of an unanswered request,
	// stormResendDelay the delay before each of them, and stormResendTimeout how
	// long after the first send a caller resends.
	stormResends       = 12
	stormResendDelay   = 20 * time.Millisecond
	stormResendTimeout = resendWindow
	// coldStartFactor is the factor on the working time of an upstream after a cold
	// start, and coldStartTime how long it lasts.
	coldStartFactor = 4
	coldStartTime   = 2 * time.Second
)

func init() {
	scenarios["deep_slow"] = scenario{start: deepSlow, callersResend: true, capacityShare: deepSlowCapacityShare}
	scenarios["retry_storm"] = scenario{start: retryStorm, callersResend: true}
	scenarios["cold_start"] = scenario{start: coldStart, capacityShare: coldStartCapacityShare}
}

// deepSlow slows the deepest service down during a surge of demand.
func deepSlow(w *sim.World, d deployment, demand float64) {
	addResendingLoad(w, d, demand-normalDemand, disturbanceStart, disturbanceEnd)
	w.After(disturbanceStart-w.Now(), func() { setDeepestServiceSlowFactor(w, d, deepSlowFactor) })
	w.After(disturbanceEnd-w.Now(), func() { setDeepestServiceSlowFactor(w, d, 1) })
}

// setDeepestServiceSlowFactor sets the factor on the working time of the deepest
// service.
func setDeepestServiceSlowFactor(w *sim.World, d deployment, factor float64) {
	for _, h := range deepestHosts(w, d) {
		h.Upstream.SlowFactor = factor
	}
}

// deepestHosts returns the instances of the deepest service.
func deepestHosts(w *sim.World, d deployment) []*sim.Host {
	var hosts []*sim.Host
	for i := range d.targetsPerService {
		hosts = append(hosts, w.Host(idempotency.TargetName(d.services[len(d.services)-1], i+1)))
	}
	return hosts
}

// addResendingLoad adds load like addLoad, from callers who resend unanswered
// requests many times with a short delay.
func addResendingLoad(w *sim.World, d deployment, demand float64, from, to time.Duration) {
	for _, l := range d.loads(demand, from, to) {
		l.MaxResends, l.ResendDelay, l.ResendTimeout = stormResends, stormResendDelay, stormResendTimeout
		w.AddLoad(l)
	}
}

// retryStorm is a surge of demand from callers who resend unanswered requests.
func retryStorm(w *sim.World, d deployment, demand float64) {
	addResendingLoad(w, d, demand-normalDemand, disturbanceStart, disturbanceEnd)
}

// coldStart restarts all instances of the deepest service but one, with slow
// upstreams at first, during a surge of demand.
func coldStart(w *sim.World, d deployment, demand float64) {
	addExcessLoad(w, d, demand)
	for _, h := range deepestHosts(w, d)[1:] {
		w.After(disturbanceStart-w.Now(), func() {
			h.Kill()
			h.Upstream.SlowFactor = coldStartFactor
			h.Start()
		})
		w.After(disturbanceStart+coldStartTime-w.Now(), func() { h.Upstream.SlowFactor = 1 })
	}
}

// deepSlowCapacityShare returns the ratio of capacity available in case deep_slow.
func deepSlowCapacityShare(deployment) float64 { return 1.0 / deepSlowFactor }

// coldStartCapacityShare returns the mean ratio of the deepest service's capacity
// that is available during the disturbance of case cold_start.
func coldStartCapacityShare(d deployment) float64 {
	coldShare := coldStartTime.Seconds() / (disturbanceEnd - disturbanceStart).Seconds()
	restarted := coldShare/coldStartFactor + 1 - coldShare
	return (1 + float64(d.targetsPerService-1)*restarted) / float64(d.targetsPerService)
}

// overloadSpecs returns the runs of the overload cases except surge, and the runs
// with ablations of the mechanisms against overload, which include surge.
func overloadSpecs(seeds []uint64) []Spec {
	var specs []Spec
	for _, deployment := range []string{"comics", "charter"} {
		for _, name := range []string{"deep_slow", "retry_storm", "cold_start"} {
			for _, policy := range []string{"none", "static", "full"} {
				specs = append(specs, Spec{Case: name, Policy: policy, Deployment: deployment, Demand: 3})
			}
		}
		for _, mechanism := range []string{"adaptive", "classes", "levels", "deadlines"} {
			specs = append(specs, Spec{Case: "surge", Policy: ablationPrefix + mechanism, Deployment: deployment, Demand: 3})
		}
		specs = append(specs, Spec{Case: "deep_slow", Policy: ablationPrefix + "deadlines", Deployment: deployment, Demand: 3})
	}
	return withSeeds(specs, seeds)
}
