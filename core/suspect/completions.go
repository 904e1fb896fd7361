package suspect

import "time"

// completions holds when requests last completed at the local upstream, for a bounded number
// of requests.
type completions struct {
	at map[uint64]time.Duration
	// order is a ring of the fingerprints in the order in which they were added; next is the
	// position of the oldest one once the ring is full.
	order []uint64
	next  int
	size  int
}

func newCompletions(size int) *completions {
	return &completions{at: map[uint64]time.Duration{}, size: size}
}

// record notes that a request completed now. It replaces the request that was added first if
// there is no room.
func (c *completions) record(now time.Duration, fingerprint uint64) {
	if _, known := c.at[fingerprint]; !known {
		c.add(fingerprint)
	}
	c.at[fingerprint] = now
}

func (c *completions) add(fingerprint uint64) {
	if len(c.order) < c.size {
		c.order = append(c.order, fingerprint)
		return
	}
	delete(c.at, c.order[c.next])
	c.order[c.next] = fingerprint
	c.next = (c.next + 1) % c.size
}

// since reports whether a request completed at a time or later, and when it did last.
func (c *completions) since(from time.Duration, fingerprint uint64) (at time.Duration, ok bool) {
	at, known := c.at[fingerprint]
	return at, known && at >= from
}
