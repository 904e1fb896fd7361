package suspect

import (
	"maps"
	"slices"
	"time"
)

// Status says whether a request may run.
type Status uint8

// The states of a request; see the package comment.
const (
	Clear Status = iota
	Suspected
	Blocked
	OnTrial
)

// Config sets the limits of a Table.
type Config struct {
	// Instance is the local instance, Incarnation identifies this run of its node.
	Instance    string
	Incarnation int64
	// SuspectRetention is how long a crash counts against a request that is not blocked,
	// and a completion for one. BlockedRetention is how long a request stays blocked after
	// its last crash, and after it was last sent.
	SuspectRetention, BlockedRetention time.Duration
	// MaxRecords bounds the requests with crashes, and the former suspects. MaxCompletions
	// bounds the requests whose last completion is remembered.
	MaxRecords, MaxCompletions int
}

// reportInterval is the longest time between two reports of a blocked request by a node that
// still sees it, with some of them lost.
const reportInterval = 10 * time.Second

// Table holds the evidence. It is not safe for concurrent use.
type Table struct {
	cfg     Config
	records map[uint64]*record
	// order holds the fingerprints of the records, oldest first.
	order       []uint64
	completions *completions
	// cleared holds the last completion of each former suspect.
	cleared map[uint64]completion
}

// completion is the last completion of a former suspect. own is set if it was at the local
// upstream. It is remembered until the crashes before it no longer count anywhere.
type completion struct {
	at, expires time.Duration
	own         bool
}

// New returns an empty Table.
func New(cfg Config) *Table {
	return &Table{cfg: cfg, records: map[uint64]*record{}, completions: newCompletions(cfg.MaxCompletions), cleared: map[uint64]completion{}}
}

// Status returns whether a request may run.
func (t *Table) Status(now time.Duration, fingerprint uint64) Status {
	r := t.records[fingerprint]
	switch {
	case r == nil || t.expired(now, r):
		return Clear
	case !r.blocked():
		return Suspected
	case r.trialDue(now):
		return OnTrial
	}
	return Blocked
}

// Crashes returns the number of crashes that count against a request.
func (t *Table) Crashes(fingerprint uint64) int {
	if r := t.records[fingerprint]; r != nil {
		return r.total()
	}
	return 0
}

// RecordCrash records that the local upstream crashed during a run of a request. Several
// runs that end with the same crash count as one: those that started before it.
func (t *Table) RecordCrash(now, started time.Duration, fingerprint uint64) {
	r := t.getOrCreate(now, fingerprint)
	if r == nil {
		return
	}
	r.trialOpen = false
	if own, known := r.crashes[t.cfg.Instance]; known && started < own.at {
		return
	}
	count := min(r.crashes[t.cfg.Instance].count+1, MaxCrashes)
	r.crashes[t.cfg.Instance] = crashes{incarnation: t.cfg.Incarnation, count: count, at: now}
}

// MergeCrashes merges the report of an instance that a request ran at crashes of its
// upstream, the last one so long ago, or that it blocks the request. incarnation identifies
// the run of its node.
func (t *Table) MergeCrashes(now time.Duration, instance string, incarnation int64, r Report) {
	at := now - r.Age
	reported := crashes{incarnation: incarnation, count: min(r.Crashes, MaxCrashes), at: at}
	if last, ok := t.completedSince(at, r.Fingerprint); ok {
		if known := t.records[r.Fingerprint]; known != nil {
			known.merge(instance, reported)
		}
		t.clear(r.Fingerprint, last)
		return
	}
	known := t.getOrCreate(now, r.Fingerprint)
	if known == nil {
		return
	}
	known.merge(instance, reported)
	known.trials = max(known.trials, r.Trials)
	if r.Crashes >= MaxCrashes {
		known.reportedAt = now
	}
}

// completedSince returns the last known completion of a request, if it is not before a crash.
func (t *Table) completedSince(crash time.Duration, fingerprint uint64) (completion, bool) {
	last := t.cleared[fingerprint]
	if at, ok := t.completions.since(crash, fingerprint); ok && at >= last.at {
		last = completion{at: at, own: true}
	}
	last.expires = max(last.expires, t.retain(crash))
	return last, last.at >= crash && last.at > 0
}

// RecordCompletion records that a request completed at the local upstream.
func (t *Table) RecordCompletion(now time.Duration, fingerprint uint64) {
	t.completions.record(now, fingerprint)
	r, former := t.records[fingerprint], t.cleared[fingerprint]
	switch {
	case r != nil:
		t.clear(fingerprint, completion{at: now, expires: t.retain(now), own: true})
	case former.expires > now:
		t.clear(fingerprint, completion{at: now, expires: former.expires, own: true})
	}
}

// MergeCompletion merges the report of another node that a former suspect completed there.
func (t *Table) MergeCompletion(now time.Duration, fingerprint uint64, age time.Duration) {
	t.clear(fingerprint, completion{at: now - age, expires: t.retain(now - age)})
}

// retain returns the time until which a crash or completion at a time is remembered.
func (t *Table) retain(at time.Duration) time.Duration { return at + t.cfg.SuspectRetention }

// clear drops the crashes up to a completion, and remembers it.
func (t *Table) clear(fingerprint uint64, c completion) {
	if r := t.records[fingerprint]; r != nil && r.dropUntil(c.at) {
		t.remove(fingerprint)
	}
	last, known := t.cleared[fingerprint]
	if !known && len(t.cleared) >= t.cfg.MaxRecords || known && c.at < last.at {
		return
	}
	t.cleared[fingerprint] = c
}

// RecordArrival records that a blocked request was sent again. Its record is kept as long as
// it is.
func (t *Table) RecordArrival(now time.Duration, fingerprint uint64) {
	if r := t.records[fingerprint]; r != nil {
		r.seenAt = now
	}
}

// StartTrial records the start of a run of a request that is on trial.
func (t *Table) StartTrial(now time.Duration, fingerprint uint64) {
	if r := t.records[fingerprint]; r != nil && r.blocked() && r.trialDue(now) {
		r.trials, r.trialOpen = r.trials+1, true
	}
}

// EndTrial records the end of a run that did not complete. A trial in which the request did
// not run at all may be repeated.
func (t *Table) EndTrial(fingerprint uint64, ran bool) {
	r := t.records[fingerprint]
	if r == nil || !r.trialOpen {
		return
	}
	r.trialOpen = false
	if !ran {
		r.trials--
	}
}

// expired reports whether the crashes of r no longer count.
func (t *Table) expired(now time.Duration, r *record) bool {
	if !r.blocked() {
		return now >= t.retain(r.lastCrash())
	}
	return !t.keepsBlocked(now, r) && now >= r.reportedAt+reportInterval
}

// keepsBlocked reports whether this node blocks a request by evidence of its own: the time of
// the last crash, or that the request still arrives here.
func (t *Table) keepsBlocked(now time.Duration, r *record) bool {
	return now < max(r.lastCrash(), r.seenAt)+t.cfg.BlockedRetention
}

// getOrCreate returns the record of a request, nil if the table is full.
func (t *Table) getOrCreate(now time.Duration, fingerprint uint64) *record {
	if r := t.records[fingerprint]; r != nil {
		return r
	}
	t.Tick(now)
	if len(t.records) >= t.cfg.MaxRecords {
		return nil
	}
	r := &record{crashes: map[string]crashes{}, seenAt: now - t.cfg.BlockedRetention, reportedAt: now - reportInterval}
	t.records[fingerprint] = r
	t.order = append(t.order, fingerprint)
	return r
}

func (t *Table) remove(fingerprint uint64) {
	delete(t.records, fingerprint)
	if i := slices.Index(t.order, fingerprint); i >= 0 {
		t.order = slices.Delete(t.order, i, i+1)
	}
}

// Tick removes the evidence that no longer counts.
func (t *Table) Tick(now time.Duration) {
	t.order = slices.DeleteFunc(t.order, func(f uint64) bool {
		if !t.expired(now, t.records[f]) {
			return false
		}
		delete(t.records, f)
		return true
	})
	maps.DeleteFunc(t.cleared, func(_ uint64, c completion) bool { return now >= c.expires })
}

// Len returns the number of requests with crashes that count, and of those that are blocked.
func (t *Table) Len() (held, blocked int) {
	for _, r := range t.records {
		if r.blocked() {
			blocked++
		}
	}
	return len(t.records), blocked
}
