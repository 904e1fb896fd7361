package registry

import (
	"cmp"
	"time"
)

// removalMemory is how long a removed entry is remembered, so that a restored copy of the
// store cannot bring it back. Copies are some seconds old.
const removalMemory = time.Minute

// removal is an entry that was removed, or whose address belongs to another upstream. Its
// Revision is the one that a later entry must exceed in the same era.
type removal struct {
	Upstream
	at time.Duration
	// moved is true if the address belongs to another upstream. The store may list such an
	// entry for a long time.
	moved bool
}

// newerContent reports whether the upstream wrote the entry a after the entry b, by the
// start of its run and the count of its writes.
func newerContent(a, b *Upstream) bool {
	return cmp.Or(cmp.Compare(a.Born, b.Born), cmp.Compare(a.Sequence, b.Sequence)) > 0
}

// supersedes reports whether the entry a replaces the entry b of the same ID. Within an
// era the store's revisions decide. An entry of another era may come from an older copy,
// so that only its content tells.
func (a *Upstream) supersedes(b *Upstream) bool {
	if a.Era == b.Era {
		return a.Revision > b.Revision
	}
	return newerContent(a, b)
}

// takesAddress reports whether the entry a, and not the entry b of another ID, belongs to
// the upstream that has their common address now.
func (a *Upstream) takesAddress(b *Upstream) bool {
	if a.Era != b.Era && a.Born != b.Born {
		return a.Born > b.Born
	}
	return a.Position().After(b.Position())
}

// returnsRemoved reports whether an entry is still to be left out because it was removed.
func (r *Registry) returnsRemoved(u *Upstream) bool {
	removed, known := r.removals[u.ID]
	return known && !u.supersedes(&removed.Upstream)
}

// rememberRemoval records that an entry was removed. Another one with its ID needs a
// revision above the given one if it is of the present era. revision is 0 if no removal was read
// from the store; then what a copy in a later era than the entry's says is judged by its content.
func (r *Registry) rememberRemoval(now time.Duration, u Upstream, revision uint64) {
	if len(r.removals) >= maxUpstreams {
		clear(r.removals)
	}
	if revision > 0 || u.Era == r.position.Era {
		u.Era, u.Revision = r.position.Era, revision
	}
	r.removals[u.ID] = removal{Upstream: u, at: now}
}

// rememberMove records that the address of an entry belongs to another upstream.
func (r *Registry) rememberMove(now time.Duration, u Upstream) {
	r.rememberRemoval(now, u, u.Revision)
	moved := r.removals[u.ID]
	moved.moved = true
	r.removals[u.ID] = moved
}

// MarkLeaving records that an upstream said in its run since born that it leaves. It
// drains from then on, whatever the store says of the same run. MarkLeaving reports whether
// it did not before.
func (r *Registry) MarkLeaving(id string, born int64) bool {
	e := r.entries[id]
	if e == nil || e.Draining || e.Born != born {
		return false
	}
	if len(r.leaving) >= maxUpstreams {
		clear(r.leaving)
	}
	r.leaving[id] = e.Born
	e.Draining = true
	return true
}

// applyLeaving marks u as draining if it is of a run that said that it leaves.
func (r *Registry) applyLeaving(u *Upstream) {
	born, leaving := r.leaving[u.ID]
	if leaving && born == u.Born {
		u.Draining = true
		return
	}
	delete(r.leaving, u.ID)
}

// Removals returns the entries that were removed recently, for other nodes.
func (r *Registry) Removals() (list []Upstream) {
	for _, removed := range r.removals {
		list = append(list, removed.Upstream)
	}
	return list
}

// LearnRemovals remembers entries that another node removed.
func (r *Registry) LearnRemovals(now time.Duration, list []Upstream) {
	for _, u := range list {
		if _, known := r.removals[u.ID]; !known && r.entries[u.ID] == nil && len(r.removals) < maxUpstreams {
			r.removals[u.ID] = removal{Upstream: u, at: now}
		}
	}
}

func (r *Registry) forgetRemovals(now time.Duration) {
	for id, removed := range r.removals {
		if !removed.moved && now >= removed.at+removalMemory {
			delete(r.removals, id)
		}
	}
}
