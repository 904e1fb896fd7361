package mesh

import (
	"slices"

	"github.com/shallotspool/shallotspool/core/route"
)

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

// routeLoads holds, for one root route, its loads by service. It has no entries for services that
// the route does not use.
type routeLoads map[string]*serviceLoad

// serviceLoad is the load that requests of one route cause at one service.
type serviceLoad struct {
	// perRequest is the mean number of slots that one request per second keeps in use, visits
	// the mean number of runs per request.
	perRequest, visits smoothedRatio
}

// maxLoads bounds the routes and services for which loads are kept.
const maxLoads = maxRoots * maxReportedRoutes

// updateLoads updates the load per request and the visits that the admitted requests of
// each route cause at each service.
func (a *admission) updateLoads(demand []fleetDemand) {
	if a.loadCount() > maxLoads {
		clear(a.loads)
	}
	admitted := map[uint32]fleetDemand{}
	for _, d := range demand {
		if d.admitted >= minVisitRate {
			admitted[d.root] = d
		}
	}
	for name, v := range a.services {
		for root, slotsInUse := range v.slotsInUse {
			if d, ok := admitted[root]; ok && slotsInUse != 0 && v.slots != 0 {
				a.loadsOf(root).at(name).observe(d, slotsInUse, v.runRates[root])
			}
		}
	}
	// Services that a route uses no longer.
	for root, d := range admitted {
		for name, l := range a.loads[root] {
			if v := a.services[name]; v != nil && v.slots != 0 && v.slotsInUse[root] == 0 {
				l.observe(d, 0, v.runRates[root])
			}
		}
	}
}

// forgetMovedRoutes deletes the loads of the routes that lead to other services in next than in
// previous, nil if there was no table. These loads limited the requests of the route by the room at
// services that it no longer uses.
func (a *admission) forgetMovedRoutes(previous, next *route.Table) {
	if previous == nil {
		return
	}
	services := map[uint32][]string{}
	for _, r := range previous.Routes {
		if id := RouteID(r); a.loads[id] != nil {
			services[id] = r.ServiceNames()
		}
	}
	for _, r := range next.Routes {
		id := RouteID(r)
		if before, known := services[id]; known && !slices.Equal(before, r.ServiceNames()) {
			delete(a.loads, id)
		}
	}
}

func (a *admission) loadCount() (count int) {
	for _, loads := range a.loads {
		count += len(loads)
	}
	return count
}

func (a *admission) loadsOf(root uint32) routeLoads {
	if a.loads[root] == nil {
		a.loads[root] = routeLoads{}
	}
	return a.loads[root]
}

func (r routeLoads) at(service string) *serviceLoad {
	if r[service] == nil {
		r[service] = &serviceLoad{}
	}
	return r[service]
}

// observe adds what the admitted requests of a route caused at a service in one interval.
func (l *serviceLoad) observe(d fleetDemand, slotsInUse, runRate float64) {
	complete := d.served >= minServedShare*d.admitted
	if d.admitted >= minLoadRate {
		l.perRequest.observe(slotsInUse, d.admitted, complete)
	}
	l.visits.observe(runRate, d.admitted, complete)
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
func (s *smoothedRatio) observe(amount, requests float64, complete bool) {
	weight := max(loadWeight, firstWeight-loadWeight*float64(s.samples)/2)
	if !complete && amount < s.get()*requests {
		weight = partialLoadWeight
	}
	s.amount += weight * (amount - s.amount)
	s.requests += weight * (requests - s.requests)
	s.samples++
}
