// Package poison limits how many upstreams one request may crash. A request is
// identified by the fingerprint of its content, not by its idempotency key,
// because its caller may send it again under another key. A request that was in
// flight when an upstream crashed becomes a suspect. A suspect that completes is
// cleared; one that was in flight at a second crash is blocked.
package poison

import (
	"slices"
	"time"
)

// MaxCrashes is the number of crashes after which a request is blocked.
const MaxCrashes = 2

// Status says whether a request may run.
type Status uint8

// Values of a request's status.
const (
	// Clear is a request without recorded crashes.
	Clear Status = iota
	// Suspect is a request that may run again, but on only one upstream at a time.
	Suspect
	// Blocked is a request that must not run.
	Blocked
)

// Config sets the limits of a Table.
type Config struct {
	// Retention is how long crashes are remembered after the last one.
	Retention time.Duration
	// MaxRecords is the maximum number of fingerprints held.
	MaxRecords int
}

// Record holds the crashes recorded for one fingerprint.
type Record struct {
	Fingerprint uint64
	// Crashes counts the crashes by the target whose upstream crashed.
	Crashes   map[string]uint8
	ExpiresAt time.Duration
}

// TotalCrashes returns the number of crashes at all targets.
func (r *Record) TotalCrashes() int {
	total := 0
	for _, c := range r.Crashes {
		total += int(c)
	}
	return total
}

// Table holds the crash records of requests. It is not safe for concurrent use.
type Table struct {
	cfg     Config
	records map[uint64]*Record
	// order holds the fingerprints, oldest first.
	order []uint64
}

// New returns an empty Table.
func New(cfg Config) *Table {
	return &Table{cfg: cfg, records: map[uint64]*Record{}}
}

// Status returns whether the request with that fingerprint may run.
func (t *Table) Status(now time.Duration, fingerprint uint64) Status {
	r := t.records[fingerprint]
	switch {
	case r == nil || r.ExpiresAt <= now || r.TotalCrashes() == 0:
		return Clear
	case r.TotalCrashes() >= MaxCrashes:
		return Blocked
	}
	return Suspect
}

// RecordCrash records a crash of target's upstream while fingerprint was in flight.
// It returns the number of such crashes at target, at most MaxCrashes, or 1 if the
// table is full.
func (t *Table) RecordCrash(now time.Duration, target string, fingerprint uint64) uint8 {
	r := t.getOrCreate(now, fingerprint)
	if r == nil {
		return 1
	}
	count := min(r.Crashes[target]+1, MaxCrashes)
	t.update(r, target, count, now+t.cfg.Retention)
	return count
}

// MergeReport merges the report of target about its own upstream: crashes is the
// number of crashes there and remaining how long they are still to be
// remembered. crashes is 0 if the request completed.
func (t *Table) MergeReport(now time.Duration, target string, fingerprint uint64, crashes uint8, remaining time.Duration) {
	if crashes == 0 {
		t.RecordSuccess(fingerprint)
		return
	}
	r := t.getOrCreate(now, fingerprint)
	if r == nil {
		return
	}
	crashes = min(max(crashes, r.Crashes[target]), MaxCrashes)
	t.update(r, target, crashes, now+min(max(remaining, 0), t.cfg.Retention))
}

// maxTargetsPerRecord limits the targets counted for one fingerprint; counting
// more cannot change whether the request may run.
const maxTargetsPerRecord = 2 * MaxCrashes

// update sets the number of crashes at target and extends the record's expiry.
func (t *Table) update(r *Record, target string, crashes uint8, expires time.Duration) {
	if _, known := r.Crashes[target]; !known && len(r.Crashes) >= maxTargetsPerRecord {
		return
	}
	r.Crashes[target] = crashes
	r.ExpiresAt = max(r.ExpiresAt, expires)
}

// getOrCreate returns the record of fingerprint, or nil if the table is full.
func (t *Table) getOrCreate(now time.Duration, fingerprint uint64) *Record {
	if r := t.records[fingerprint]; r != nil {
		return r
	}
	t.Tick(now)
	if len(t.records) >= t.cfg.MaxRecords {
		return nil
	}
	r := &Record{Fingerprint: fingerprint, Crashes: map[string]uint8{}}
	t.records[fingerprint] = r
	t.order = append(t.order, fingerprint)
	return r
}

// RecordSuccess removes the record of a suspect that completed and reports whether
// one was removed. A blocked request remains: it is no longer run, so its answer is
// from an earlier run.
func (t *Table) RecordSuccess(fingerprint uint64) bool {
	r := t.records[fingerprint]
	if r == nil || r.TotalCrashes() >= MaxCrashes {
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

// Tick removes expired records.
func (t *Table) Tick(now time.Duration) {
	t.order = slices.DeleteFunc(t.order, func(f uint64) bool {
		if t.records[f].ExpiresAt > now {
			return false
		}
		delete(t.records, f)
		return true
	})
}

// Records returns the records for display to operators, oldest first.
func (t *Table) Records() []Record {
	list := make([]Record, 0, len(t.order))
	for _, f := range t.order {
		list = append(list, *t.records[f])
	}
	return list
}

// Len returns the number of fingerprints held.
func (t *Table) Len() int { return len(t.records) }
