package budget

import "time"

// RatioConfig bounds the retries to one service.
type RatioConfig struct {
	// Share is the number of retries each first attempt allows.
	Share float64
	// PerSecond is the number of retries allowed per second whatever the
	// traffic.
	PerSecond float64
	// Burst is the number of unused retries that are saved up.
	Burst float64
}

// DefaultRatio is what a node allows itself per service.
var DefaultRatio = RatioConfig{Share: 0.1, PerSecond: 0.5, Burst: 10}

// Ratio bounds the retries to one service to a share of the first attempts, so
// that a fault of the whole service adds little load. It is not safe for
// concurrent use.
type Ratio struct {
	cfg    RatioConfig
	credit float64
	at     time.Duration
}

// NewRatio returns a Ratio that starts at now with its burst in hand.
func NewRatio(cfg RatioConfig, now time.Duration) *Ratio {
	return &Ratio{cfg: cfg, credit: cfg.Burst, at: now}
}

// First counts a first attempt.
func (r *Ratio) First() { r.add(r.cfg.Share) }

// Retry takes the credit of one retry and reports whether there was any.
func (r *Ratio) Retry(now time.Duration) bool {
	r.add(r.cfg.PerSecond * (now - r.at).Seconds())
	r.at = now
	if r.credit < 1 {
		return false
	}
	r.credit--
	return true
}

func (r *Ratio) add(credit float64) { r.credit = min(r.credit+credit, r.cfg.Burst) }
