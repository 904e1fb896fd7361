// Package registry holds the upstreams that registered themselves in the
// platform's store. It is fed with listings and changes of the store and tells
// which upstreams may receive work. A Registry is not safe for concurrent use.
package registry

import (
	"slices"
	"time"
)

// Upstream is one registered upstream, as described by its latest entry. Its
// fields are encoded in CBOR under their own names when nodes exchange their
// state.
type Upstream struct {
	// ID identifies one registration. An upstream that restarts usually gets a
	// new ID.
	ID      string
	Service string
	// Address is the upstream's IP:port. Instance is the IP part, on which the
	// node beside the upstream listens.
	Address    string
	Instance   string
	DataCentre string
	// Slots is the number of requests that the upstream processes concurrently.
	Slots int
	// Draining is true if the upstream is about to leave and accepts no new
	// work.
	Draining bool
	// ColdUntil is when the upstream has warmed up, on the node's clock. Nodes send
	// each other the remaining time instead.
	ColdUntil time.Duration
	// Born distinguishes runs of an upstream; a later run has a higher value. It
	// is 0 if the entry does not state it.
	Born int64
	// Sequence counts the writes of the entry since Born, 0 if the entry does not state
	// it.
	Sequence int64
	// Revision is the store revision of the entry, and Era the era that it belongs to.
	Revision uint64
	Era      uint64
}

// Position returns the position of the entry in the history of the store.
func (u *Upstream) Position() Position { return Position{u.Era, u.Revision} }

// Change is one change of an entry. If Upstream is nil and Removed is false, the
// entry does not describe a usable upstream.
type Change struct {
	ID       string
	Era      uint64
	Revision uint64
	Removed  bool
	Upstream *Upstream
}

func (c Change) position() Position { return Position{c.Era, c.Revision} }

// ReturnGracePeriod is how long after the end of a store outage an entry that
// lapsed during the outage may take to return. The platform's discovery page
// specifies this time.
const ReturnGracePeriod = 2 * time.Second

// maxUpstreams limits the entries held: the 4,300 upstreams to be supported, with
// room for a full replacement.
const maxUpstreams = 10_000

// entry is one known upstream.
type entry struct {
	Upstream
	// lapsed is true if the entry is gone from the store but may return; it is
	// removed at removeAt, or at the end of a later grace period.
	lapsed   bool
	removeAt time.Duration
	// missingAtPeer is true if the entry lapsed because another node does not have it.
	// It is then removed at removeAt, even during an outage.
	missingAtPeer bool
}

// Registry is the set of known upstreams.
type Registry struct {
	entries map[string]*entry
	// byService holds the upstreams by service name; of several entries with the
	// same address it contains only the newest.
	byService map[string][]*Upstream
	// listed reports whether the operators list a service; nil if that is not known yet.
	listed func(service string) bool
	// leaving holds the upstreams that said themselves that they leave: Born by ID.
	leaving map[string]int64
	// removals holds the entries that were removed, or whose address belongs to another
	// upstream, by ID.
	removals map[string]removal
	// position is the newest position of the store that was applied.
	position Position
	// storeDown is true while the store does not answer. graceEndsAt is when
	// entries that lapsed during the last outage must be back.
	storeDown   bool
	graceEndsAt time.Duration
	// restoreGraceEndsAt is when entries that the store lost in its last restore must be
	// back.
	restoreGraceEndsAt time.Duration
}

// New returns an empty Registry.
func New() *Registry {
	return &Registry{
		entries: map[string]*entry{}, byService: map[string][]*Upstream{}, leaving: map[string]int64{}, removals: map[string]removal{},
	}
}

// MarkStoreDown records that the store does not answer.
func (r *Registry) MarkStoreDown() { r.storeDown = true }

// ClearOutage ends an outage because this node now relies on other nodes that read
// the store, so it does not matter whether the store answers this one.
func (r *Registry) ClearOutage() { r.storeDown, r.graceEndsAt = false, 0 }

// StoreDown reports whether the store does not answer.
func (r *Registry) StoreDown() bool { return r.storeDown }

// MergePeerState applies the state of another node: the changes since this node was
// last current, the IDs of all entries present, and those of them that lapsed there. It removes
// all other entries, after a grace period if the store was restored, and returns their IDs, sorted.
func (r *Registry) MergePeerState(now time.Duration, changed []Change, present []string, lapses []Lapse, position Position) (removed []string) {
	r.Advance(now, position)
	for _, c := range changed {
		r.upsert(now, c)
	}
	for _, l := range lapses {
		r.adoptLapse(now, l)
	}
	listed := make(map[string]bool, len(present))
	for _, id := range present {
		listed[id] = true
	}
	for id := range r.entries {
		if !listed[id] && r.removeMissingAtPeer(now, id) {
			removed = append(removed, id)
		}
	}
	slices.Sort(removed)
	r.rebuildIndex()
	return removed
}

// removeMissingAtPeer deletes an entry that another node does not have and reports whether
// it did. After a restore of the store it marks the entry as lapsed instead.
func (r *Registry) removeMissingAtPeer(now time.Duration, id string) (deleted bool) {
	e := r.entries[id]
	if now < r.restoreGraceEndsAt {
		e.lapsed, e.missingAtPeer, e.removeAt = true, true, r.restoreGraceEndsAt
		return false
	}
	r.rememberRemoval(now, e.Upstream, 0)
	delete(r.entries, id)
	return true
}

// Advance records that all changes up to a position of the store are applied. In a new
// era, entries that are missing from the store have a grace period to return, because the
// upstreams have to write again what the store lost.
func (r *Registry) Advance(now time.Duration, position Position) {
	if position.Era > r.position.Era && len(r.entries) > 0 {
		r.restoreGraceEndsAt = now + ReturnGracePeriod
		r.graceEndsAt = max(r.graceEndsAt, r.restoreGraceEndsAt)
	}
	r.position = r.position.max(position)
}

// MarkStoreUp records that the store answers again. After an outage it starts the
// grace period for lapsed entries.
func (r *Registry) MarkStoreUp(now time.Duration) {
	if r.storeDown {
		r.storeDown = false
		r.graceEndsAt = now + ReturnGracePeriod
	}
}

// Replace applies a complete listing. Entries that are not in it are removed
// immediately or, during an outage and its grace period, once they had time to
// return.
func (r *Registry) Replace(now time.Duration, list []Change, position Position) {
	r.Advance(now, position)
	listed := make(map[string]bool, len(list))
	for _, c := range list {
		listed[c.ID] = true
		r.upsert(now, c)
	}
	for id := range r.entries {
		if !listed[id] {
			r.remove(now, id, 0)
		}
	}
	r.rebuildIndex()
}

// Apply applies changes in the order in which the store reported them. It skips
// changes that are not newer than the current position.
func (r *Registry) Apply(now time.Duration, changes []Change) {
	for _, c := range changes {
		if c.Revision != 0 && !c.position().After(r.position) {
			continue
		}
		r.Advance(now, c.position())
		if c.Removed {
			r.remove(now, c.ID, c.Revision)
			continue
		}
		// The upstream wrote this after the store was restored.
		if removed, known := r.removals[c.ID]; known && removed.Era != c.Era {
			delete(r.removals, c.ID)
		}
		r.upsert(now, c)
	}
	r.rebuildIndex()
}

// upsert stores the upstream of a change, or removes the entry if the change has
// none. It skips an entry that was removed and has not changed since, and a new entry
// beyond maxUpstreams. An entry that the upstream wrote before the known one only
// confirms that the known one is in the store.
func (r *Registry) upsert(now time.Duration, c Change) {
	if c.Upstream == nil {
		r.removeUnusable(now, c)
		return
	}
	u := *c.Upstream
	u.Era, u.Revision = c.Era, max(u.Revision, c.Revision)
	r.applyLeaving(&u)
	if r.returnsRemoved(&u) {
		return
	}
	delete(r.removals, c.ID)
	known := r.entries[c.ID]
	switch {
	case known == nil && len(r.entries) >= maxUpstreams:
	case known == nil || u.supersedes(&known.Upstream):
		r.entries[c.ID] = &entry{Upstream: u}
	default:
		known.lapsed, known.missingAtPeer = false, false
		if u.Position().After(known.Position()) {
			known.Era, known.Revision = u.Era, u.Revision
		}
	}
}

// removeUnusable removes the entry of a change that describes no usable upstream. In an
// older copy of the store that may be what the upstream has replaced since.
func (r *Registry) removeUnusable(now time.Duration, c Change) {
	e := r.entries[c.ID]
	if e != nil && e.Era != c.Era {
		r.remove(now, c.ID, c.Revision)
		return
	}
	delete(r.entries, c.ID)
}

// remove deletes an entry and reports whether it did. During an outage and its grace
// period it marks the entry as lapsed instead. revision is that of the removal, 0 if it
// is not known.
func (r *Registry) remove(now time.Duration, id string, revision uint64) (deleted bool) {
	e := r.entries[id]
	switch {
	case e == nil || e.lapsed:
		return false
	case r.storeDown || now < r.graceEndsAt:
		e.lapsed, e.removeAt = true, r.graceEndsAt
		return false
	}
	r.rememberRemoval(now, e.Upstream, revision)
	delete(r.entries, id)
	return true
}

// Tick removes the lapsed entries that did not return in time and returns their
// IDs, sorted.
func (r *Registry) Tick(now time.Duration) (removed []string) {
	r.forgetRemovals(now)
	for id, e := range r.entries {
		if e.lapsed && r.graceOver(now, e) {
			r.rememberRemoval(now, e.Upstream, 0)
			delete(r.entries, id)
			removed = append(removed, id)
		}
	}
	if len(removed) > 0 {
		slices.Sort(removed)
		r.rebuildIndex()
	}
	return removed
}

// RemoveMoved removes an entry because another upstream answers at its address.
// The entry is accepted again once it changes.
func (r *Registry) RemoveMoved(now time.Duration, id string) {
	e := r.entries[id]
	if e == nil {
		return
	}
	r.rememberMove(now, e.Upstream)
	delete(r.entries, id)
	r.rebuildIndex()
}

// ServiceUpstreams returns the upstreams of a service, including draining and
// lapsed ones. The slice is valid until the next change of the Registry.
func (r *Registry) ServiceUpstreams(name string) []*Upstream { return r.byService[name] }

// ForEachService calls fn for every service that has upstreams.
func (r *Registry) ForEachService(fn func(name string, upstreams []*Upstream)) {
	for name, list := range r.byService {
		fn(name, list)
	}
}

// ForEachInstance calls fn for every instance, with the entry that says of it where it is.
func (r *Registry) ForEachInstance(fn func(*Upstream)) {
	for _, e := range r.newestBy(func(e *entry) string { return e.Instance }) {
		fn(&e.Upstream)
	}
}

// ForEach calls fn for every entry, in no particular order.
func (r *Registry) ForEach(fn func(*Upstream)) {
	for _, e := range r.entries {
		fn(&e.Upstream)
	}
}

// Get returns the upstream with the given ID, or nil.
func (r *Registry) Get(id string) *Upstream {
	if e := r.entries[id]; e != nil {
		return &e.Upstream
	}
	return nil
}

// Len returns the number of known upstreams.
func (r *Registry) Len() int { return len(r.entries) }

// Position returns the position of the store up to which the Registry is current.
func (r *Registry) Position() Position { return r.position }
