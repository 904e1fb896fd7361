package mesh

import (
	"cmp"
	"slices"
	"time"

	"github.com/shallotspool/shallotspool/core/route"
)

const (
	// rateWeight is the weight of the newest interval in rates of requests.
	rateWeight = 0.4
	// maxRoots bounds the routes of callers that are planned for.
	maxRoots = 512
	// maxSaved is the number of admissions that a route with a falling share
	// saves up, so that a short burst of few requests is not refused.
	maxSaved = 2
)

// rootDemand is what callers at this node ask for on one route.
type rootDemand struct {
	priority   int
	repeatable bool
	// offered, admitted and served count requests in this interval; the rates are
	// per second, smoothed.
	offered, admitted, served             int
	offeredRate, admittedRate, servedRate float64
	// share is the part of the requests that is let in, and credit the
	// admissions that it has saved up.
	share  float64
	credit float64
}

// entry decides which requests of callers are let in: as many as the services
// they lead to have room for, the most important first. What one request
// occupies at each service is learnt from what all nodes tell.
type entry struct {
	roots map[uint32]*rootDemand
	// loads is the slots that one request a second of a root occupies at each
	// service, and visits the runs there.
	loads  map[loadKey]*learnt
	visits map[loadKey]*learnt
	// services is the last view of each service.
	services map[string]*serviceView
	at       time.Duration
}

type loadKey struct {
	root    uint32
	service string
}

func newEntry() entry {
	return entry{
		roots: map[uint32]*rootDemand{}, loads: map[loadKey]*learnt{}, visits: map[loadKey]*learnt{},
		services: map[string]*serviceView{},
	}
}

// root returns the demand on a route, nil if there are too many routes.
func (e *entry) root(id uint32, r *route.Route) *rootDemand {
	d := e.roots[id]
	if d == nil && len(e.roots) < maxRoots {
		d = &rootDemand{share: 1, credit: 1}
		e.roots[id] = d
	}
	if d != nil {
		d.priority, d.repeatable = r.Priority, r.Idempotent
	}
	return d
}

// enters decides whether a request is let in. Calls that upstreams make always
// are: work was done for them already.
func (n *Node) enters(c *Call) bool {
	if c.Inner {
		return true
	}
	d := n.entry.root(c.Rank.Root, c.Route)
	if d == nil {
		return true
	}
	d.offered++
	d.credit = min(d.credit+d.share, maxSaved)
	floor := 1.0
	if c.Returned {
		floor = -maxBorrowed
	}
	if d.credit < floor {
		return false
	}
	d.credit--
	d.admitted++
	c.demand = d
	return true
}

// Plan takes in what all nodes told and sets the part of each route's requests
// that is let in. It is called once in each HeartbeatInterval.
func (n *Node) Plan(now time.Duration) {
	elapsed := (now - n.entry.at).Seconds()
	if elapsed <= 0 {
		return
	}
	n.entry.at = now
	for id, d := range n.entry.roots {
		d.offeredRate += rateWeight * (float64(d.offered)/elapsed - d.offeredRate)
		d.admittedRate += rateWeight * (float64(d.admitted)/elapsed - d.admittedRate)
		d.servedRate += rateWeight * (float64(d.served)/elapsed - d.servedRate)
		d.offered, d.admitted, d.served = 0, 0, 0
		if d.offeredRate < forgetRate {
			delete(n.entry.roots, id)
		}
	}
	n.usage.close(now)
	n.faults.close()
	n.entry.services = n.viewServices(now)
	demand := n.viewDemand(now)
	n.entry.learn(demand)
	n.entry.share(demand)
	n.pressed = n.entry.pressed()
	n.notePeers(now)
}

// pressed tells whether a service has much of its places in use, or a part of the
// requests is turned away.
func (e *entry) pressed() bool {
	for _, v := range e.services {
		if v.calls > pressedFrom*v.places {
			return true
		}
	}
	for _, d := range e.roots {
		if d.share < 1 {
			return true
		}
	}
	return false
}

// forgetRate is the rate of requests, per second, below which a route is
// forgotten.
const forgetRate = 0.001

// stats returns the demand at this node for its heartbeat, the strongest first.
func (e *entry) stats() []DemandStat {
	out := make([]DemandStat, 0, len(e.roots))
	for id, d := range e.roots {
		out = append(out, DemandStat{
			Root: id, Priority: int32(d.priority), Repeatable: d.repeatable, Offered: float32(d.offeredRate), Admitted: float32(d.admittedRate),
			Served: float32(d.servedRate),
		})
	}
	slices.SortFunc(out, func(a, b DemandStat) int {
		return cmp.Or(cmp.Compare(b.Offered, a.Offered), cmp.Compare(a.Root, b.Root))
	})
	return out[:min(len(out), maxToldRoots)]
}

// maxToldRoots bounds the routes in one heartbeat, so that it fits a datagram.
const maxToldRoots = 24
