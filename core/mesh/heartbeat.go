package mesh

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shallotspool/shallotspool/core/route"
)

// HeartbeatInterval is how often a node tells others how it is: a few times
// within the shortest latency goal of the users' routes.
const HeartbeatInterval = 200 * time.Millisecond

// Heartbeat is what a node tells others of itself and of its upstream.
type Heartbeat struct {
	_ struct{} `cbor:",toarray"`

	// Incarnation tells the runs of a node apart; a later run has a higher one.
	Incarnation int64
	Leaving     bool
	// Version is that of the routing table in force.
	Version route.Version
	Service string
	Load    Load
	Routes  []RouteStat
	Roots   []RootStat
	Demand  []DemandStat
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
	// Offered is the requests per second, Admitted those that were let in.
	Offered  float32
	Admitted float32
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
	p.beat, p.beatAt = b, now
	p.hear(now, b.Load)
}

// Heartbeat returns what this node tells others now.
func (n *Node) Heartbeat(time.Duration) Heartbeat {
	b := Heartbeat{
		Incarnation: n.cfg.Incarnation, Leaving: n.leaving, Service: n.cfg.Service, Load: n.Load(),
		Routes: n.runs.stats(), Roots: n.usage.stats(), Demand: n.entry.stats(),
	}
	if n.table != nil {
		b.Version = n.table.Version
	}
	return b
}

// HeartbeatTargets calls each with the instances that heartbeats go to.
func (n *Node) HeartbeatTargets(each func(instance string)) {
	for instance := range n.instances {
		if instance != n.cfg.Instance {
			each(instance)
		}
	}
}
