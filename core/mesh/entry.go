package mesh

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/shallotspool/shallotspool/core/registry"
	"github.com/shallotspool/shallotspool/core/route"
)

const (
	// planShare is the share of a service's places that admitted requests are to
	// fill; what queues up beyond that is taken off again, see drainTime.
	planShare = 1.0
	// drainTime is the time within which a backlog is to be worked off: until the
	// next plan, as callers do not wait much longer than that for one step. Where
	// a request runs for longer, that is the time.
	drainTime = HeartbeatInterval
	// rateWeight is the weight of the newest interval in rates of requests, and
	// loadWeight that in what one request occupies, which changes more slowly.
	rateWeight = 0.4
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

// serviceView sums up what the nodes of one service told.
type serviceView struct {
	// lost tells that all its upstreams fell silent.
	lost bool
	// slots is the number of requests that its upstreams can work on at once, see
	// usableSlots, and backlog the slots that it takes to work off the queue in
	// drainTime.
	slots, backlog float64
	// most is the slots for requests that may fail, see room, and faults the mean
	// share of runs that fail there.
	most, faults float64
	// calls is the number of requests that run or wait, places the number of them
	// that may run.
	calls, places float64
	runs          float64
	// firsts and repeats sum up those of the heartbeats.
	firsts, repeats float64
	busy            map[uint32]float64
	visited         map[uint32]float64
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

// viewServices sums up the fresh heartbeats by service.
func (n *Node) viewServices(now time.Duration) map[string]*serviceView {
	views := map[string]*serviceView{}
	n.registry.Services(func(name string, list []*registry.Upstream) {
		v := &serviceView{lost: len(list) > 0, busy: map[uint32]float64{}, visited: map[uint32]float64{}}
		var offers []offer
		for _, u := range list {
			if b, ok := n.freshBeat(now, u.Instance); ok && b.Service == name && !u.Draining {
				v.add(b)
				offers = append(offers, offer{float64(b.Load.Limit), float64(b.Faults)})
			}
			v.lost = v.lost && n.fellSilent(now, u.Instance)
		}
		v.slots, v.most = usableSlots(offers, directShare*n.budget.bounds.Ratio)
		v.faults = meanFaults(offers)
		views[name] = v
	})
	return views
}

// freshBeat returns the newest heartbeat of an instance, its own among them.
func (n *Node) freshBeat(now time.Duration, instance string) (Heartbeat, bool) {
	if instance == n.cfg.Instance {
		return n.Heartbeat(now), true
	}
	p := n.peers[instance]
	if p == nil || p.beatAt == 0 || p.silent(now) || p.outlier.Ejected() {
		return Heartbeat{}, false
	}
	return p.beat, true
}

// fellSilent tells whether an instance was heard of, but not of late.
func (n *Node) fellSilent(now time.Duration, instance string) bool {
	p := n.peers[instance]
	return instance != n.cfg.Instance && p != nil && p.silent(now)
}

func (v *serviceView) add(b Heartbeat) {
	v.calls += float64(b.Load.Running + b.Load.Queued)
	v.places += float64(b.Load.Limit)
	v.firsts += float64(b.Firsts)
	v.repeats += float64(b.Repeats)
	busy, runs := 0.0, 0.0
	for _, s := range b.Roots {
		v.busy[s.Root] += float64(s.Busy)
		v.visited[s.Root] += float64(s.Runs)
		busy += float64(s.Busy)
		runs += float64(s.Runs)
	}
	v.runs += runs
	if runs > 0 {
		mean := busy / runs
		v.backlog += float64(b.Load.Queued) * mean / max(drainTime.Seconds(), mean)
	}
}

// fleetDemand is what callers of all nodes ask for on one route.
type fleetDemand struct {
	id                        uint32
	priority                  int
	repeatable                bool
	offered, admitted, served float64
}

// viewDemand sums up the demand that all nodes told, by route, the most
// important first.
func (n *Node) viewDemand(now time.Duration) []fleetDemand {
	sums := map[uint32]*fleetDemand{}
	for _, instance := range n.fleet(now) {
		b, ok := n.freshBeat(now, instance)
		if !ok {
			continue
		}
		for _, s := range b.Demand {
			d := sums[s.Root]
			if d == nil {
				d = &fleetDemand{id: s.Root, priority: int(s.Priority), repeatable: s.Repeatable}
				sums[s.Root] = d
			}
			d.offered += float64(s.Offered)
			d.admitted += float64(s.Admitted)
			d.served += float64(s.Served)
		}
	}
	list := make([]fleetDemand, 0, len(sums))
	for _, d := range sums {
		list = append(list, *d)
	}
	slices.SortFunc(list, func(a, b fleetDemand) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.id, b.id))
	})
	return list
}

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
