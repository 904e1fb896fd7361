package owner

import "time"

// Verdict is what an owner does with an arriving send of a key.
type Verdict uint8

// The verdicts.
const (
	// VerdictRun lets it run; the owner now holds the key.
	VerdictRun Verdict = iota + 1
	// VerdictJoin lets it wait for the answer of the run in progress.
	VerdictJoin
	// VerdictHeld answers it with the held result.
	VerdictHeld
	// VerdictUnknown means it may have run before, and the answer is gone.
	VerdictUnknown
	// VerdictStarting means the key could have run where this table does not
	// remember it; it is safe to ask again after OpensIn.
	VerdictStarting
	// VerdictFull means the table has no room for another key.
	VerdictFull
	// VerdictReused means the key stands for another request.
	VerdictReused
)

// Config bounds a Table.
type Config struct {
	// Window is how long a key is remembered after its run ended.
	Window time.Duration
	// MaxKeys is the number of keys remembered at once.
	MaxKeys int
	// MaxBytes is the sum of the held results' sizes, in bytes.
	MaxBytes int64
}

// Ask is one send of a key.
type Ask struct {
	Key string
	// Fingerprint identifies the request that the key stands for.
	Fingerprint uint64
	// Issued is true when this run of the node issued the key, so that no
	// earlier run can have seen it.
	Issued bool
	// ClosedUntil is when the key can be taken at the earliest, 0 if any time.
	ClosedUntil time.Duration
}

type entry struct {
	key         string
	fingerprint uint64
	running     bool
	result      any
	size        int
	finished    time.Duration
}

// Table is the memory of one owner. It is not safe for concurrent use.
type Table struct {
	cfg     Config
	opensAt time.Duration
	entries map[string]*entry
	// finished holds the entries whose run is over, the oldest first; the
	// results of those before firstHeld were given up.
	finished  []*entry
	firstHeld int
	bytes     int64
}

// NewTable returns the table of a node that started at now and remembers
// nothing of what went before.
func NewTable(cfg Config, now time.Duration) *Table {
	return &Table{cfg: cfg, opensAt: now + cfg.Window, entries: map[string]*entry{}}
}

// Configure follows a changed document without forgetting anything. When the
// window grows, keys that were forgotten under the old one may come again, so
// unknown keys wait for the difference.
func (t *Table) Configure(now time.Duration, cfg Config) {
	if cfg.Window > t.cfg.Window {
		t.opensAt = max(t.opensAt, now) + cfg.Window - t.cfg.Window
	}
	t.cfg = cfg
	t.evict()
}

// Admit decides on a send of a key. The second value is the held result, for
// VerdictHeld.
func (t *Table) Admit(now time.Duration, ask Ask) (Verdict, any) {
	e := t.entries[ask.Key]
	switch {
	case e == nil && t.OpensIn(now, ask) > 0:
		return VerdictStarting, nil
	case e == nil && len(t.entries) >= t.cfg.MaxKeys:
		return VerdictFull, nil
	case e == nil:
		t.entries[ask.Key] = &entry{key: ask.Key, fingerprint: ask.Fingerprint, running: true}
		return VerdictRun, nil
	case e.fingerprint != ask.Fingerprint:
		return VerdictReused, nil
	case e.running:
		return VerdictJoin, nil
	case e.result != nil:
		return VerdictHeld, e.result
	}
	return VerdictUnknown, nil
}

// OpensIn returns how long an unknown key still has to wait, 0 if not at all.
func (t *Table) OpensIn(now time.Duration, ask Ask) time.Duration {
	at := ask.ClosedUntil
	if !ask.Issued {
		at = max(at, t.opensAt)
	}
	return max(at-now, 0)
}

// Knows tells whether key is remembered.
func (t *Table) Knows(key string) bool { return t.entries[key] != nil }

// Finish records how the run of key ended. ran is false only when it certainly
// did not run; such a key is free again. result is nil when there is no whole
// answer to hold; size is that of the result in bytes.
func (t *Table) Finish(now time.Duration, key string, ran bool, result any, size int) {
	e := t.entries[key]
	if e == nil || !e.running {
		return
	}
	if !ran {
		delete(t.entries, key)
		return
	}
	e.running, e.finished = false, now
	if result != nil {
		e.result, e.size = result, size
		t.bytes += int64(size)
	}
	t.finished = append(t.finished, e)
	t.evict()
}

// evict gives up the oldest results until the rest fits; the keys stay.
func (t *Table) evict() {
	for t.bytes > t.cfg.MaxBytes && t.firstHeld < len(t.finished) {
		t.drop(t.finished[t.firstHeld])
		t.firstHeld++
	}
}

func (t *Table) drop(e *entry) {
	t.bytes -= int64(e.size)
	e.result, e.size = nil, 0
}

// Tick forgets the keys whose window is over.
func (t *Table) Tick(now time.Duration) {
	for len(t.finished) > 0 && t.finished[0].finished+t.cfg.Window <= now {
		e := t.finished[0]
		t.drop(e)
		delete(t.entries, e.key)
		t.finished[0] = nil
		t.finished = t.finished[1:]
		t.firstHeld = max(t.firstHeld-1, 0)
	}
}

// Keys returns the number of keys remembered.
func (t *Table) Keys() int { return len(t.entries) }

// Bytes returns the sum of the held results' sizes.
func (t *Table) Bytes() int64 { return t.bytes }
