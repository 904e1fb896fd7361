package budget

import "time"

// Memory keeps the allotments of keyed requests for a while, so that a caller's
// own resend draws on what its first send left over. It is bounded by count;
// when it is full, new keys are not remembered and the old ones stay. It is not
// safe for concurrent use.
type Memory struct {
	max     int
	entries map[RequestKey]*allotment
	// order holds the keys as they were first seen, for forgetting.
	order []RequestKey
}

// RequestKey names one request of a caller: the key it gave, and a fingerprint of
// what is asked for, because two callers may give the same key.
type RequestKey struct {
	Key         string
	Fingerprint uint64
}

type allotment struct {
	free int
	// open counts the sends in progress.
	open     int
	launched bool
	ran      bool
	expires  time.Duration
}

// Draw is what a send may use.
type Draw struct {
	// Tokens is what the earlier sends left over.
	Tokens int
	// Again is true when an attempt was made for an earlier send.
	Again bool
	// Rerun is true when an earlier send may have run.
	Rerun bool
	// Kept is true when the send has to be settled.
	Kept bool
}

// NewMemory returns a Memory of at most limit keys.
func NewMemory(limit int) *Memory {
	return &Memory{max: limit, entries: map[RequestKey]*allotment{}}
}

// Draw takes the tokens of a send of key, which has tokens if key is new.
// expires is when the request ends for its caller.
func (m *Memory) Draw(now time.Duration, key RequestKey, tokens int, expires time.Duration) Draw {
	m.forget(now)
	e := m.entries[key]
	if e != nil && e.open == 0 && e.expires <= now {
		*e = allotment{free: tokens, expires: expires}
	}
	if e == nil {
		if len(m.entries) >= m.max {
			return Draw{Tokens: tokens}
		}
		e = &allotment{free: tokens, expires: expires}
		m.entries[key] = e
		m.order = append(m.order, key)
	}
	d := Draw{
		Tokens: min(e.free, tokens), Again: e.launched || e.open > 0,
		Rerun: e.ran || e.open > 0, Kept: true,
	}
	e.free -= d.Tokens
	e.open++
	return d
}

// Settle ends a send that was kept: left came back of its tokens, launched tells
// whether any attempt was made for it, and ran whether it may have run.
func (m *Memory) Settle(key RequestKey, left int, launched, ran bool) {
	e := m.entries[key]
	if e == nil || e.open == 0 {
		return
	}
	e.open--
	e.free += left
	e.launched = e.launched || launched
	e.ran = e.ran || ran
}

// Len returns the number of keys remembered.
func (m *Memory) Len() int { return len(m.entries) }

func (m *Memory) forget(now time.Duration) {
	for len(m.order) > 0 {
		e := m.entries[m.order[0]]
		if e.open > 0 || e.expires > now {
			return
		}
		delete(m.entries, m.order[0])
		m.order[0] = RequestKey{}
		m.order = m.order[1:]
	}
}
