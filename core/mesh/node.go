package mesh

import (
	"math/rand/v2"
	"time"

	"github.com/shallotspool/shallotspool/core/concurrency"
	"github.com/shallotspool/shallotspool/core/registry"
	"github.com/shallotspool/shallotspool/core/route"
	"github.com/shallotspool/shallotspool/core/suspect"
)

// Config holds the identity and settings of a node.
type Config struct {
	// Instance is the IP address of the node and its upstream.
	Instance    string
	Incarnation int64
	// Service is the service of the local upstream.
	Service     string
	DataCentre  string
	Seed        uint64
	RetryBounds RetryBounds
	// StartedAt is the time at which the node started, on the clock that is passed in.
	StartedAt time.Duration
}

// Node is the decision state of one node.
type Node struct {
	cfg      Config
	random   *rand.Rand
	table    *route.Table
	tableAt  time.Duration
	splitter *route.Splitter
	registry *registry.Registry
	limiter  *concurrency.Limiter
	budget   *retryBudget
	runTimes runTimes
	peers    map[string]*peer
	// instances maps each instance with a registered upstream to its data centre.
	// byDataCentre holds these instances in the order in which they are chosen as relays.
	instances     map[string]string
	byDataCentre  map[string][]string
	outlierGroups map[string]*outlierGroup
	suspects      *suspect.Table
	receipts      receipts
	admission     admission
	refusals      refusals
	usage         usage
	arrivals      arrivals
	faults        faultTracker
	// ownRegistrationID and ownRegistrationBorn identify the run of the local upstream for
	// which faults are counted.
	ownRegistrationID   string
	ownRegistrationBorn int64
	// openWork holds, by request ID, the requests that are running at the local upstream
	// or queued for it.
	openWork map[string]*parentRequest
	// storeAnsweredAt is the time of the last answer of the store, 0 if it does not
	// answer or this node does not read it.
	storeAnsweredAt time.Duration
	// health is what the last reads tell of the store.
	health storeHealth
	// storeListed is set if this node knows the content of the store at position
	// watchFrom, so that its next read is a watch from there and not a listing.
	storeListed bool
	watchFrom   registry.Position
	// behindSince is when this node, while it reads the store, learned of newer state at
	// another node; 0 if it has the newest.
	behindSince time.Duration
	// fetchFailingSince is when fetching the state of other nodes began to fail, 0 if the last
	// state fetched or read could be used.
	fetchFailingSince time.Duration
	// nextReadAt is the earliest time of the next read of the store.
	nextReadAt time.Duration
	// othersListed is set once a read of the store showed other instances of the data centre.
	othersListed bool
	// following is set while this node leaves reading the store to others, and unread until a
	// first read of the store is answered or this node follows others.
	following, unread bool
	// digest identifies the set of known registrations, and adoptedDigest the set last
	// taken over from another node; see registryDigest.
	digest, adoptedDigest uint32
	// nearCapacity is set if, as of the last plan, a service was near its capacity or
	// requests were refused admission.
	nearCapacity bool
	leaving      bool
	// stop bounds the requests that start while this node is about to stop, nil before. departure
	// bounds those that start at the local upstream after it has left, nil if it has not.
	stop, departure *concurrency.Closing
	// wasUrgent is set if heartbeats were urgent at the last call of DueHeartbeats, and
	// planStale if relays told news for which the plan should not wait.
	wasUrgent, planStale bool
	relay                relay
	// ownReport is the heartbeat of this node at ownReportAt.
	ownReport   *Heartbeat
	ownReportAt time.Duration
	events      []Event
	// notice is what the local upstream said in its last answer. noticeKnown is set once it
	// has answered.
	notice      Notice
	noticeKnown bool
}

// New returns a node without a routing table and without known upstreams.
func New(cfg Config) *Node {
	n := &Node{
		cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, 1)),
		splitter: newSplitter(cfg.Seed), registry: registry.New(), limiter: concurrency.New(),
		budget: newRetryBudget(cfg.RetryBounds, cfg.StartedAt), runTimes: runTimes{},
		peers: map[string]*peer{}, instances: map[string]string{}, outlierGroups: map[string]*outlierGroup{},
		receipts:  newReceipts(cfg.StartedAt),
		suspects:  newSuspects(cfg.Instance, cfg.Incarnation),
		admission: newAdmission(), refusals: refusals{expires: map[refusedRequest]time.Duration{}},
		usage: usage{roots: map[uint32]*rootUsage{}}, openWork: map[string]*parentRequest{},
		relay: newRelay(),
	}
	n.limiter.SetLimit(defaultLimit)
	return n
}

// newSplitter returns a Splitter with a random source of its own.
func newSplitter(seed uint64) *route.Splitter {
	return route.NewSplitter(rand.New(rand.NewPCG(seed, 2)).Uint64)
}

// Table returns the routing table in force, nil if there is none yet.
func (n *Node) Table() *route.Table { return n.table }

// SetTable puts a routing table in force if it is newer than the current one, and
// reports whether it did.
func (n *Node) SetTable(now time.Duration, t *route.Table) bool {
	if n.table != nil && t.Version <= n.table.Version {
		return false
	}
	n.admission.forgetMovedRoutes(n.table, t)
	n.table, n.tableAt = t, now
	n.registry.SetServices(t.Lists)
	n.RegistryChanged()
	return true
}

// SetRetryBounds replaces the bounds on retries.
func (n *Node) SetRetryBounds(b RetryBounds) { n.budget.bounds = b }

// Registry returns the registry of known upstreams, for the caller to update.
// RegistryChanged must be called after each change.
func (n *Node) Registry() *registry.Registry { return n.registry }

// RegistryChanged updates the state that is derived from the registry.
func (n *Node) RegistryChanged() {
	clear(n.instances)
	n.digest = registryDigest(n.registry)
	n.registry.ForEachInstance(func(u *registry.Upstream) { n.instances[u.Instance] = u.DataCentre })
	n.byDataCentre = inRelayOrder(n.instances)
	n.recountEjections()
	if ownRegistration := n.ownRegistration(); ownRegistration != nil {
		if ownRegistration.ID != n.ownRegistrationID || ownRegistration.Born != n.ownRegistrationBorn {
			n.ownRegistrationID, n.ownRegistrationBorn = ownRegistration.ID, ownRegistration.Born
			n.UpstreamRecovered()
			n.forgetNotice()
		}
		n.limiter.SetLimit(concurrencyLimit(ownRegistration.Slots))
	}
}

// ownRegistration returns the newest registration of the local upstream, nil if there
// is none.
func (n *Node) ownRegistration() *registry.Upstream {
	var newest *registry.Upstream
	for _, u := range n.registry.ServiceUpstreams(n.cfg.Service) {
		if u.Instance == n.cfg.Instance && (newest == nil || u.Born > newest.Born) {
			newest = u
		}
	}
	return newest
}

// Ready reports whether the node can serve callers.
func (n *Node) Ready() bool { return n.table != nil && n.registry.Len() > 0 && !n.leaving }

// Load returns the load of the local upstream.
func (n *Node) Load() Load {
	return Load{Running: n.limiter.Running(), Queued: n.limiter.Queued(), Limit: n.concurrency()}
}
