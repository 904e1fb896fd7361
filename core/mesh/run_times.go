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

func (r runTimes) observe(id uint32, took time.Duration) {
	mean, known := r[id]
	switch {
	case known:
		r[id] = mean + time.Duration(runWeight*float64(took-mean))
	case len(r) < maxRunRoutes:
		r[id] = took
	}
}

// mean returns the mean run time of a route, or defaultRunTime if there is none.
func (r runTimes) mean(id uint32) time.Duration {
	if stored := r[id]; stored > 0 {
		return stored
	}
	return defaultRunTime
}

func (r runTimes) stats() []RouteStat {
	out := make([]RouteStat, 0, len(r))
	for id, d := range r {
		out = append(out, RouteStat{Route: id, RunTime: d})
	}
	return out
}

// runTime returns the run time of a route at an instance as reported by it, or the
// mean of the service's instances if it reported none.
func (n *Node) runTime(id uint32, service string, p *peer) time.Duration {
	if d := n.reportedRunTime(id, p); d > 0 {
		return d
	}
	return n.meanRunTime(id, service)
}

// meanRunTime returns the mean run time of a route over the instances of a service
// that reported one.
func (n *Node) meanRunTime(id uint32, service string) time.Duration {
	sum, count := time.Duration(0), time.Duration(0)
	for _, u := range n.registry.ServiceUpstreams(service) {
		if p := n.peers[u.Instance]; p != nil {
			if mean := n.reportedRunTime(id, p); mean > 0 {
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
func (n *Node) reportedRunTime(id uint32, p *peer) time.Duration {
	if p.instance == n.cfg.Instance {
		return n.runTimes[id]
	}
	for _, s := range p.heartbeat.Routes {
		if s.Route == id {
			return s.RunTime
		}
	}
	return 0
}
