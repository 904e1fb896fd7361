package mesh

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/shallotspool/shallotspool/core/registry"
	"github.com/shallotspool/shallotspool/core/route"
	"github.com/shallotspool/shallotspool/core/store"
)

// ErrStoreRestored is returned for a read whose result is of another era of the store than
// the node relies on. The result must not be used; the next read is a listing.
var ErrStoreRestored = errors.New("the store was restored")

// StoreRead is one read of the store: a complete listing, or a watch from a position. If Check is
// set, the read follows a failed one and tells whether the store answers: a watch must not wait
// for changes.
type StoreRead struct {
	List  bool
	After registry.Position
	Check bool
}

// NextRead returns the next read of the store that this node needs.
func (n *Node) NextRead() StoreRead {
	return StoreRead{List: !n.storeListed, After: n.watchFrom, Check: n.health.suspect}
}

// HistoryGone records that the store cannot answer a watch from where this node is, so
// that the next read is a listing.
func (n *Node) HistoryGone() { n.storeListed = false }

// ApplyRead applies the result of a read of the store and returns the tables that came
// into force. It returns ErrStoreRestored for a watch that was answered in another era
// than it started from, because changes may be missing, and for a listing of an era
// before the one that this node knows.
func (n *Node) ApplyRead(now time.Duration, read StoreRead, changes store.Changes) (inForce []*route.Table, err error) {
	r := n.registry
	position := changes.Position()
	if !read.List && position.Era != read.After.Era || position.Era < r.Position().Era {
		n.storeListed = false
		return nil, ErrStoreRestored
	}
	r.MarkStoreUp(now)
	n.unread = false
	n.StoreAnswered(now)
	n.health.answered(read)
	n.fetchFailingSince = 0
	defer func() { n.nextReadAt = now + n.discoveryDelay(now) }()
	n.storeListed, n.watchFrom = true, position
	for _, t := range changes.Tables {
		if n.SetTable(now, t) {
			inForce = append(inForce, t)
		}
	}
	// A listing may be older than the state received from other nodes. In this case it
	// only adds upstreams and removes none.
	if read.List && !r.Position().After(position) {
		r.Replace(now, changes.Upstreams, position)
	} else {
		r.Apply(now, changes.Upstreams)
		r.Advance(now, position)
	}
	if read.List || len(changes.Upstreams) > 0 {
		n.RegistryChanged()
	}
	return inForce, nil
}

const (
	// discoveryPeriod is the time after the start of a node in which it may not have heard
	// other nodes yet, so that it does not know whether to read the store.
	discoveryPeriod = 3 * time.Second
	// firstPause, settlePause and followPause are the mean times that a node waits after a
	// read in that period: if it knows no other instance of its data centre, after the first
	// read that shows some, and if it will probably follow.
	firstPause  = 1500 * time.Millisecond
	settlePause = time.Second
	followPause = time.Second
)

// ReadDue reports whether this node may read the store now, provided that ShouldFollow
// reports false. A node that follows others already does not take over in discoveryPeriod, in
// which it does not hear all of them.
func (n *Node) ReadDue(now time.Duration) bool {
	discovering := now-n.cfg.StartedAt < discoveryPeriod
	return now >= n.nextReadAt && !(n.following && discovering)
}

// discoveryDelay returns how long this node, after a read of the store, waits to hear from
// nodes that read it. Just after a start nodes do not know each other. Each of them would go
// on reading, for every upstream that registers, if it did not wait. Once a node knows
// others, the wait is shorter if it is to be a reader, as far as the registrations show.
func (n *Node) discoveryDelay(now time.Duration) time.Duration {
	if now-n.cfg.StartedAt > discoveryPeriod {
		return 0
	}
	others, preceding := 0, 0
	for instance, dataCentre := range n.instances {
		if dataCentre != n.cfg.DataCentre || instance == n.cfg.Instance {
			continue
		}
		others++
		if readerPosition(instance) < readerPosition(n.cfg.Instance) {
			preceding++
		}
	}
	pause := followPause
	switch {
	case others == 0:
		pause = firstPause
	case !n.othersListed:
		n.othersListed, pause = true, settlePause
	case preceding < readersPerDataCentre:
		return 0
	}
	return pause/2 + time.Duration(n.random.Int64N(int64(pause)))
}
