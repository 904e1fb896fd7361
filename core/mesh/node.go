// Package mesh decides for one node what becomes of requests: which upstream
// they go to, when they are tried again, refused or given up, and which of them
// the own upstream gets. It is pure: time and seed are passed in. A Node is not
// safe for concurrent use.
package mesh

import (
	"math/rand/v2"
	"time"

	"github.com/shallotspool/shallotspool/core/guard"
	"github.com/shallotspool/shallotspool/core/poison"
	"github.com/shallotspool/shallotspool/core/registry"
	"github.com/shallotspool/shallotspool/core/route"
)

// Config is what a node knows of itself.
type Config struct {
	// Instance is the IP of the node and of its upstream.
	Instance    string
	Incarnation int64
	// Service is that of the own upstream.
	Service    string
	DataCentre string
	Seed       uint64
	Retries    RetryBounds
}

// Node is the state of one node's decisions.
type Node struct {
	cfg      Config
	random   *rand.Rand
	table    *route.Table
	tableAt  time.Duration
	splitter *route.Splitter
	registry *registry.Registry
	guard    *guard.Guard
	budget   *retryBudget
	runs     runTimes
	peers    map[string]*peer
	// instances are those with a registered upstream, with their data centres.
	instances map[string]string
	groups    map[string]*group
	crashers  *poison.Table
	entry     entry
	returns   returns
	usage     usage
	arrivals  arrivals
	faults    faults
	// ownID is the registration of the own upstream that faults are counted of.
	ownID string
	// working holds the requests that the own upstream has, by their id.
	working map[string]*lineage
	// storeAt is when the store last answered this node, 0 if it does not, digest
	// names the upstreams known, and followed those that were last taken from
	// another node.
	storeAt          time.Duration
	following        bool
	digest, followed uint32
	// pressed is set while the fleet has little room, see pressedFrom.
	pressed bool
	leaving bool
	events  []Event
}

// New returns a node that knows no table and no upstreams.
func New(cfg Config) *Node {
	n := &Node{
		cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, 1)),
		splitter: route.NewSplitter(), registry: registry.New(), guard: guard.New(),
		budget: newRetryBudget(cfg.Retries), runs: runTimes{},
		peers: map[string]*peer{}, instances: map[string]string{}, groups: map[string]*group{},
		crashers: poison.New(poison.Config{Remember: crashMemory, Max: maxCrashers}), entry: newEntry(), returns: returns{until: map[uint64]time.Duration{}}, usage: usage{roots: map[uint32]*rootUsage{}}, working: map[string]*lineage{},
	}
	n.guard.SetLimit(unknownSlots)
	return n
}

// Table returns the routing table in force, nil if there is none yet.
func (n *Node) Table() *route.Table { return n.table }

// SetTable puts a table in force unless it is not newer than the one in force.
func (n *Node) SetTable(now time.Duration, t *route.Table) bool {
	if n.table != nil && t.Version <= n.table.Version {
		return false
	}
	n.table, n.tableAt = t, now
	return true
}

// SetRetries changes the bounds on retries.
func (n *Node) SetRetries(b RetryBounds) { n.budget.bounds = b }

// Registry returns the known upstreams, to feed it; Registered follows a change.
func (n *Node) Registry() *registry.Registry { return n.registry }

// Registered takes in a change of the Registry.
func (n *Node) Registered() {
	clear(n.instances)
	n.digest = digestOf(n.registry)
	n.registry.Services(func(_ string, list []*registry.Upstream) {
		for _, u := range list {
			n.instances[u.Instance] = u.DataCentre
		}
	})
	if own := n.own(); own != nil {
		if own.ID != n.ownID {
			n.ownID = own.ID
			n.UpstreamBack()
		}
		n.guard.SetLimit(limitOf(own.Slots))
	}
}

// own returns the registration of the own upstream, nil if there is none.
func (n *Node) own() *registry.Upstream {
	var newest *registry.Upstream
	for _, u := range n.registry.Service(n.cfg.Service) {
		if u.Instance == n.cfg.Instance && (newest == nil || u.Born > newest.Born) {
			newest = u
		}
	}
	return newest
}

// Leave tells that the node is about to stop.
func (n *Node) Leave() { n.leaving = true }

// Ready tells whether the node can serve callers.
func (n *Node) Ready() bool { return n.table != nil && n.registry.Len() > 0 && !n.leaving }

// Load returns how busy the own upstream is.
func (n *Node) Load() Load {
	return Load{Running: n.guard.Running(), Queued: n.guard.Queued(), Limit: n.guard.Limit()}
}
