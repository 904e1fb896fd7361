// Package registry holds what a node knows of the upstreams that registered
// themselves. It is fed with listings and changes of the platform's store and
// says which upstreams may get work. A Registry is not safe for concurrent use.
package registry

import (
	"cmp"
	"slices"
	"time"
)

// Upstream is one registered upstream, as its newest entry says.
type Upstream struct {
	// ID names one registration; an upstream that restarts mostly has a new one.
	ID      string
	Service string
	// Address is the upstream's own IP:port; Instance is the IP of it, where the
	// node beside it listens.
	Address    string
	Instance   string
	DataCentre string
	// Slots is the number of requests it works on at once.
	Slots int
	// Draining tells that it leaves soon and takes no new work.
	Draining bool
	// ColdUntil is when it has warmed up, on the node's clock.
	ColdUntil time.Duration
	// Born tells its runs apart, 0 if not stated.
	Born int64
	// Revision is the store's revision of the entry.
	Revision uint64
}

// Change is one change of an entry. A nil Upstream with Removed unset is an
// entry that names no usable upstream.
type Change struct {
	ID       string
	Revision uint64
	Removed  bool
	Upstream *Upstream
}

// ReturnGrace is how long after an outage of the store an entry that lapsed
// meanwhile may take to come back; from the platform's page on discovery.
const ReturnGrace = 2 * time.Second

// maxUpstreams bounds the entries held; from the long-run size of 4,300 with
// room for a full replacement.
const maxUpstreams = 10_000

// entry is one known upstream.
type entry struct {
	Upstream
	// missing is set while the entry is gone from the store but may come back,
	// and dropAt is when it is given up.
	missing bool
	dropAt  time.Duration
}

// Registry is the set of known upstreams.
type Registry struct {
	entries  map[string]*entry
	services map[string][]*Upstream
	// moved holds the revision of entries whose address another upstream has.
	moved map[string]uint64
	// revision is the newest change taken in for any key.
	revision uint64
	// outage is set while the store does not answer, and settledAt is when
	// entries that lapsed in the last outage should be back.
	outage    bool
	settledAt time.Duration
}

// New returns an empty Registry.
func New() *Registry {
	return &Registry{
		entries: map[string]*entry{}, services: map[string][]*Upstream{}, moved: map[string]uint64{},
	}
}

// Outage tells that the store does not answer.
func (r *Registry) Outage() { r.outage = true }

// Followed tells that other nodes read the store, so that it is no matter whether
// it answers this one.
func (r *Registry) Followed() { r.outage, r.settledAt = false, 0 }

// InOutage tells whether the store does not answer.
func (r *Registry) InOutage() bool { return r.outage }

// Adopt takes in what another node knows: what changed since this one was
// current, and the IDs of all entries. It returns those that are gone.
func (r *Registry) Adopt(now time.Duration, changed []Change, present []string, revision uint64) (gone []string) {
	for _, c := range changed {
		r.take(now, c)
	}
	listed := make(map[string]bool, len(present))
	for _, id := range present {
		listed[id] = true
	}
	for id := range r.entries {
		if !listed[id] {
			delete(r.entries, id)
			gone = append(gone, id)
		}
	}
	slices.Sort(gone)
	r.revision = max(r.revision, revision)
	r.index()
	return gone
}

// Answering tells that the store answers again.
func (r *Registry) Answering(now time.Duration) {
	if r.outage {
		r.outage = false
		r.settledAt = now + ReturnGrace
	}
}

// Replace takes in a complete listing. Entries it lacks are gone, at once or,
// right after an outage, once they had time to come back.
func (r *Registry) Replace(now time.Duration, list []Change, revision uint64) {
	listed := make(map[string]bool, len(list))
	for _, c := range list {
		listed[c.ID] = true
		r.take(now, c)
	}
	for id := range r.entries {
		if !listed[id] {
			r.remove(now, id)
		}
	}
	r.revision = max(r.revision, revision)
	r.index()
}

// Apply takes in changes in the order the store gave them.
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
		r.take(now, c)
	}
	r.index()
}

func (r *Registry) take(now time.Duration, c Change) {
	if c.Upstream == nil {
		delete(r.entries, c.ID)
		return
	}
	if revision, moved := r.moved[c.ID]; moved && c.Revision <= revision {
		return
	}
	delete(r.moved, c.ID)
	if r.entries[c.ID] == nil && len(r.entries) >= maxUpstreams {
		return
	}
	e := &entry{Upstream: *c.Upstream}
	e.Revision = max(e.Revision, c.Revision)
	r.entries[c.ID] = e
}

func (r *Registry) remove(now time.Duration, id string) {
	e := r.entries[id]
	switch {
	case e == nil || e.missing:
	case r.outage || now < r.settledAt:
		e.missing, e.dropAt = true, r.settledAt
	default:
		delete(r.entries, id)
	}
}

// Tick gives up the entries that did not come back, and reports whether any
// were.
func (r *Registry) Tick(now time.Duration) (dropped []string) {
	if r.outage {
		return nil
	}
	for id, e := range r.entries {
		if e.missing && now >= max(e.dropAt, r.settledAt) {
			delete(r.entries, id)
			dropped = append(dropped, id)
		}
	}
	if len(dropped) > 0 {
		slices.Sort(dropped)
		r.index()
	}
	return dropped
}

// Moved takes in that another upstream answers at the address of an entry. The
// entry counts again once it changes.
func (r *Registry) Moved(id string) {
	e := r.entries[id]
	if e == nil {
		return
	}
	if len(r.moved) >= maxUpstreams {
		clear(r.moved)
	}
	r.moved[id] = e.Revision
	delete(r.entries, id)
	r.index()
}

// index rebuilds the lists by service, in the order of their IDs. Of several
// entries with one address the newest holds.
func (r *Registry) index() {
	clear(r.services)
	newest := make(map[string]*entry, len(r.entries))
	for _, e := range r.entries {
		if other := newest[e.Address]; other == nil || e.Revision > other.Revision {
			newest[e.Address] = e
		}
	}
	for _, e := range newest {
		r.services[e.Service] = append(r.services[e.Service], &e.Upstream)
	}
	for _, list := range r.services {
		slices.SortFunc(list, func(a, b *Upstream) int { return cmp.Compare(a.ID, b.ID) })
	}
}

// Service returns the upstreams of a service, those that drain among them. The
// slice is the Registry's own until the next change.
func (r *Registry) Service(name string) []*Upstream { return r.services[name] }

// Services calls each for every service that has upstreams.
func (r *Registry) Services(each func(name string, upstreams []*Upstream)) {
	for name, list := range r.services {
		each(name, list)
	}
}

// Each calls do with every entry, in no particular order.
func (r *Registry) Each(do func(*Upstream)) {
	for _, e := range r.entries {
		do(&e.Upstream)
	}
}

// Get returns the upstream of the given ID, or nil.
func (r *Registry) Get(id string) *Upstream {
	if e := r.entries[id]; e != nil {
		return &e.Upstream
	}
	return nil
}

// Len returns the number of upstreams known.
func (r *Registry) Len() int { return len(r.entries) }

// Current takes in that everything up to a revision of the store is known.
func (r *Registry) Current(revision uint64) { r.revision = max(r.revision, revision) }

// Revision returns the store's revision up to which the Registry is current.
func (r *Registry) Revision() uint64 { return r.revision }
