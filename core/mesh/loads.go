package mesh

const (
	// loadWeight is the weight of the newest interval in the estimated load per
	// request, which changes more slowly than rates do.
	loadWeight = 0.1
	// partialLoadWeight is the weight of a lower observation while many requests fail.
	// It may be the complete load after all, so it is adopted, but slowly, over about
	// ten seconds.
	partialLoadWeight = 0.02
	// firstWeight is the weight of the first observation of a load. The weight of
	// later ones falls in equal steps to loadWeight.
	firstWeight = 1.0
	// minLoadRate is the rate, in requests per second, from which the load per request
	// can be estimated. minVisitRate is the rate from which the number of runs per
	// request can be: a single request keeps the smoothed rate above it for about a
	// second.
	minLoadRate  = 1.0
	minVisitRate = 0.1
	// minServedShare is the share of successful requests on a route from which the
	// observed load counts as that of complete requests.
	minServedShare = 0.8
)

// updateLoads updates the load per request and the visits that the admitted requests of
// each route cause at each service.
func (a *admission) updateLoads(demand []fleetDemand) {
	if len(a.requestLoads) > maxRoots*maxRunRoutes {
		clear(a.requestLoads)
		clear(a.visits)
	}
	for _, d := range demand {
		if d.admitted < minVisitRate {
			continue
		}
		for name, v := range a.services {
			key := rootServiceKey{d.root, name}
			unobserved := v.slotsInUse[d.root] == 0 && a.visits[key] == nil
			if unobserved || v.slots == 0 {
				continue
			}
			complete := d.served >= minServedShare*d.admitted
			if d.admitted >= minLoadRate {
				observe(a.requestLoads, key, v.slotsInUse[d.root], d.admitted, complete)
			}
			observe(a.visits, key, v.runRates[d.root], d.admitted, complete)
		}
	}
}

// smoothedRatio is the ratio of two exponentially smoothed rates. Smoothing each of them, and
// not their ratio, keeps an interval in which hardly any requests are admitted, while those
// admitted before still run, from counting as much as others. The first observations have a
// larger weight, because those made just after a start cover only a part of the work.
type smoothedRatio struct {
	amount, requests float64
	samples          int
}

// get returns the ratio, 0 if there are no observations.
func (s *smoothedRatio) get() float64 {
	if s == nil || s.requests == 0 {
		return 0
	}
	return s.amount / s.requests
}

// observe adds one observation: an amount that a rate of admitted requests caused. complete
// states that most requests succeeded. Failed requests make fewer calls, so that the amount
// observed with them is only a lower bound.
func observe(values map[rootServiceKey]*smoothedRatio, key rootServiceKey, amount, requests float64, complete bool) {
	s := values[key]
	if s == nil {
		s = &smoothedRatio{}
		values[key] = s
	}
	weight := max(loadWeight, firstWeight-loadWeight*float64(s.samples)/2)
	if !complete && amount < s.get()*requests {
		weight = partialLoadWeight
	}
	s.amount += weight * (amount - s.amount)
	s.requests += weight * (requests - s.requests)
	s.samples++
}
