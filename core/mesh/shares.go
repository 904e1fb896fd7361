package mesh

import (
	"cmp"
	"math"
	"slices"
)

const (
	// targetUtilisation is the share of a service's slots that admitted requests
	// should fill. Excess requests accumulate in the queue, and the slots needed to work
	// it off are deducted in the next plan; see queueDrainTime.
	targetUtilisation = 1.0
)

// setShares sets the share of each route's requests for which every service it uses
// has capacity after the more important routes and the minimum of all routes are served. At
// equal priority, routes with a smaller dominant share come first, because this serves the
// most callers.
func (a *admission) setShares(demand []fleetDemand) {
	slices.SortStableFunc(demand, func(x, y fleetDemand) int {
		return cmp.Or(cmp.Compare(x.priority, y.priority), cmp.Compare(a.dominantShare(x.root), a.dominantShare(y.root)))
	})
	shares, minimums := a.planShares(demand, 0)
	for range minimumRounds {
		shares, minimums = a.planShares(demand, minAdmittedOfMean*meanAdmitted(demand, shares))
	}
	for root, d := range a.demand {
		d.share, d.minimum = 1, 0
		if share, known := shares[root]; known {
			d.share, d.minimum = max(share, minShare), minimums[root]
		}
		if d.share >= 1 {
			d.credit = max(d.credit, 1)
		}
	}
}

// planShares returns the shares of all routes if each of them gets the given part of its
// requests before the more important ones get the rest, and the shares that this part takes.
func (a *admission) planShares(demand []fleetDemand, part float64) (shares, minimums map[uint32]float64) {
	free := map[string]freeSlots{}
	for name, view := range a.services {
		free[name] = freeSlots{reliable: targetUtilisation*view.slots - view.backlog, bestEffortOnly: targetUtilisation * (view.bestEffortSlots - view.slots)}
	}
	minimums = a.minimumShares(demand, free, part)
	for _, d := range demand {
		a.deduct(d, minimums[d.root], free)
	}
	shares = map[uint32]float64{}
	for _, d := range demand {
		rest := min(a.fitShare(d, free), 1-minimums[d.root])
		a.deduct(d, rest, free)
		shares[d.root] = minimums[d.root] + rest
	}
	return shares, minimums
}

// fitShare returns the share of d that fits into the free slots. A service without a
// current heartbeat imposes no limit, for example before the first one or while all its
// upstreams are ejected or draining. A service whose upstreams are all silent has no free
// slots.
func (a *admission) fitShare(d fleetDemand, free map[string]freeSlots) float64 {
	bestEffort := a.usesBestEffort(d)
	share := 1.0
	for name, l := range a.loads[d.root] {
		view, required := a.services[name], d.offered*l.perRequest.get()
		if view != nil && (view.slots > 0 || view.allSilent) && required > 0 {
			share = min(share, max(free[name].available(bestEffort)/required, 0))
		}
	}
	return share
}

// deduct takes the slots for a share of d from the free ones.
func (a *admission) deduct(d fleetDemand, share float64, free map[string]freeSlots) {
	bestEffort := a.usesBestEffort(d)
	for name, l := range a.loads[d.root] {
		free[name] = free[name].without(share*d.offered*l.perRequest.get(), bestEffort)
	}
}

// usesBestEffort reports whether the requests of a route may use the slots of faulty
// upstreams.
func (a *admission) usesBestEffort(d fleetDemand) bool {
	return a.runsAtOneService(d.root) || d.idempotent && a.successProbability(d.root) >= minSuccessProbability
}

// successProbability returns the probability that a request succeeds if none of its
// calls is retried.
func (a *admission) successProbability(root uint32) float64 {
	probability := 1.0
	for name, l := range a.loads[root] {
		if view := a.services[name]; view != nil {
			probability *= math.Pow(1-view.faultShare, l.visits.get())
		}
	}
	return probability
}

// freeSlots holds the slots of a service that are not yet assigned to a route.
// bestEffortOnly are those of faulty upstreams. They are usable only by requests that use
// a single service, or that are idempotent and have a fair probability of success. Other
// requests would mostly fail there after much work, and their outcome could be unknown.
type freeSlots struct{ reliable, bestEffortOnly float64 }

func (f freeSlots) available(bestEffort bool) float64 {
	if bestEffort {
		return f.reliable + f.bestEffortOnly
	}
	return f.reliable
}

// without returns the free slots after some are taken.
func (f freeSlots) without(slots float64, bestEffort bool) freeSlots {
	if bestEffort {
		taken := min(slots, f.bestEffortOnly)
		f.bestEffortOnly -= taken
		slots -= taken
	}
	f.reliable -= slots
	return f
}

// runsAtOneService reports whether the requests of a route use exactly one service.
func (a *admission) runsAtOneService(root uint32) bool {
	services := 0
	for name, l := range a.loads[root] {
		if a.services[name] != nil && l.visits.get() > 0 {
			services++
		}
	}
	return services == 1
}

// dominantShare returns the largest share of any service's slots that one request per
// second of a route uses.
func (a *admission) dominantShare(root uint32) float64 {
	largest := 0.0
	for name, l := range a.loads[root] {
		if view := a.services[name]; view != nil && view.slots > 0 {
			largest = max(largest, l.perRequest.get()/view.slots)
		}
	}
	return largest
}

// minShare is the least share that is admitted, so that the load per request remains known.
const minShare = 0.01
