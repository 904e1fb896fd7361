package mesh

import (
	"time"
)

const (
	// refusalMemory is how long a refused request is recognised when its caller sends
	// it again. It exceeds the longest delay that callers are told to wait.
	refusalMemory = 10 * time.Second
	// maxRefusals bounds the refused requests that are remembered.
	maxRefusals = 16384
	// maxCreditDebt is the number of admissions by which callers' retries may exceed
	// the credit of their route.
	maxCreditDebt = 3
)

// refusals remembers requests that were refused admission, so that callers who retry
// as told have precedence over new ones.
type refusals struct {
	expires map[uint64]time.Duration
}

// add remembers a refused request.
func (r *refusals) add(now time.Duration, a IncomingRequest) {
	if len(r.expires) >= maxRefusals {
		r.dropExpired(now)
	}
	if len(r.expires) < maxRefusals {
		r.expires[a.Fingerprint] = now + refusalMemory
	}
}

// take reports whether a request was refused recently, and forgets it.
func (r *refusals) take(now time.Duration, a IncomingRequest) bool {
	expires, known := r.expires[a.Fingerprint]
	delete(r.expires, a.Fingerprint)
	return known && now < expires
}

func (r *refusals) dropExpired(now time.Duration) {
	for fingerprint, expires := range r.expires {
		if now >= expires {
			delete(r.expires, fingerprint)
		}
	}
}
