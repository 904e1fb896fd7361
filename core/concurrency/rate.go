package concurrency

import "time"

const (
	// rateBurst is the time whose worth of requests may start at once under a rate limit.
	rateBurst = 250 * time.Millisecond
	// minRate is the rate, in requests per second, that a rate limit leaves at least. The
	// answers to these requests tell when the limit ends.
	minRate = 0.5
	// maxRateWait is the longest expected wait for the rate limit. Requests that would wait
	// longer are refused at once, so that they can be sent elsewhere.
	maxRateWait = 200 * time.Millisecond
)

// rateLimit bounds the requests that start per second. It is a token bucket: a start takes
// one token, and tokens return at the given rate.
type rateLimit struct {
	active bool
	// perSecond is the rate, tokens the number of starts possible at the time updatedAt.
	perSecond float64
	tokens    float64
	updatedAt time.Duration
}

// set changes the rate. A limit that was not active before starts with one token.
func (r *rateLimit) set(now time.Duration, perSecond float64) {
	r.refill(now)
	if !r.active {
		r.tokens = 1
	}
	r.active, r.perSecond, r.updatedAt = true, max(perSecond, minRate), now
}

func (r *rateLimit) refill(now time.Duration) {
	burst := max(r.perSecond*rateBurst.Seconds(), 1)
	r.tokens = min(r.tokens+r.perSecond*(now-r.updatedAt).Seconds(), burst)
	r.updatedAt = now
}

// allows reports whether a request may start now.
func (r *rateLimit) allows(now time.Duration) bool {
	if !r.active {
		return true
	}
	r.refill(now)
	return r.tokens >= 1
}

// take records the start of a request.
func (r *rateLimit) take() { r.tokens-- }

// wait returns the expected time until a request with the given number of others before it
// may start.
func (r *rateLimit) wait(before int) time.Duration {
	if !r.active {
		return 0
	}
	return time.Duration((float64(before+1) - r.tokens) / r.perSecond * float64(time.Second))
}

// SetRateLimit bounds the requests that start per second, in addition to the limit on
// those that run at once.
func (l *Limiter) SetRateLimit(now time.Duration, perSecond float64) { l.rate.set(now, perSecond) }

// ClearRateLimit removes the bound of SetRateLimit.
func (l *Limiter) ClearRateLimit() { l.rate = rateLimit{} }

// RateLimit returns the bound of SetRateLimit; active is false if there is none.
func (l *Limiter) RateLimit() (perSecond float64, active bool) {
	return l.rate.perSecond, l.rate.active
}

// waitsTooLong reports whether a request would wait too long for the rate limit, behind
// those in the queue that precede it.
func (l *Limiter) waitsTooLong(now time.Duration, req *Request) bool {
	if l.rate.allows(now) && l.queue.Len() == 0 {
		return false
	}
	before := 0
	for _, other := range l.queue {
		if other.Priority <= req.Priority {
			before++
		}
	}
	return l.rate.wait(before) > maxRateWait
}
