package owner

import "time"

// Verdict is the decision of an owner on an arriving send of a key.
type Verdict uint8

// Decisions on a send.
const (
	// VerdictRun runs the request; the key is now in use.
	VerdictRun Verdict = iota + 1
	// VerdictJoin makes the send wait for the result of the run in progress.
	VerdictJoin
	// VerdictHeld answers with the stored result.
	VerdictHeld
	// VerdictUnknown means that the request may have run and that no result is
	// stored.
	VerdictUnknown
	// VerdictStarting means that the key may have run at a time that this table
	// does not cover. The send can be repeated safely after OpensIn.
	VerdictStarting
	// VerdictFull means that the table cannot hold another key.
	VerdictFull
	// VerdictReused means that the key was used for a different request.
	VerdictReused
)

// Config sets the limits of a key table.
type Config struct {
	// Window is how long a key is remembered after its run ended.
	Window time.Duration
	// MaxKeys is the maximum number of remembered keys.
	MaxKeys int
	// MaxBytes is the maximum total size of stored results, in bytes.
	MaxBytes int64
}

// Ask describes one send of a key.
type Ask struct {
	Key string
	// Fingerprint identifies the request that the key is used for.
	Fingerprint uint64
	// Issued is true if the current run of the node issued the key, so that no
	// earlier run can have seen it.
	Issued bool
	// ClosedUntil is the earliest time at which an unknown key may run; 0 means
	// at any time.
	ClosedUntil time.Duration
}

// keyRecord is the state of one key. result is nil while the key runs, or if no
// result is stored; size is that of the result in bytes.
type keyRecord struct {
	key         string
	fingerprint uint64
	running     bool
	result      any
	size        int
	finishedAt  time.Duration
}

// Table remembers the keys of one owner and the results of their runs. It is not
// safe for concurrent use.
type Table struct {
	cfg Config
	// opensAt is when unknown keys that this run did not issue may run.
	opensAt time.Duration
	entries map[string]*keyRecord
	// completed holds the records of finished runs, oldest first. The results of
	// those before index firstRetained were evicted.
	completed     []*keyRecord
	firstRetained int
	// bytes is the total size of the stored results.
	bytes int64
}

// NewTable returns an empty table of a node that started at now. Keys that may
// have run before the start are closed for one window.
func NewTable(cfg Config, now time.Duration) *Table {
	return &Table{cfg: cfg, opensAt: now + cfg.Window, entries: map[string]*keyRecord{}}
}

// Configure applies changed limits without forgetting keys. If the window grows,
// keys forgotten under the old window may arrive again, so unknown keys are
// closed for the difference.
func (t *Table) Configure(now time.Duration, cfg Config) {
	if cfg.Window > t.cfg.Window {
		t.opensAt = max(t.opensAt, now) + cfg.Window - t.cfg.Window
	}
	t.cfg = cfg
	t.evictResults()
}

// Admit decides on a send of a key. The second result is the stored result for
// VerdictHeld, nil otherwise.
func (t *Table) Admit(now time.Duration, req Ask) (Verdict, any) {
	e := t.entries[req.Key]
	switch {
	case e == nil && t.OpensIn(now, req) > 0:
		return VerdictStarting, nil
	case e == nil && len(t.entries) >= t.cfg.MaxKeys:
		return VerdictFull, nil
	case e == nil:
		t.entries[req.Key] = &keyRecord{key: req.Key, fingerprint: req.Fingerprint, running: true}
		return VerdictRun, nil
	case e.fingerprint != req.Fingerprint:
		return VerdictReused, nil
	case e.running:
		return VerdictJoin, nil
	case e.result != nil:
		return VerdictHeld, e.result
	}
	return VerdictUnknown, nil
}

// OpensIn returns how long an unknown key must still wait, 0 if it may run now.
func (t *Table) OpensIn(now time.Duration, req Ask) time.Duration {
	at := req.ClosedUntil
	if !req.Issued {
		at = max(at, t.opensAt)
	}
	return max(at-now, 0)
}

// Knows reports whether key is remembered.
func (t *Table) Knows(key string) bool { return t.entries[key] != nil }

// Finish records the end of the run of key. ran may be false only if the request
// certainly did not run; the key can then be used again. result is nil if there
// is no complete result to store; size is its size in bytes.
func (t *Table) Finish(now time.Duration, key string, ran bool, result any, size int) {
	e := t.entries[key]
	if e == nil || !e.running {
		return
	}
	if !ran {
		delete(t.entries, key)
		return
	}
	e.running, e.finishedAt = false, now
	if result != nil {
		e.result, e.size = result, size
		t.bytes += int64(size)
	}
	t.completed = append(t.completed, e)
	t.evictResults()
}

// evictResults discards the oldest results until the rest fits in MaxBytes. The
// keys remain.
func (t *Table) evictResults() {
	for t.bytes > t.cfg.MaxBytes && t.firstRetained < len(t.completed) {
		t.discardResult(t.completed[t.firstRetained])
		t.firstRetained++
	}
}

func (t *Table) discardResult(e *keyRecord) {
	t.bytes -= int64(e.size)
	e.result, e.size = nil, 0
}

// Tick forgets the keys whose window has passed.
func (t *Table) Tick(now time.Duration) {
	for len(t.completed) > 0 && t.completed[0].finishedAt+t.cfg.Window <= now {
		e := t.completed[0]
		t.discardResult(e)
		delete(t.entries, e.key)
		t.completed[0] = nil
		t.completed = t.completed[1:]
		t.firstRetained = max(t.firstRetained-1, 0)
	}
}

// Keys returns the number of remembered keys.
func (t *Table) Keys() int { return len(t.entries) }

// Bytes returns the total size of the stored results in bytes.
func (t *Table) Bytes() int64 { return t.bytes }
