package mesh

import (
	"time"
)

const (
	// returnTime is how long a refused request is recognised when its caller
	// sends it again: longer than the longest time a caller is told to wait.
	returnTime = 10 * time.Second
	// maxReturns bounds the refused requests remembered.
	maxReturns = 16384
	// maxBorrowed is the number of admissions that returning requests may take
	// ahead of the share.
	maxBorrowed = 3
)

// returns remembers refused requests, so that callers who come back as they
// were told go before new ones.
type returns struct {
	until map[uint64]time.Duration
}

// refused remembers a request that was told to come back.
func (r *returns) refused(now time.Duration, a Arrival) {
	if len(r.until) >= maxReturns {
		r.forget(now)
	}
	if len(r.until) < maxReturns {
		r.until[a.Print] = now + returnTime
	}
}

// back tells whether a request was refused before, and forgets it.
func (r *returns) back(now time.Duration, a Arrival) bool {
	until, known := r.until[a.Print]
	delete(r.until, a.Print)
	return known && now < until
}

func (r *returns) forget(now time.Duration) {
	for print, until := range r.until {
		if now >= until {
			delete(r.until, print)
		}
	}
}
