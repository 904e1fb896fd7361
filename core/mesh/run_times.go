package mesh

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// runWeight is the weight of the newest run in the smoothed mean of its route.
	runWeight = 0.05
	// trialRunWeight is the weight of a run that ended in time though the mean said it would not.
	trialRunWeight = 0.5
	// runTrialInterval is the least time between trials of a route; see claimTrial.
	runTrialInterval = 500 * time.Millisecond
	// defaultRunTime is the assumed run time of a route without observations.
	defaultRunTime = 50 * time.Millisecond
	// maxRunRoutes bounds the routes for which run times are kept, and maxReportedRoutes those
	// that are reported to other nodes.
	maxRunRoutes      = 512
	maxReportedRoutes = 16
)

// runTimes holds what is known of the runs of each route at the local upstream.
type runTimes map[uint32]*routeRuns

// routeRuns is what is known of the runs of one route.
type routeRuns struct {
	// mean is the smoothed mean run time.
	mean time.Duration
	// triedAt is when a run last started, or a trial was offered. trial is the ID of the work
	// that is the open trial, 0 if there is none.
	triedAt time.Duration
	trial   uint64
	// refused is set if a request was refused since a run last started.
	refused bool
}

// observe adds a run that started at a time and took another. weight is that of the run in the
// mean. If there is no room for the route, it takes that of the one whose last run is longest ago.
func (r runTimes) observe(routeID uint32, started, took time.Duration, weight float64) {
	if runs := r[routeID]; runs != nil {
		runs.mean += time.Duration(weight * float64(took-runs.mean))
		return
	}
	if len(r) >= maxRunRoutes {
		byRecency := r.byRecency()
		delete(r, byRecency[len(byRecency)-1])
	}
	r[routeID] = &routeRuns{mean: took, triedAt: started}
}

// byRecency returns the routes, the one that ran last first.
func (r runTimes) byRecency() []uint32 {
	return slices.SortedFunc(maps.Keys(r), func(a, b uint32) int {
		return cmp.Or(cmp.Compare(r[b].triedAt, r[a].triedAt), cmp.Compare(a, b))
	})
}

// recordStart records that a run of a route starts.
func (r runTimes) recordStart(now time.Duration, routeID uint32) {
	if runs := r[routeID]; runs != nil {
		runs.triedAt, runs.refused = now, false
	}
}

// recordEnd records that work was refused or has ended.
func (r runTimes) recordEnd(w Work, refused bool) {
	runs := r[w.Route]
	if runs == nil {
		return
	}
	runs.refused = runs.refused || refused
	if runs.trial == w.ID {
		runs.trial = 0
	}
}

// claimTrial reports whether w is to be offered whatever the mean run time of its route is,
// because requests of the route are refused and none runs: the mean would never change again.
func (r runTimes) claimTrial(now time.Duration, w Work) bool {
	runs := r[w.Route]
	if runs == nil || !runs.refused || runs.trial != 0 || now < runs.triedAt+runTrialInterval {
		return false
	}
	runs.triedAt, runs.trial = now, w.ID
	return true
}

// known returns the mean run time of a route, 0 if there is none.
func (r runTimes) known(routeID uint32) time.Duration {
	if runs := r[routeID]; runs != nil {
		return runs.mean
	}
	return 0
}

// mean returns the mean run time of a route, or defaultRunTime if there is none.
func (r runTimes) mean(routeID uint32) time.Duration {
	return cmp.Or(r.known(routeID), defaultRunTime)
}

// stats returns the mean run times of the routes that ran last.
func (r runTimes) stats() []RouteStat {
	routes := r.byRecency()
	out := make([]RouteStat, 0, maxReportedRoutes)
	for _, routeID := range routes[:min(len(routes), maxReportedRoutes)] {
		out = append(out, RouteStat{Route: routeID, RunTime: r[routeID].mean})
	}
	return out
}

// runTime returns the run time of a route at an instance as reported by it, or the
// mean of the service's instances if it reported none.
func (n *Node) runTime(routeID uint32, service string, p *peer) time.Duration {
	if d := n.reportedRunTime(routeID, p); d > 0 {
		return d
	}
	return n.meanRunTime(routeID, service)
}

// meanRunTime returns the mean run time of a route over the instances of a service
// that reported one.
func (n *Node) meanRunTime(routeID uint32, service string) time.Duration {
	sum, count := time.Duration(0), time.Duration(0)
	for _, u := range n.registry.ServiceUpstreams(service) {
		if p := n.peers[u.Instance]; p != nil {
			if mean := n.reportedRunTime(routeID, p); mean > 0 {
				sum, count = sum+mean, count+1
			}
		}
	}
	if count == 0 {
		return defaultRunTime
	}
	return sum / count
}

// leastRunTime returns the least mean run time of a route among the instances of a service that
// reported one.
func (n *Node) leastRunTime(routeID uint32, service string) time.Duration {
	least := time.Duration(0)
	for _, u := range n.registry.ServiceUpstreams(service) {
		if p := n.peers[u.Instance]; p != nil {
			if mean := n.reportedRunTime(routeID, p); mean > 0 && (least == 0 || mean < least) {
				least = mean
			}
		}
	}
	return cmp.Or(least, defaultRunTime)
}

// reportedRunTime returns the mean run time of a route at an instance as reported by it,
// or as measured here for the local upstream, 0 if there is none.
func (n *Node) reportedRunTime(routeID uint32, p *peer) time.Duration {
	if p.instance == n.cfg.Instance {
		return n.runTimes.known(routeID)
	}
	for _, s := range p.heartbeat.Routes {
		if s.Route == routeID {
			return s.RunTime
		}
	}
	return 0
}
