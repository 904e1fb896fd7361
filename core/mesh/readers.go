package mesh

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shallotspool/shallotspool/core/registry"
)

const (
	// readersPerDataCentre is the number of nodes per data centre that read the store.
	// Reads cost money, and a deployment can grow beyond what the store can answer.
	// With three readers the loss of two goes unnoticed.
	readersPerDataCentre = 3
	// storeTimeout is how long after an answer of the store a node counts as in touch
	// with it: the longest time of one watch and the pause before it, and a margin.
	storeTimeout = WatchTime + WatchSlack + 2*BatchDelay
)

// StoreAnswered records that the store answered this node.
func (n *Node) StoreAnswered(now time.Duration) { n.storeAnsweredAt = now }

// StartReading records that this node is about to read the store for the first time. Until a read
// is answered it takes the store state from other nodes.
func (n *Node) StartReading() { n.unread = true }

// StoreLost records that the store does not answer this node.
func (n *Node) StoreLost() {
	n.storeAnsweredAt, n.unread = 0, false
	n.registry.MarkStoreDown()
}

// FollowReaders records that this node stops reading the store and follows the readers.
func (n *Node) FollowReaders() {
	n.storeAnsweredAt, n.following, n.unread = 0, true, false
	n.health = storeHealth{}
	n.registry.ClearOutage()
}

// ResumeReading records that this node reads the store again, from the position that it
// reached while it followed other nodes. While the store answers, it ignores the store
// state of other nodes, which may be cut off from the store themselves.
func (n *Node) ResumeReading() {
	n.following = false
	n.watchFrom = n.registry.Position()
	n.storeListed = n.watchFrom.Revision > 0
}

// learnsFromPeers reports whether this node takes the store state from other nodes.
func (n *Node) learnsFromPeers() bool { return n.following || n.unread || n.registry.StoreDown() }

// readsStore reports whether this node is in touch with the store.
func (n *Node) readsStore(now time.Duration) bool {
	return n.storeAnsweredAt > 0 && now-n.storeAnsweredAt < storeTimeout
}

// ShouldFollow reports whether this node should leave reading the store to others,
// because enough nodes of its data centre that precede it are in touch with it, and their state
// can be fetched.
func (n *Node) ShouldFollow(now time.Duration) bool {
	if n.cannotCatchUp(now) {
		return false
	}
	readers := 0
	for instance, dataCentre := range n.instances {
		if dataCentre == n.cfg.DataCentre && n.isPrecedingReader(now, instance) {
			readers++
		}
	}
	return readers >= readersPerDataCentre
}

// isPrecedingReader reports whether an instance is alive, in touch with the store and
// precedes this node in the order of readers.
func (n *Node) isPrecedingReader(now time.Duration, instance string) bool {
	p := n.peers[instance]
	if p == nil || instance == n.cfg.Instance || p.heartbeatAt == 0 || p.silent(now) || !p.heartbeat.ReadsStore || p.heartbeat.Leaving {
		return false
	}
	return readerPosition(instance) < readerPosition(n.cfg.Instance)
}

// readerPosition returns the position of an instance in the order in which nodes are
// chosen as readers, the lowest first.
func readerPosition(instance string) uint64 { return xxhash.Sum64String(instance) }

// firstPrecedingReader returns the first reader of the local data centre if it precedes
// this node, nil otherwise.
func (n *Node) firstPrecedingReader(now time.Duration) *peer {
	var best *peer
	for instance, dataCentre := range n.instances {
		if dataCentre != n.cfg.DataCentre || !n.isPrecedingReader(now, instance) {
			continue
		}
		if best == nil || readerPosition(instance) < readerPosition(best.instance) {
			best = n.peers[instance]
		}
	}
	return best
}

// registryDigest returns a hash that identifies a set of registrations. It changes
// whenever one is added, changed or removed, lapses or returns.
func registryDigest(r *registry.Registry) uint32 {
	sum := uint64(0)
	r.ForEach(func(u *registry.Upstream) {
		id := xxhash.Sum64String(u.ID)
		sum += id * (2*u.Revision + 1)
		if r.Lapsed(u.ID) {
			sum += id
		}
	})
	return uint32(sum ^ sum>>32)
}
