package measure

import (
	"time"

	"github.com/shallotspool/shallotspool/core/owner"
	"github.com/shallotspool/shallotspool/harness/sim"
)

const (
	// slowness is the factor by which the deepest service works slower in case
	// deep_slow.
	slowness = 4
	// stormResends is how often a caller who does not give up sends a request
	// again, stormPause the pause before and stormPatience how long it goes on.
	stormResends  = 12
	stormPause    = 20 * time.Millisecond
	stormPatience = resendWindow
	// coldness is the factor by which a cold upstream works slower, and coldTime
	// how long it takes to warm up.
	coldness = 4
	coldTime = 2 * time.Second
)

func init() {
	scenarios["deep_slow"] = scenario{trigger: deepSlow, hard: true, able: slowedShare}
	scenarios["retry_storm"] = scenario{trigger: retryStorm, hard: true}
	scenarios["cold_start"] = scenario{trigger: coldStart, able: warmShare}
}

// deepSlow slows the deepest service down while demand surges.
func deepSlow(w *sim.World, d deployment, demand float64) {
	offerHard(w, d, demand-normalDemand, begin, end)
	w.After(begin-w.Now(), func() { slow(w, d, slowness) })
	w.After(end-w.Now(), func() { slow(w, d, 1) })
}

func slow(w *sim.World, d deployment, factor float64) {
	for _, h := range deepest(w, d) {
		h.Upstream.Slow = factor
	}
}

// deepest returns the instances of the deepest service.
func deepest(w *sim.World, d deployment) []*sim.Host {
	var hosts []*sim.Host
	for i := range d.targets {
		hosts = append(hosts, w.Host(owner.TargetName(d.chain[len(d.chain)-1], i+1)))
	}
	return hosts
}

// offerHard is offer by callers who send again, almost at once and many times,
// whatever was not answered.
func offerHard(w *sim.World, d deployment, share float64, from, to time.Duration) {
	for _, l := range d.loads(share, from, to) {
		l.Resends, l.ResendAfter, l.Patience = stormResends, stormPause, stormPatience
		w.Offer(l)
	}
}

// retryStorm is a surge by callers who do not give up.
func retryStorm(w *sim.World, d deployment, demand float64) {
	offerHard(w, d, demand-normalDemand, begin, end)
}

// coldStart replaces every upstream of the deepest service but one by a cold one
// while demand surges.
func coldStart(w *sim.World, d deployment, demand float64) {
	offer(w, d, demand-normalDemand, begin, end, 0)
	for _, h := range deepest(w, d)[1:] {
		w.After(begin-w.Now(), func() {
			h.Kill()
			h.Upstream.Slow = coldness
			h.Start()
		})
		w.After(begin+coldTime-w.Now(), func() { h.Upstream.Slow = 1 })
	}
}

func slowedShare(deployment) float64 { return 1.0 / slowness }

// warmShare is the mean share of the deepest service's capacity over the
// pressure of case cold_start.
func warmShare(d deployment) float64 {
	cold := coldTime.Seconds() / (end - begin).Seconds()
	each := cold/coldness + 1 - cold
	return (1 + float64(d.targets-1)*each) / float64(d.targets)
}

// pressureSpecs returns the runs of the cases that test recovery, and the
// ablations of what this package's cases are about.
func pressureSpecs(seeds []uint64) []Spec {
	var specs []Spec
	for _, deployment := range []string{"comics", "charter"} {
		for _, name := range []string{"deep_slow", "retry_storm", "cold_start"} {
			for _, policy := range []string{"none", "static", "full"} {
				specs = append(specs, Spec{Case: name, Policy: policy, Deployment: deployment, Demand: 3})
			}
		}
		for _, mechanism := range []string{"adaptive", "classes", "levels", "deadlines"} {
			specs = append(specs, Spec{Case: "surge", Policy: ablation + mechanism, Deployment: deployment, Demand: 3})
		}
		specs = append(specs, Spec{Case: "deep_slow", Policy: ablation + "deadlines", Deployment: deployment, Demand: 3})
	}
	return withSeeds(specs, seeds)
}
