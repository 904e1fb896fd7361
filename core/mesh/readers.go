package mesh

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shallotspool/shallotspool/core/registry"
)

const (
	// readersPerDataCentre is the number of nodes in each data centre that read the
	// store while they can; the others follow them. Reads are priced, and the
	// fleet's long-run size is above what the store answers. Two, so that the loss
	// of one is not noticed.
	readersPerDataCentre = 2
	// storeFresh is how long after an answer of the store a node counts as in touch
	// with it: one watch that waits and its slack.
	storeFresh = 3 * time.Second
)

// StoreAnswered takes in that the store answered this node.
func (n *Node) StoreAnswered(now time.Duration) { n.storeAt = now }

// StoreLost takes in that the store does not answer.
func (n *Node) StoreLost() {
	n.storeAt = 0
	n.registry.Outage()
}

// Follow takes in that this node leaves reading the store to others.
func (n *Node) Follow() {
	n.storeAt, n.following = 0, true
	n.registry.Followed()
}

// Resume takes in that this node reads the store again. What other nodes say of
// the store does not count: they may be cut off from it alone.
func (n *Node) Resume() { n.following = false }

// learnsFromPeers tells whether this node does not read the store.
func (n *Node) learnsFromPeers() bool { return n.following || n.registry.InOutage() }

// reads tells whether this node is in touch with the store.
func (n *Node) reads(now time.Duration) bool { return n.storeAt > 0 && now-n.storeAt < storeFresh }

// Follows tells whether this node leaves reading the store to others: enough
// nodes of its data centre that rank before it are in touch with the store.
func (n *Node) Follows(now time.Duration) bool {
	before := 0
	for instance, dataCentre := range n.instances {
		if dataCentre == n.cfg.DataCentre && n.readsBefore(now, instance) {
			before++
		}
	}
	return before >= readersPerDataCentre
}

// readsBefore tells whether instance is heard to read the store and ranks before
// this node.
func (n *Node) readsBefore(now time.Duration, instance string) bool {
	p := n.peers[instance]
	if p == nil || instance == n.cfg.Instance || p.beatAt == 0 || p.silent(now) || !p.beat.Reads || p.beat.Leaving {
		return false
	}
	return readerRank(instance) < readerRank(n.cfg.Instance)
}

// readerRank orders the instances of a data centre as readers.
func readerRank(instance string) uint64 { return xxhash.Sum64String(instance) }

// lead returns the best reader of the own data centre that is heard of, nil if
// there is none.
func (n *Node) lead(now time.Duration) *peer {
	var best *peer
	for instance, dataCentre := range n.instances {
		if dataCentre != n.cfg.DataCentre || !n.readsBefore(now, instance) {
			continue
		}
		if best == nil || readerRank(instance) < readerRank(best.instance) {
			best = n.peers[instance]
		}
	}
	return best
}

// digestOf names a set of registrations; it changes with each that comes, changes
// or goes.
func digestOf(r *registry.Registry) uint32 {
	sum := uint64(0)
	r.Each(func(u *registry.Upstream) {
		sum += xxhash.Sum64String(u.ID) * (2*u.Revision + 1)
	})
	return uint32(sum ^ sum>>32)
}
