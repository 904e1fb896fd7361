package mesh

const (
	// loadWeight is the weight of the newest interval in what one request occupies,
	// which changes more slowly than rates do.
	loadWeight = 0.1
	// partWeight is that of a smaller load seen while many requests fail: it may
	// be all there is, and takes ten seconds to be believed.
	partWeight = 0.02
	// firstWeight is the weight of the first observation of a load; later ones
	// weigh less and less.
	firstWeight = 1.0
	// leastRate is the rate of requests, per second, from which their load on a
	// service can be told, and rareRate that from which their calls can: one
	// within the time that a smoothed rate takes to settle.
	leastRate = 1.0
	rareRate  = 0.1
	// leastServed is the share of a route's requests that end well from which their
	// load is that of whole requests.
	leastServed = 0.8
)

// learn takes in what the admitted requests of each route occupy.
func (e *entry) learn(demand []fleetDemand) {
	if len(e.loads) > maxRoots*maxRunRoutes {
		clear(e.loads)
		clear(e.visits)
	}
	for _, d := range demand {
		if d.admitted < rareRate {
			continue
		}
		for name, v := range e.services {
			key := loadKey{d.id, name}
			unseen := v.busy[d.id] == 0 && e.visits[key] == nil
			if unseen || v.slots == 0 {
				continue
			}
			whole := d.served >= leastServed*d.admitted
			if d.admitted >= leastRate {
				learn(e.loads, key, v.busy[d.id]/d.admitted, whole)
			}
			learn(e.visits, key, v.visited[d.id]/d.admitted, whole)
		}
	}
}

// learnt is a smoothed value. The first observations weigh more: those made just
// after a start see only a part of the work.
type learnt struct {
	value float64
	seen  int
}

// of returns the value, 0 if nothing was observed.
func (l *learnt) of() float64 {
	if l == nil {
		return 0
	}
	return l.value
}

// learn takes one observation in. whole tells that most requests ended well: those
// that fail make fewer calls, so that their load says only what is the least.
func learn(m map[loadKey]*learnt, key loadKey, value float64, whole bool) {
	l := m[key]
	if l == nil {
		l = &learnt{}
		m[key] = l
	}
	weight := max(loadWeight, firstWeight-loadWeight*float64(l.seen)/2)
	if !whole && value < l.value {
		weight = partWeight
	}
	l.value += weight * (value - l.value)
	l.seen++
}
