package mesh

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shallotspool/shallotspool/core/registry"
	"github.com/shallotspool/shallotspool/core/route"
)

// HeartbeatInterval is the interval between the heartbeats that a node sends to the relays
// of its data centre, or to all nodes there if they are few. It fits several times into the
// shortest latency goal of a route.
const HeartbeatInterval = 200 * time.Millisecond

const (
	// legacyRemoteFactor lengthens the interval of heartbeats to nodes of other data centres
	// that know no relays, and maxLegacyRate bounds the heartbeats per second to all of them.
	legacyRemoteFactor = 2
	maxLegacyRate      = 200
	// fullHeartbeatInterval is the interval of full heartbeats while all services are
	// well below capacity. Those in between are partial and omit slowly changing
	// statistics.
	fullHeartbeatInterval = 2 * time.Second
	// nearCapacityThreshold is the utilisation of a service above which every
	// heartbeat is full, because admission shares may soon be needed.
	nearCapacityThreshold = 0.5
	// urgentQueueShare is the queue length, as a share of the concurrency limit, above
	// which a node sends only full heartbeats.
	urgentQueueShare = 0.25
)

// Heartbeat is the state of a node and its upstream as reported to other nodes. It is
// encoded as a map with integer keys. Fields keep their keys in all versions.
type Heartbeat struct {
	_ struct{}

	// Incarnation identifies one run of the node process: the time of its start on the
	// clock of the instance.
	Incarnation int64 `cbor:"1,keyasint,omitempty"`
	// Interval is the time until the next heartbeat to the same instance.
	Interval time.Duration `cbor:"2,keyasint,omitempty"`
	// Partial is set if Routes, Roots and Demand are omitted. The receiver keeps their
	// last values.
	Partial bool `cbor:"3,keyasint,omitempty"`
	Leaving bool `cbor:"4,keyasint,omitempty"`
	// Version is the version of the routing table in force.
	Version route.Version `cbor:"5,keyasint,omitempty"`
	// Era and Revision are the position of the store up to which the node is current.
	Era      uint64 `cbor:"6,keyasint,omitempty"`
	Revision uint64 `cbor:"7,keyasint,omitempty"`
	// RegistryDigest identifies the set of known registrations; see registryDigest.
	RegistryDigest uint32 `cbor:"8,keyasint,omitempty"`
	// ReadsStore is set if the node is in touch with the store.
	ReadsStore bool   `cbor:"9,keyasint,omitempty"`
	Service    string `cbor:"10,keyasint,omitempty"`
	Load       Load   `cbor:"11,keyasint,omitempty"`
	// FaultShare is the share of runs that failed because of the upstream itself.
	FaultShare float32 `cbor:"12,keyasint,omitempty"`
	// FirstRuns is the number of first runs of requests at the upstream within the
	// window of RetryBounds.
	FirstRuns float32 `cbor:"13,keyasint,omitempty"`
	// Retries is the number of all other runs within that window.
	Retries float32      `cbor:"14,keyasint,omitempty"`
	Routes  []RouteStat  `cbor:"15,keyasint,omitempty"`
	Roots   []RootStat   `cbor:"16,keyasint,omitempty"`
	Demand  []DemandStat `cbor:"17,keyasint,omitempty"`
	Crashes []CrashStat  `cbor:"18,keyasint,omitempty"`
}

// RouteStat is the run time of one route at the reporting node's upstream.
type RouteStat struct {
	_     struct{} `cbor:",toarray"`
	Route uint32
	// RunTime is the mean time the upstream takes for a request, including its calls to
	// other services.
	RunTime time.Duration
}

// RootStat is the use of the reporting node's upstream by requests of callers on one
// route, including all calls made for them.
type RootStat struct {
	_    struct{} `cbor:",toarray"`
	Root uint32
	// SlotsInUse is the mean number of slots in use.
	SlotsInUse float32
	// RunRate is the number of runs per second.
	RunRate float32
}

// DemandStat is the demand of callers at the reporting node for one route.
type DemandStat struct {
	_        struct{} `cbor:",toarray"`
	Root     uint32
	Priority int32
	// Idempotent is set if the route is idempotent, so that its requests may run more
	// than once.
	Idempotent bool
	// Offered is the rate of all requests, Admitted of those admitted, and Served of
	// those that succeeded, per second.
	Offered  float32
	Admitted float32
	Served   float32
	// ReturnedPercent is the part of the offered requests that were refused before and sent
	// again, in percent.
	ReturnedPercent uint8
}

// RouteID returns the hash that identifies a route in messages between nodes.
func RouteID(r *route.Route) uint32 { return uint32(xxhash.Sum64String(r.Key())) }

// ReceiveHeartbeat processes a heartbeat from another instance. It ignores those of an
// earlier incarnation while the later one sends its own: a node whose clock was set back
// has a lower incarnation after a restart.
func (n *Node) ReceiveHeartbeat(now time.Duration, instance string, h Heartbeat) {
	p := n.peer(instance)
	if h.Incarnation < p.heartbeat.Incarnation && !p.silent(now) {
		return
	}
	before := p.heartbeat
	if h.Incarnation != p.heartbeat.Incarnation || !h.Leaving {
		p.leavingUntil = 0
	}
	if h.Leaving {
		p.leavingUntil = now + leavingHold
	}
	if h.Partial && h.Incarnation == p.heartbeat.Incarnation {
		h.Routes, h.Roots, h.Demand = p.heartbeat.Routes, p.heartbeat.Roots, p.heartbeat.Demand
	}
	p.heartbeat, p.heartbeatAt, p.directAt, p.reportedSilent = h, now, now, false
	p.recordLoad(now, h.Load)
	n.noteReport(p, before)
	n.recordCrashes(now, instance, h.Incarnation, h.Crashes)
}

// Heartbeat returns the full heartbeat of this node, with all its crash records. It is
// sent as returned by Heartbeat.For.
func (n *Node) Heartbeat(now time.Duration) Heartbeat {
	window := n.budget.bounds.Window
	h := Heartbeat{
		Incarnation: n.cfg.Incarnation, Leaving: n.leaving, Era: n.registry.Position().Era, Revision: n.registry.Position().Revision,
		RegistryDigest: n.digest, ReadsStore: n.readsStore(now), Service: n.cfg.Service, Load: n.Load(), FaultShare: float32(n.faults.share),
		FirstRuns: float32(n.arrivals.firstRuns.sum(now, window)), Retries: float32(n.arrivals.retries.sum(now, window)),
		Routes: n.runTimes.stats(), Roots: n.usage.stats(), Demand: n.admission.stats(), Crashes: n.crashStats(now),
	}
	if n.table != nil {
		h.Version = n.table.Version
	}
	return h
}

// Position returns the position of the store up to which the node is current.
func (h Heartbeat) Position() registry.Position {
	return registry.Position{Era: h.Era, Revision: h.Revision}
}

// DueHeartbeat is a heartbeat that is due to be sent to one instance.
type DueHeartbeat struct {
	Instance string
	// Interval is the time until the next heartbeat to this instance.
	Interval time.Duration
	// Partial is set if the heartbeat omits slowly changing statistics.
	Partial bool
	// CrashPage is the page of the crash records that the heartbeat carries.
	CrashPage int
	// Legacy is set if the instance reads the format of LegacyHeartbeat only.
	Legacy bool
}

// WithoutStatistics returns h as a partial heartbeat.
func (h Heartbeat) WithoutStatistics() Heartbeat {
	h.Partial, h.Routes, h.Roots, h.Demand = true, nil, nil, nil
	return h
}

// For returns h as it is sent for due: with its interval, one page of its crash records,
// and without slowly changing statistics if it is partial.
func (h Heartbeat) For(due DueHeartbeat) Heartbeat {
	if due.Partial {
		h = h.WithoutStatistics()
	}
	h.Interval = due.Interval
	h.Crashes = crashPage(h.Crashes, due.CrashPage)
	return h
}

// DueHeartbeats calls each for every heartbeat that is due and records it as sent.
// Heartbeats are urgent while the node leaves or its upstream has a long queue: they are
// then full ones, and the first one does not wait for its interval.
func (n *Node) DueHeartbeats(now time.Duration, each func(DueHeartbeat)) {
	urgent := n.leaving || float64(n.limiter.Queued()) > urgentQueueShare*float64(n.limiter.Limit())
	becameUrgent := urgent && !n.wasUrgent
	n.wasUrgent = urgent
	pages := crashPages(len(n.crashStats(now)))
	for _, instance := range n.heartbeatRecipients(now) {
		p := n.peer(instance)
		interval := n.heartbeatInterval(now, instance, p, urgent)
		// A heartbeat is due a little early, so that a call just before its time does not
		// delay it to the next call.
		if !becameUrgent && now < p.heartbeatSentAt+interval-ExchangeInterval/2 {
			continue
		}
		resumed := now > p.heartbeatSentAt+2*interval
		full := urgent || n.nearCapacity || resumed || now >= p.fullSentAt+fullHeartbeatInterval
		p.heartbeatSentAt = now
		if full {
			p.fullSentAt = now
		}
		p.crashPage = (p.crashPage + 1) % pages
		each(DueHeartbeat{Instance: instance, Interval: interval, Partial: !full, CrashPage: p.crashPage, Legacy: p.legacy(now)})
	}
}

// heartbeatRecipients returns, sorted, the instances to which this node sends heartbeats.
func (n *Node) heartbeatRecipients(now time.Duration) []string {
	list := n.collectors(now)
	for instance, p := range n.peers {
		if p.legacy(now) {
			list = append(list, instance)
		}
	}
	slices.Sort(list)
	list = slices.Compact(list)
	return slices.DeleteFunc(list, func(instance string) bool { return instance == n.cfg.Instance })
}

// heartbeatInterval returns the interval of heartbeats to an instance.
func (n *Node) heartbeatInterval(now time.Duration, instance string, p *peer, urgent bool) time.Duration {
	if urgent || !p.legacy(now) {
		return HeartbeatInterval
	}
	interval := max(HeartbeatInterval, time.Duration(len(n.instances))*time.Second/maxLegacyRate)
	if n.instances[instance] != n.cfg.DataCentre {
		interval *= legacyRemoteFactor
	}
	return interval
}
