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
	// minReturnCredit is the credit of a route from which it admits callers' retries. It is
	// below the credit that other requests need, so that retries come first.
	minReturnCredit = 0
)

// refusals remembers requests that were refused admission, so that callers who retry
// as told have precedence over new ones.
type refusals struct {
	expires map[uint64]time.Duration
}

// add remembers a refused request.
func (r *refusals) add(now time.Duration, request IncomingRequest) {
	if len(r.expires) >= maxRefusals {
		r.dropExpired(now)
	}
	if len(r.expires) < maxRefusals {
		r.expires[request.Fingerprint] = now + refusalMemory
	}
}

// take reports whether a request was refused recently, and forgets it.
func (r *refusals) take(now time.Duration, request IncomingRequest) bool {
	expires, known := r.expires[request.Fingerprint]
	delete(r.expires, request.Fingerprint)
	return known && now < expires
}

func (r *refusals) dropExpired(now time.Duration) {
	for fingerprint, expires := range r.expires {
		if now >= expires {
			delete(r.expires, fingerprint)
		}
	}
}
