package mesh

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shallotspool/shallotspool/core/route"
)

// HeartbeatInterval is how often a node tells others how it is: a few times
// within the shortest latency goal of the users' routes.
const HeartbeatInterval = 200 * time.Millisecond

const (
	// farFactor makes heartbeats to other data centres rarer: traffic between
	// them costs money.
	farFactor = 2
	// maxBeats bounds the heartbeats per second that a node sends, and so gets:
	// at some ten microseconds each they take less than a hundredth of a core.
	maxBeats = 200
	// wholeInterval is how often a heartbeat says everything while the fleet is
	// calm; those between say only what changes from one moment to the next.
	wholeInterval = 2 * time.Second
	// pressedFrom is the share of a service's places in use from which every
	// heartbeat says everything: shares at the entry may be needed soon.
	pressedFrom = 0.5
	// urgentQueue is the queue, as a share of the places, from which a node tells
	// everyone each time.
	urgentQueue = 0.25
)

// Heartbeat is what a node tells others of itself and of its upstream.
type Heartbeat struct {
	_ struct{} `cbor:",toarray"`

	// Incarnation tells the runs of a node apart; a later run has a higher one.
	Incarnation int64
	// Interval is the time until the next heartbeat to the same instance.
	Interval time.Duration
	// Partial tells that Routes, Roots and Demand are left out; the last ones hold.
	Partial bool
	Leaving bool
	// Version is that of the routing table in force.
	Version route.Version
	// Revision is the store's, up to which the node is current.
	Revision uint64
	// Digest names the set of upstreams known, and Reads tells that the node is in
	// touch with the store.
	Digest  uint32
	Reads   bool
	Service string
	Load    Load
	// Faults is the share of runs that the upstream failed by itself.
	Faults float32
	// Firsts and Repeats are the arrivals at the upstream within the window of
	// RetryBounds: of requests for the first time, and all others.
	Firsts  float32
	Repeats float32
	Routes  []RouteStat
	Roots   []RootStat
	Demand  []DemandStat
	Crashes []CrashStat
}

// RouteStat is what a node observed of one route at its own upstream.
type RouteStat struct {
	_     struct{} `cbor:",toarray"`
	Route uint32
	// Run is the mean time the upstream took for a request, its calls included.
	Run time.Duration
}

// RootStat is what requests of callers on one route occupy at a node's own
// upstream, with all the calls made for them.
type RootStat struct {
	_    struct{} `cbor:",toarray"`
	Root uint32
	// Busy is the slots in use, Runs the requests per second.
	Busy float32
	Runs float32
}

// DemandStat is what callers of one node ask for on one route.
type DemandStat struct {
	_        struct{} `cbor:",toarray"`
	Root     uint32
	Priority int32
	// Repeatable tells that requests of the route may run more than once.
	Repeatable bool
	// Offered is the requests per second, Admitted those that were let in, and
	// Served those that succeeded.
	Offered  float32
	Admitted float32
	Served   float32
}

// RouteID names a route in messages between nodes.
func RouteID(r *route.Route) uint32 { return uint32(xxhash.Sum64String(r.Key())) }

// Hear takes in the heartbeat of another instance.
func (n *Node) Hear(now time.Duration, instance string, b Heartbeat) {
	p := n.peer(instance)
	if b.Incarnation < p.beat.Incarnation {
		return
	}
	if b.Incarnation > p.beat.Incarnation || !b.Leaving {
		p.leavingTill = 0
	}
	if b.Leaving {
		p.leavingTill = now + leavingTime
	}
	if b.Partial && b.Incarnation == p.beat.Incarnation {
		b.Routes, b.Roots, b.Demand = p.beat.Routes, p.beat.Roots, p.beat.Demand
	}
	p.beat, p.beatAt = b, now
	p.hear(now, b.Load)
	n.hearCrashes(now, instance, b.Crashes)
}

// Heartbeat returns what this node tells others now.
func (n *Node) Heartbeat(now time.Duration) Heartbeat {
	window := n.budget.bounds.Window
	b := Heartbeat{
		Incarnation: n.cfg.Incarnation, Leaving: n.leaving, Revision: n.registry.Revision(),
		Digest: n.digest, Reads: n.reads(now), Service: n.cfg.Service, Load: n.Load(), Faults: float32(n.faults.share),
		Firsts: float32(n.arrivals.firsts.sum(now, window)), Repeats: float32(n.arrivals.repeats.sum(now, window)),
		Routes: n.runs.stats(), Roots: n.usage.stats(), Demand: n.entry.stats(), Crashes: n.crashStats(),
	}
	if n.table != nil {
		b.Version = n.table.Version
	}
	return b
}

// Beat is one heartbeat to be sent.
type Beat struct {
	Instance string
	// Interval is the time until the next one to this instance.
	Interval time.Duration
	// Partial tells to leave out what changes slowly.
	Partial bool
}

// trimmed is b without what a partial heartbeat leaves out.
func (b Heartbeat) trimmed() Heartbeat {
	b.Partial, b.Routes, b.Roots, b.Demand = true, nil, nil, nil
	return b
}

// For returns the heartbeat as it is sent for to.
func (b Heartbeat) For(to Beat) Heartbeat {
	if to.Partial {
		b = b.trimmed()
	}
	b.Interval = to.Interval
	return b
}

// Beats calls each with the heartbeats that are due. A node whose upstream has a
// long queue tells everyone each time: that is what others must know soon.
func (n *Node) Beats(now time.Duration, each func(Beat)) {
	near := max(HeartbeatInterval, time.Duration(len(n.instances))*time.Second/maxBeats)
	urgent := n.leaving || float64(n.guard.Queued()) > urgentQueue*float64(n.guard.Limit())
	for _, instance := range n.fleet(now) {
		if instance == n.cfg.Instance {
			continue
		}
		interval := near
		if n.instances[instance] != n.cfg.DataCentre {
			interval *= farFactor
		}
		p := n.peer(instance)
		if !urgent && now < p.beatSent+interval-HeartbeatInterval/2 {
			continue
		}
		whole := urgent || n.pressed || p.wholeSent == 0 || now >= p.wholeSent+wholeInterval
		p.beatSent = now
		if whole {
			p.wholeSent = now
		}
		each(Beat{Instance: instance, Interval: interval, Partial: !whole})
	}
}

// fleet returns all instances with a node, in order: those with a registered
// upstream and those heard of late. A node whose upstream is not registered goes
// on sending requests, so it has to know what others know.
func (n *Node) fleet(now time.Duration) []string {
	list := make([]string, 0, len(n.instances)+1)
	for instance := range n.instances {
		list = append(list, instance)
	}
	for instance, p := range n.peers {
		if _, registered := n.instances[instance]; !registered && p.beatAt > 0 && !p.silent(now) {
			list = append(list, instance)
		}
	}
	if _, registered := n.instances[n.cfg.Instance]; !registered {
		list = append(list, n.cfg.Instance)
	}
	slices.Sort(list)
	return list
}
