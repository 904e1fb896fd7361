package mesh

import "time"

const (
	// runWeight is the weight of the newest run in the smoothed mean of its route.
	runWeight = 0.05
	// defaultRunTime is the assumed run time of a route without observations.
	defaultRunTime = 50 * time.Millisecond
	// maxRunRoutes bounds the routes for which run times are kept and reported.
	maxRunRoutes = 16
)

// runTimes holds the mean run time of each route at the local upstream.
type runTimes map[uint32]time.Duration

func (r runTimes) observe(routeID uint32, took time.Duration) {
	mean, known := r[routeID]
	switch {
	case known:
		r[routeID] = mean + time.Duration(runWeight*float64(took-mean))
	case len(r) < maxRunRoutes:
		r[routeID] = took
	}
}

// mean returns the mean run time of a route, or defaultRunTime if there is none.
func (r runTimes) mean(routeID uint32) time.Duration {
	if stored := r[routeID]; stored > 0 {
		return stored
	}
	return defaultRunTime
}

func (r runTimes) stats() []RouteStat {
	out := make([]RouteStat, 0, len(r))
	for routeID, d := range r {
		out = append(out, RouteStat{Route: routeID, RunTime: d})
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

// reportedRunTime returns the mean run time of a route at an instance as reported by it,
// or as measured here for the local upstream, 0 if there is none.
func (n *Node) reportedRunTime(routeID uint32, p *peer) time.Duration {
	if p.instance == n.cfg.Instance {
		return n.runTimes[routeID]
	}
	for _, s := range p.heartbeat.Routes {
		if s.Route == routeID {
			return s.RunTime
		}
	}
	return 0
}
