package budget

import "time"

// RatioConfig bounds the retries to one service.
type RatioConfig struct {
	// Share is the number of retries that each first attempt
	// adds to the credit.
	Share float64
	// PerSecond is the number of retries that each second adds to the credit,
	// whatever the traffic.
	PerSecond float64
	// Burst is the highest credit, in retries.
	Burst float64
}

// DefaultRatio is the bound on the retries of one node to each service.
var DefaultRatio = RatioConfig{Share: 0.1, PerSecond: 0.5, Burst: 10}

// Ratio is a token bucket that bounds the retries to one service to a
// share of its first attempts, so that a failure of the whole service adds little
// load. It is not safe for concurrent use.
type Ratio struct {
	cfg       RatioConfig
	credit    float64
	updatedAt time.Duration
}

// NewRatio returns a token bucket that is full at now.
func NewRatio(cfg RatioConfig, now time.Duration) *Ratio {
	return &Ratio{cfg: cfg, credit: cfg.Burst, updatedAt: now}
}

// First records a first attempt.
func (r *Ratio) First() { r.add(r.cfg.Share) }

// Retry takes the credit for one retry and reports whether there was enough.
func (r *Ratio) Retry(now time.Duration) bool {
	r.add(r.cfg.PerSecond * (now - r.updatedAt).Seconds())
	r.updatedAt = now
	if r.credit < 1 {
		return false
	}
	r.credit--
	return true
}

func (r *Ratio) add(credit float64) { r.credit = min(r.credit+credit, r.cfg.Burst) }
