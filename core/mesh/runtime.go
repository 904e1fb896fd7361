package mesh

import "time"

const (
	// runWeight is the weight of one run in the mean of its route.
	runWeight = 0.05
	// unknownRun stands for the run time of a route that nobody has observed.
	unknownRun = 50 * time.Millisecond
	// maxRunRoutes bounds the routes whose run times are kept and told.
	maxRunRoutes = 16
)

// runTimes holds the mean run time of each route at the own upstream.
type runTimes map[uint32]time.Duration

func (r runTimes) learn(id uint32, d time.Duration) {
	old, known := r[id]
	switch {
	case known:
		r[id] = old + time.Duration(runWeight*float64(d-old))
	case len(r) < maxRunRoutes:
		r[id] = d
	}
}

// of returns the mean of a route, or what stands for it.
func (r runTimes) of(id uint32) time.Duration {
	if d := r[id]; d > 0 {
		return d
	}
	return unknownRun
}

func (r runTimes) stats() []RouteStat {
	out := make([]RouteStat, 0, len(r))
	for id, d := range r {
		out = append(out, RouteStat{Route: id, Run: d})
	}
	return out
}

// runTime returns the run time of a route at an instance, as it told; that of
// the service's other instances if it did not.
func (n *Node) runTime(id uint32, service string, p *peer) time.Duration {
	if d := n.told(id, p); d > 0 {
		return d
	}
	return n.meanRun(id, service)
}

// meanRun returns the mean run time of a route at the instances of a service that
// told one.
func (n *Node) meanRun(id uint32, service string) time.Duration {
	sum, count := time.Duration(0), time.Duration(0)
	for _, u := range n.registry.Service(service) {
		if other := n.peers[u.Instance]; other != nil {
			if d := n.told(id, other); d > 0 {
				sum, count = sum+d, count+1
			}
		}
	}
	if count == 0 {
		return unknownRun
	}
	return sum / count
}

func (n *Node) told(id uint32, p *peer) time.Duration {
	if p.instance == n.cfg.Instance {
		return n.runs[id]
	}
	for _, s := range p.beat.Routes {
		if s.Route == id {
			return s.Run
		}
	}
	return 0
}
