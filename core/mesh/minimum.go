package mesh

const (
	// minAdmittedOfMean is the least part of a route's requests that is admitted, relative
	// to the part of all requests that is. It exceeds the quarter that every route has to
	// be served at, because some requests fail after admission.
	minAdmittedOfMean = 0.3
	// minimumRounds is the number of times that the plan is computed again with the minimum
	// that follows from the mean of the plan before. The minimum changes the mean little.
	minimumRounds = 2
	// maxReturnedShare is the most of a route's requests that count as sent again. Callers
	// behind one address that send the same content cannot be told apart.
	maxReturnedShare = 0.5
	// highestPriority is the priority of the most important requests.
	highestPriority = 0
)

// requests returns the rate of callers' requests, each counted once however often its caller
// sends it.
func (d fleetDemand) requests() float64 {
	return d.offered - min(d.returned, maxReturnedShare*d.offered)
}

// meanAdmitted returns the part of all callers' requests that is admitted with these shares.
func meanAdmitted(demand []fleetDemand, shares map[uint32]float64) float64 {
	requests, admitted := 0.0, 0.0
	for _, d := range demand {
		requests += d.requests()
		admitted += min(shares[d.root]*d.offered, d.requests())
	}
	if requests == 0 {
		return 1
	}
	return admitted / requests
}

// minimumShares returns for each route the share that is admitted in any case: the given part
// of its requests, or less at services that have no room for the minimum of all routes.
func (a *admission) minimumShares(demand []fleetDemand, free map[string]freeSlots, part float64) map[uint32]float64 {
	required := map[string]float64{}
	for _, d := range demand {
		for name, l := range a.loads[d.root] {
			required[name] += part * d.requests() * l.perRequest.get()
		}
	}
	minimums := map[uint32]float64{}
	for _, d := range demand {
		if d.offered == 0 {
			continue
		}
		fitting := 1.0
		for name, l := range a.loads[d.root] {
			view := a.services[name]
			limits := view != nil && l.perRequest.get() > 0 && (view.slots > 0 || view.allSilent)
			if limits && required[name] > 0 {
				fitting = min(fitting, max(free[name].available(a.usesBestEffort(d))/required[name], 0))
			}
		}
		minimums[d.root] = fitting * part * d.requests() / d.offered
	}
	return minimums
}

// claimMinimum reports whether an admitted request belongs to the minimum of its route. It
// then has the highest priority at all upstreams: the others would otherwise keep it waiting
// until it fails, however small its part is.
func (d *routeDemand) claimMinimum() bool {
	if d.share >= 1 || d.minimumCredit < 1 {
		return false
	}
	d.minimumCredit--
	return true
}
