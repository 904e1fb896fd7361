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
	expires map[refusedRequest]time.Duration
}

// refusedRequest identifies a refused request. Those of different senders are different, since
// many callers may send the same content.
type refusedRequest struct {
	fingerprint uint64
	sender      string
}

func refused(r IncomingRequest) refusedRequest { return refusedRequest{r.Fingerprint, r.Sender} }

// add remembers a refused request.
func (r *refusals) add(now time.Duration, request IncomingRequest) {
	if len(r.expires) >= maxRefusals {
		r.dropExpired(now)
	}
	if len(r.expires) < maxRefusals {
		r.expires[refused(request)] = now + refusalMemory
	}
}

// take reports whether a request was refused recently, and forgets it.
func (r *refusals) take(now time.Duration, request IncomingRequest) bool {
	expires, known := r.expires[refused(request)]
	delete(r.expires, refused(request))
	return known && now < expires
}

func (r *refusals) dropExpired(now time.Duration) {
	for request, expires := range r.expires {
		if now >= expires {
			delete(r.expires, request)
		}
	}
}
