// Package poison bounds the upstreams that one request may crash. A request is
// known by the fingerprint of its content, not by its key: its caller may send
// it again under a new one. What was in flight at a crash is suspect; a suspect
// that then completes is cleared, one that was in flight at a second crash is
// condemned.
package poison

import (
	"slices"
	"time"
)

// MaxCrashes is the number of upstreams that one request may take down.
const MaxCrashes = 2

// Standing is what is held against a fingerprint.
type Standing uint8

// The standings.
const (
	// Clear is a request that nothing is held against.
	Clear Standing = iota
	// Suspect is a request that may run once more, alone.
	Suspect
	// Condemned is a request that does not run any more.
	Condemned
)

// Config bounds a Table.
type Config struct {
	// Remember is how long a suspicion lasts after the last crash.
	Remember time.Duration
	// Max is the number of fingerprints held.
	Max int
}

// Record is what is known of one fingerprint.
type Record struct {
	Fingerprint uint64
	// Crashes counts the crashes by the target whose upstream crashed.
	Crashes map[string]uint8
	Expires time.Duration
}

// Total returns the number of crashes at all targets.
func (r *Record) Total() int {
	total := 0
	for _, c := range r.Crashes {
		total += int(c)
	}
	return total
}

// Table holds the suspects. It is not safe for concurrent use.
type Table struct {
	cfg     Config
	records map[uint64]*Record
	// order holds the fingerprints, the oldest first.
	order []uint64
}

// New returns an empty table.
func New(cfg Config) *Table { return &Table{cfg: cfg, records: map[uint64]*Record{}} }

// Standing returns what is held against a fingerprint.
func (t *Table) Standing(now time.Duration, fingerprint uint64) Standing {
	r := t.records[fingerprint]
	switch {
	case r == nil || r.Expires <= now || r.Total() == 0:
		return Clear
	case r.Total() >= MaxCrashes:
		return Condemned
	}
	return Suspect
}

// Crashed records a crash of target's own upstream with fingerprint in flight
// and returns the number of crashes there.
func (t *Table) Crashed(now time.Duration, target string, fingerprint uint64) uint8 {
	r := t.record(now, fingerprint)
	if r == nil {
		return 1
	}
	count := min(r.Crashes[target]+1, MaxCrashes)
	t.set(r, target, count, now+t.cfg.Remember)
	return count
}

// Heard takes in what target says of its own upstream: crashes is the number
// there, remaining how long the suspicion still lasts.
func (t *Table) Heard(now time.Duration, target string, fingerprint uint64, crashes uint8, remaining time.Duration) {
	if crashes == 0 {
		t.Cleared(fingerprint)
		return
	}
	r := t.record(now, fingerprint)
	if r == nil {
		return
	}
	crashes = min(max(crashes, r.Crashes[target]), MaxCrashes)
	t.set(r, target, crashes, now+min(max(remaining, 0), t.cfg.Remember))
}

// maxTargets bounds the targets counted for one fingerprint: more cannot change
// its standing.
const maxTargets = 2 * MaxCrashes

func (t *Table) set(r *Record, target string, crashes uint8, expires time.Duration) {
	if _, known := r.Crashes[target]; !known && len(r.Crashes) >= maxTargets {
		return
	}
	r.Crashes[target] = crashes
	r.Expires = max(r.Expires, expires)
}

// record returns the record of fingerprint, or nil when there is no room.
func (t *Table) record(now time.Duration, fingerprint uint64) *Record {
	if r := t.records[fingerprint]; r != nil {
		return r
	}
	t.Tick(now)
	if len(t.records) >= t.cfg.Max {
		return nil
	}
	r := &Record{Fingerprint: fingerprint, Crashes: map[string]uint8{}}
	t.records[fingerprint] = r
	t.order = append(t.order, fingerprint)
	return r
}

// Cleared forgets a suspect that completed. A condemned request stays: it is
// not run, so an answer of it is an old one.
func (t *Table) Cleared(fingerprint uint64) bool {
	r := t.records[fingerprint]
	if r == nil || r.Total() >= MaxCrashes {
		return false
	}
	t.remove(fingerprint)
	return true
}

func (t *Table) remove(fingerprint uint64) {
	delete(t.records, fingerprint)
	if i := slices.Index(t.order, fingerprint); i >= 0 {
		t.order = slices.Delete(t.order, i, i+1)
	}
}

// Tick forgets what was held for long enough.
func (t *Table) Tick(now time.Duration) {
	t.order = slices.DeleteFunc(t.order, func(f uint64) bool {
		if t.records[f].Expires > now {
			return false
		}
		delete(t.records, f)
		return true
	})
}

// Records returns what is held, the oldest first, for operators to see.
func (t *Table) Records() []Record {
	list := make([]Record, 0, len(t.order))
	for _, f := range t.order {
		list = append(list, *t.records[f])
	}
	return list
}

// Len returns the number of fingerprints held.
func (t *Table) Len() int { return len(t.records) }
