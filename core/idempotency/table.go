package idempotency

import "time"

// Decision is the decision of the owner of a key on an arriving call with that key.
type Decision uint8

// Decisions on a call.
const (
	// DecisionRun runs the request; the key is now in use.
	DecisionRun Decision = iota + 1
	// DecisionJoin makes the call wait for the result of the run in progress.
	DecisionJoin
	// DecisionReplay answers with the stored result.
	DecisionReplay
	// DecisionUnknown means that the request may have run and that no result is
	// stored.
	DecisionUnknown
	// DecisionTooEarly means that the request may have run at a time that this
	// table does not cover. It can safely be sent again after KeyTable.WaitTime.
	DecisionTooEarly
	// DecisionTableFull means that the table cannot hold another key.
	DecisionTableFull
	// DecisionKeyReused means that the key was used for a different request.
	DecisionKeyReused
)

// KeyTableConfig sets the limits of a key table.
type KeyTableConfig struct {
	// Window is how long a key is remembered after its run ended.
	Window time.Duration
	// MaxKeys is the maximum number of remembered keys.
	MaxKeys int
	// MaxBytes is the maximum total size of stored results, in bytes.
	MaxBytes int64
}

// KeyRequest describes one call with a key.
type KeyRequest struct {
	Key string
	// Fingerprint identifies the request that the key is used for.
	Fingerprint uint64
	// Issued is true if the current run of the node issued the key, so that no
	// earlier run can have seen it.
	Issued bool
	// NotBefore is the earliest time at which the request may run if its key is
	// unknown; 0 means at any time.
	NotBefore time.Duration
}

// keyRecord is the state of one key. result is nil while the request runs, or if
// no result is stored; size is that of the result in bytes.
type keyRecord struct {
	key         string
	fingerprint uint64
	running     bool
	result      any
	size        int
	finishedAt  time.Duration
}

// KeyTable remembers the keys of one owner and the results of their runs. It is not
// safe for concurrent use.
type KeyTable struct {
	cfg KeyTableConfig
	// opensAt is the time from which a request may run if its key is unknown and was
	// not issued by this run of the node.
	opensAt time.Duration
	records map[string]*keyRecord
	// completed holds the records of finished runs, oldest first. The results of
	// those before index firstRetained were evicted.
	completed     []*keyRecord
	firstRetained int
	// bytes is the total size of the stored results.
	bytes int64
}

// NewKeyTable returns an empty table of a node that started at now. Requests that
// may have run before the start get DecisionTooEarly for one window.
func NewKeyTable(cfg KeyTableConfig, now time.Duration) *KeyTable {
	return &KeyTable{cfg: cfg, opensAt: now + cfg.Window, records: map[string]*keyRecord{}}
}

// Configure applies changed limits without forgetting keys. If the window grows,
// keys forgotten under the old window may arrive again, so unknown keys that this
// run of the node did not issue get DecisionTooEarly for the difference.
func (t *KeyTable) Configure(now time.Duration, cfg KeyTableConfig) {
	if cfg.Window > t.cfg.Window {
		t.opensAt = max(t.opensAt, now) + cfg.Window - t.cfg.Window
	}
	t.cfg = cfg
	t.evictResults()
}

// Admit decides on a call with a key. The second result is the stored result for
// DecisionReplay, nil otherwise.
func (t *KeyTable) Admit(now time.Duration, req KeyRequest) (Decision, any) {
	r := t.records[req.Key]
	switch {
	case r == nil && t.WaitTime(now, req) > 0:
		return DecisionTooEarly, nil
	case r == nil && len(t.records) >= t.cfg.MaxKeys:
		return DecisionTableFull, nil
	case r == nil:
		t.records[req.Key] = &keyRecord{key: req.Key, fingerprint: req.Fingerprint, running: true}
		return DecisionRun, nil
	case r.fingerprint != req.Fingerprint:
		return DecisionKeyReused, nil
	case r.running:
		return DecisionJoin, nil
	case r.result != nil:
		return DecisionReplay, r.result
	}
	return DecisionUnknown, nil
}

// WaitTime returns how long a request with an unknown key must still wait, 0 if it
// may run now.
func (t *KeyTable) WaitTime(now time.Duration, req KeyRequest) time.Duration {
	at := req.NotBefore
	if !req.Issued {
		at = max(at, t.opensAt)
	}
	return max(at-now, 0)
}

// Contains reports whether key is remembered.
func (t *KeyTable) Contains(key string) bool { return t.records[key] != nil }

// Finish records the end of the run for key. ran may be false only if the request
// certainly did not run; the key can then be used again. result is nil if there
// is no complete result to store; size is its size in bytes.
func (t *KeyTable) Finish(now time.Duration, key string, ran bool, result any, size int) {
	r := t.records[key]
	if r == nil || !r.running {
		return
	}
	if !ran {
		delete(t.records, key)
		return
	}
	r.running, r.finishedAt = false, now
	if result != nil {
		r.result, r.size = result, size
		t.bytes += int64(size)
	}
	t.completed = append(t.completed, r)
	t.evictResults()
}

// evictResults discards the oldest results until the rest fits in MaxBytes. The
// keys remain.
func (t *KeyTable) evictResults() {
	for t.bytes > t.cfg.MaxBytes && t.firstRetained < len(t.completed) {
		t.discardResult(t.completed[t.firstRetained])
		t.firstRetained++
	}
}

func (t *KeyTable) discardResult(r *keyRecord) {
	t.bytes -= int64(r.size)
	r.result, r.size = nil, 0
}

// Tick forgets the keys whose window has passed.
func (t *KeyTable) Tick(now time.Duration) {
	for len(t.completed) > 0 && t.completed[0].finishedAt+t.cfg.Window <= now {
		r := t.completed[0]
		t.discardResult(r)
		delete(t.records, r.key)
		t.completed[0] = nil
		t.completed = t.completed[1:]
		t.firstRetained = max(t.firstRetained-1, 0)
	}
}

// KeyCount returns the number of remembered keys.
func (t *KeyTable) KeyCount() int { return len(t.records) }

// ResultBytes returns the total size of the stored results in bytes.
func (t *KeyTable) ResultBytes() int64 { return t.bytes }
