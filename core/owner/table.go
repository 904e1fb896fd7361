package owner

import (
	"time"

	"github.com/shallotspool/shallotspool/core/wire"
)

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
	// VerdictNotRun means this very send was fenced.
	VerdictNotRun
	// VerdictStarting means the key could have been sent before this node
	// started, which would have forgotten it.
	VerdictStarting
	// VerdictFull means the table has no room for another key.
	VerdictFull
	// VerdictReused means the key stands for another request.
	VerdictReused
)

// Config bounds a Table.
type Config struct {
	// Window is how long a key is remembered.
	Window time.Duration
	// MaxKeys is the number of keys remembered at once.
	MaxKeys int
	// MaxBytes is the sum of the held results' sizes, in bytes.
	MaxBytes int64
}

type entry struct {
	fingerprint uint64
	running     bool
	ran         bool
	result      any
	size        int
	expires     time.Duration
}

// Table is the memory of one owner. It is not safe for concurrent use.
type Table struct {
	cfg     Config
	started time.Duration
	entries map[string]*entry
}

// NewTable returns the table of a node that started at now and remembers
// nothing of what went before.
func NewTable(cfg Config, now time.Duration) *Table {
	return &Table{cfg: cfg, started: now, entries: map[string]*entry{}}
}

// Admit decides on a send of key. fingerprint identifies the request.
func (t *Table) Admit(now time.Duration, key string, send wire.SendID, fingerprint uint64) (Verdict, any) {
	e := t.entries[key]
	switch {
	case e == nil && now < t.started+t.cfg.Window:
		return VerdictStarting, nil
	case e == nil && len(t.entries) >= t.cfg.MaxKeys:
		return VerdictFull, nil
	case e == nil:
		t.entries[key] = &entry{fingerprint: fingerprint, running: true}
		return VerdictRun, nil
	case e.fingerprint != fingerprint:
		return VerdictReused, nil
	case e.running:
		return VerdictJoin, nil
	case !e.ran:
		e.running = true
		return VerdictRun, nil
	case e.result != nil:
		return VerdictHeld, e.result
	}
	return VerdictUnknown, nil
}

// Finish records how the run of key ended. ran is false only when it certainly
// did not run; result is nil when there is no whole answer to hold.
func (t *Table) Finish(now time.Duration, key string, ran bool, result any, size int) {
	e := t.entries[key]
	if e == nil {
		return
	}
	e.running, e.ran, e.result, e.size = false, ran, result, size
	e.expires = now + t.cfg.Window
}

// Tick forgets the keys whose window is over.
func (t *Table) Tick(now time.Duration) {
	for key, e := range t.entries {
		if !e.running && e.expires <= now {
			delete(t.entries, key)
		}
	}
}
