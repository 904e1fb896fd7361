package registry

import (
	"slices"
	"strings"
	"time"
)

// Lapse is an entry that is gone from the store but may still return, as one node tells another.
type Lapse struct {
	ID string
	// Remaining is how long the entry may take to return, from 0 to ReturnGracePeriod.
	Remaining time.Duration
}

// Lapses returns the entries that lapsed, sorted by ID.
func (r *Registry) Lapses(now time.Duration) (list []Lapse) {
	for id, e := range r.entries {
		if e.lapsed {
			list = append(list, Lapse{ID: id, Remaining: min(max(r.lapseEnd(e)-now, 0), ReturnGracePeriod)})
		}
	}
	slices.SortFunc(list, func(a, b Lapse) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// Lapsed reports whether the entry with the given ID lapsed.
func (r *Registry) Lapsed(id string) bool {
	e := r.entries[id]
	return e != nil && e.lapsed
}

// adoptLapse marks an entry as lapsed that lapsed at another node. It is removed when it would be
// there, so that no node keeps what the store has told that one to be gone.
func (r *Registry) adoptLapse(now time.Duration, l Lapse) {
	e := r.entries[l.ID]
	if e == nil || e.lapsed {
		return
	}
	e.lapsed, e.missingAtPeer = true, true
	e.removeAt = now + min(max(l.Remaining, 0), ReturnGracePeriod)
}

// lapseEnd returns when a lapsed entry has had its time to return, if no outage is going on.
func (r *Registry) lapseEnd(e *entry) time.Duration {
	if e.missingAtPeer {
		return e.removeAt
	}
	return max(e.removeAt, r.graceEndsAt)
}

// graceOver reports whether a lapsed entry had its time to return.
func (r *Registry) graceOver(now time.Duration, e *entry) bool {
	return (e.missingAtPeer || !r.storeDown) && now >= r.lapseEnd(e)
}
