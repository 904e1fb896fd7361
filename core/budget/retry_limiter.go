package budget

import "time"

// RetryLimiterConfig bounds the retries to one service.
type RetryLimiterConfig struct {
	// RetriesPerFirstAttempt is the number of retries that each first attempt
	// adds to the credit.
	RetriesPerFirstAttempt float64
	// RetriesPerSecond is the number of retries that each second adds to the
	// credit, whatever the traffic.
	RetriesPerSecond float64
	// Burst is the highest credit, in retries.
	Burst float64
}

// DefaultRetryLimits is the bound on the retries of one node to each service.
var DefaultRetryLimits = RetryLimiterConfig{RetriesPerFirstAttempt: 0.1, RetriesPerSecond: 0.5, Burst: 10}

// RetryLimiter is a token bucket that bounds the retries to one service to a
// share of its first attempts, so that a failure of the whole service adds little
// load. It is not safe for concurrent use.
type RetryLimiter struct {
	cfg       RetryLimiterConfig
	credit    float64
	updatedAt time.Duration
}

// NewRetryLimiter returns a token bucket that is full at now.
func NewRetryLimiter(cfg RetryLimiterConfig, now time.Duration) *RetryLimiter {
	return &RetryLimiter{cfg: cfg, credit: cfg.Burst, updatedAt: now}
}

// RecordFirstAttempt records a first attempt.
func (r *RetryLimiter) RecordFirstAttempt() { r.add(r.cfg.RetriesPerFirstAttempt) }

// TakeRetry takes the credit for one retry and reports whether there was enough.
func (r *RetryLimiter) TakeRetry(now time.Duration) bool {
	r.add(r.cfg.RetriesPerSecond * (now - r.updatedAt).Seconds())
	r.updatedAt = now
	if r.credit < 1 {
		return false
	}
	r.credit--
	return true
}

func (r *RetryLimiter) add(credit float64) { r.credit = min(r.credit+credit, r.cfg.Burst) }
