package mesh

import (
	"time"

	"github.com/shallotspool/shallotspool/core/route"
	"github.com/shallotspool/shallotspool/core/store"
)

// StoreRead is one read of the store: a complete listing, or a watch from a revision.
type StoreRead struct {
	List  bool
	After uint64
}

// NextRead returns the next read of the store that this node needs.
func (n *Node) NextRead() StoreRead { return StoreRead{List: !n.storeListed, After: n.watchFrom} }

// HistoryGone records that the store cannot answer a watch from where this node is, so
// that the next read is a listing.
func (n *Node) HistoryGone() { n.storeListed = false }

// ApplyRead applies the result of a read of the store and returns the tables that came
// into force.
func (n *Node) ApplyRead(now time.Duration, read StoreRead, changes store.Changes) (inForce []*route.Table) {
	r := n.registry
	r.MarkStoreUp(now)
	n.StoreAnswered(now)
	n.storeListed, n.watchFrom = true, changes.Revision
	for _, t := range changes.Tables {
		if n.SetTable(now, t) {
			inForce = append(inForce, t)
		}
	}
	// A listing may be older than the state received from other nodes. In this case it
	// only adds upstreams and removes none.
	if read.List && changes.Revision >= r.Revision() {
		r.Replace(now, changes.Upstreams, changes.Revision)
	} else {
		r.Apply(now, changes.Upstreams)
		r.AdvanceRevision(changes.Revision)
	}
	if read.List || len(changes.Upstreams) > 0 {
		n.RegistryChanged()
	}
	return inForce
}
