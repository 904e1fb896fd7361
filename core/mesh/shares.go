package mesh

import (
	"cmp"
	"math"
	"slices"
)

const (
	// planShare is the share of a service's places that admitted requests are to
	// fill; what queues up beyond that is taken off again, see drainTime.
	planShare = 1.0
)

// share sets the part of each route's requests that fits into every service it
// leads to, after the more important routes. Of equally important ones those
// that occupy less come first: that serves the most callers.
func (e *entry) share(demand []fleetDemand) {
	rooms := map[string]room{}
	for name, v := range e.services {
		rooms[name] = room{firm: planShare*v.slots - v.backlog, loose: planShare * (v.most - v.slots)}
	}
	slices.SortStableFunc(demand, func(a, b fleetDemand) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(e.footprint(a.id), e.footprint(b.id)))
	})
	shares := map[uint32]float64{}
	for _, d := range demand {
		shares[d.id] = e.fit(d, rooms)
	}
	for id, d := range e.roots {
		d.share = 1
		if part, known := shares[id]; known {
			d.share = max(part, leastShare)
		}
	}
}

// fit returns the part of d that there is room for and takes that room. A
// service that nobody was heard of yet bounds nothing; one whose upstreams all
// fell silent has no room.
func (e *entry) fit(d fleetDemand, rooms map[string]room) float64 {
	loose := e.sole(d.id) || d.repeatable && e.chance(d.id) >= leastChance
	part := 1.0
	for name, v := range e.services {
		wanted := d.offered * e.loads[loadKey{d.id, name}].of()
		if (v.slots > 0 || v.lost) && wanted > 0 {
			part = min(part, max(rooms[name].forUse(loose)/wanted, 0))
		}
	}
	for name := range e.services {
		rooms[name] = rooms[name].without(part*d.offered*e.loads[loadKey{d.id, name}].of(), loose)
	}
	return part
}

// chance is that of a request to end well if none of its calls is repeated.
func (e *entry) chance(root uint32) float64 {
	chance := 1.0
	for name, v := range e.services {
		chance *= math.Pow(1-v.faults, e.visits[loadKey{root, name}].of())
	}
	return chance
}

// room is the slots of a service that are not planned for yet: firm ones, and
// loose ones of upstreams that fail much. Loose ones are of use to requests that
// are one run only, or may be tried again and have a fair chance; others would
// mostly fail there after much work, and may leave open whether they ran.
type room struct{ firm, loose float64 }

func (r room) forUse(loose bool) float64 {
	if loose {
		return r.firm + r.loose
	}
	return r.firm
}

// without takes slots off.
func (r room) without(slots float64, loose bool) room {
	if loose {
		own := min(slots, r.loose)
		r.loose -= own
		slots -= own
	}
	r.firm -= slots
	return r
}

// sole tells whether the requests of a route run at one service only.
func (e *entry) sole(root uint32) bool {
	services := 0
	for name := range e.services {
		if e.visits[loadKey{root, name}].of() > 0 {
			services++
		}
	}
	return services == 1
}

// footprint is the largest part of any service that one request a second of a
// route occupies.
func (e *entry) footprint(root uint32) float64 {
	most := 0.0
	for name, v := range e.services {
		if v.slots > 0 {
			most = max(most, e.loads[loadKey{root, name}].of()/v.slots)
		}
	}
	return most
}

// leastShare lets a few requests in whatever the load, so that what they occupy
// stays known.
const leastShare = 0.01
