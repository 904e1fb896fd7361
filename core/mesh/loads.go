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
				observe(a.requestLoads, key, v.slotsInUse[d.root]/d.admitted, complete)
			}
			observe(a.visits, key, v.runRates[d.root]/d.admitted, complete)
		}
	}
}

// smoothedValue is an exponentially smoothed value. The first observations have a
// larger weight, because those made just after a start cover only a part of the work.
type smoothedValue struct {
	value   float64
	samples int
}

// get returns the value, 0 if there are no observations.
func (s *smoothedValue) get() float64 {
	if s == nil {
		return 0
	}
	return s.value
}

// observe adds one observation. complete states that most requests succeeded. Failed
// requests make fewer calls, so that the load observed with them is only a lower
// bound.
func observe(values map[rootServiceKey]*smoothedValue, key rootServiceKey, value float64, complete bool) {
	s := values[key]
	if s == nil {
		s = &smoothedValue{}
		values[key] = s
	}
	weight := max(loadWeight, firstWeight-loadWeight*float64(s.samples)/2)
	if !complete && value < s.value {
		weight = partialLoadWeight
	}
	s.value += weight * (value - s.value)
	s.samples++
}
