// Package registry holds the upstreams that registered themselves in the
// platform's store. It is fed with listings and changes of the store and tells
// which upstreams may receive work. A Registry is not safe for concurrent use.
package registry

import (
	"cmp"
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
	// Revision is the store revision of the entry.
	Revision uint64
}

// Change is one change of an entry. If Upstream is nil and Removed is false, the
// entry does not describe a usable upstream.
type Change struct {
	ID       string
	Revision uint64
	Removed  bool
	Upstream *Upstream
}

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
}

// Registry is the set of known upstreams.
type Registry struct {
	entries map[string]*entry
	// byService holds the upstreams by service name; of several entries with the
	// same address it contains only the newest.
	byService map[string][]*Upstream
	// movedRevisions maps the ID of an entry whose address now belongs to
	// another upstream to the entry's revision at that time.
	movedRevisions map[string]uint64
	// revision is the newest store revision applied.
	revision uint64
	// storeDown is true while the store does not answer. graceEndsAt is when
	// entries that lapsed during the last outage must be back.
	storeDown   bool
	graceEndsAt time.Duration
}

// New returns an empty Registry.
func New() *Registry {
	return &Registry{
		entries: map[string]*entry{}, byService: map[string][]*Upstream{}, movedRevisions: map[string]uint64{},
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
// last current, and the IDs of all entries present. It removes all other entries
// and returns their IDs, sorted.
func (r *Registry) MergePeerState(now time.Duration, changed []Change, present []string, revision uint64) (removed []string) {
	for _, c := range changed {
		r.upsert(now, c)
	}
	listed := make(map[string]bool, len(present))
	for _, id := range present {
		listed[id] = true
	}
	for id := range r.entries {
		if !listed[id] {
			delete(r.entries, id)
			removed = append(removed, id)
		}
	}
	slices.Sort(removed)
	r.revision = max(r.revision, revision)
	r.rebuildIndex()
	return removed
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
func (r *Registry) Replace(now time.Duration, list []Change, revision uint64) {
	listed := make(map[string]bool, len(list))
	for _, c := range list {
		listed[c.ID] = true
		r.upsert(now, c)
	}
	for id := range r.entries {
		if !listed[id] {
			r.remove(now, id)
		}
	}
	r.revision = max(r.revision, revision)
	r.rebuildIndex()
}

// Apply applies changes in the order in which the store reported them. It skips
// changes that are not newer than the current revision.
func (r *Registry) Apply(now time.Duration, changes []Change) {
	for _, c := range changes {
		if c.Revision != 0 && c.Revision <= r.revision {
			continue
		}
		r.revision = max(r.revision, c.Revision)
		if c.Removed {
			r.remove(now, c.ID)
			continue
		}
		r.upsert(now, c)
	}
	r.rebuildIndex()
}

// upsert stores the upstream of a change, or deletes the entry if the change has
// none. It skips an entry that moved and has not changed since, and a new entry
// beyond maxUpstreams.
func (r *Registry) upsert(now time.Duration, c Change) {
	if c.Upstream == nil {
		delete(r.entries, c.ID)
		return
	}
	if revision, moved := r.movedRevisions[c.ID]; moved && c.Revision <= revision {
		return
	}
	delete(r.movedRevisions, c.ID)
	if r.entries[c.ID] == nil && len(r.entries) >= maxUpstreams {
		return
	}
	e := &entry{Upstream: *c.Upstream}
	e.Revision = max(e.Revision, c.Revision)
	r.entries[c.ID] = e
}

// remove deletes an entry, or marks it as lapsed during an outage and its grace
// period.
func (r *Registry) remove(now time.Duration, id string) {
	e := r.entries[id]
	switch {
	case e == nil || e.lapsed:
	case r.storeDown || now < r.graceEndsAt:
		e.lapsed, e.removeAt = true, r.graceEndsAt
	default:
		delete(r.entries, id)
	}
}

// Tick removes the lapsed entries that did not return in time and returns their
// IDs, sorted.
func (r *Registry) Tick(now time.Duration) (removed []string) {
	if r.storeDown {
		return nil
	}
	for id, e := range r.entries {
		if e.lapsed && now >= max(e.removeAt, r.graceEndsAt) {
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
func (r *Registry) RemoveMoved(id string) {
	e := r.entries[id]
	if e == nil {
		return
	}
	if len(r.movedRevisions) >= maxUpstreams {
		clear(r.movedRevisions)
	}
	r.movedRevisions[id] = e.Revision
	delete(r.entries, id)
	r.rebuildIndex()
}

// rebuildIndex rebuilds the lists by service, each sorted by ID. Of several
// entries with the same address the one with the highest revision is used.
func (r *Registry) rebuildIndex() {
	clear(r.byService)
	newest := make(map[string]*entry, len(r.entries))
	for _, e := range r.entries {
		if current := newest[e.Address]; current == nil || e.Revision > current.Revision {
			newest[e.Address] = e
		}
	}
	for _, e := range newest {
		r.byService[e.Service] = append(r.byService[e.Service], &e.Upstream)
	}
	for _, list := range r.byService {
		slices.SortFunc(list, func(a, b *Upstream) int { return cmp.Compare(a.ID, b.ID) })
	}
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

// AdvanceRevision records that all changes up to a store revision have been
// applied.
func (r *Registry) AdvanceRevision(revision uint64) { r.revision = max(r.revision, revision) }

// Revision returns the store revision up to which the Registry is current.
func (r *Registry) Revision() uint64 { return r.revision }
