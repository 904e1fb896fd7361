package admission

import "time"

const (
	// windowSamples is the number of runs one step of the limit is judged by.
	windowSamples = 30
	// windowWeight is the weight of the newest window in the smoothed own time.
	windowWeight = 0.4
	// headroom is what the limit keeps above the slots it estimates.
	headroom = 1.2
	// growth and shrink bound one step of the limit.
	growth = 1.4
	shrink = 0.8
	// lightShare is the share of the limit below which a run certainly met no
	// queue inside the upstream, once the limit is near the slots.
	lightShare = 0.7
	// baseSamples is the memory of the baseline, in runs.
	baseSamples = 100
	// baseJump is the factor between a window of light runs and the baseline at
	// which the window replaces it.
	baseJump = 1.4
	// dipInterval is the time between two dips while the limit is reached.
	dipInterval = 2 * time.Second
	// dipPause is the least time between a dip and the next one that a
	// suspected fall asks for.
	dipPause = 400 * time.Millisecond
	// dipSamples is the number of light runs that end a dip.
	dipSamples = 30
	// maxDip ends a dip that finds no runs.
	maxDip = time.Second
)

// limiter learns how many calls the upstream works on without queueing them.
// By Little's law the queue inside the upstream is its completion rate times
// the own time above the baseline. The baseline is the own time of light runs,
// which started while few were in flight. When the limit is always reached
// there are none, so now and then, and before each fall, the limit dips for a
// moment: if the own time stays up in the dip, the upstream is slower and the
// baseline rises; if it falls, it was queueing and the limit falls.
type limiter struct {
	cfg   Config
	limit float64
	// own is the smoothed own time and base the baseline, in seconds.
	own, base float64
	baseRuns  int

	window window
	light  window
	// reached tells that the limit was hit in this window.
	reached bool

	dipping  bool
	dipBegan time.Duration
	dipEnded time.Duration
	dipRuns  int
}

// window sums up samples.
type window struct {
	began time.Duration
	count int
	sum   float64
}

func (w *window) add(own time.Duration) {
	w.count++
	w.sum += own.Seconds()
}

func (w *window) mean() float64 { return w.sum / float64(w.count) }

func newLimiter(cfg Config) limiter { return limiter{cfg: cfg, limit: float64(cfg.Initial)} }

// current returns the number of calls that may run at once now.
func (l *limiter) current() int {
	if l.dipping {
		return max(int(l.limit*lightShare), l.cfg.Min)
	}
	return int(l.limit)
}

// isLight tells whether a run that makes inFlight calls run is a light one.
func (l *limiter) isLight(inFlight int) bool {
	return float64(inFlight) <= max(l.limit*lightShare, float64(l.cfg.Min))
}

// started takes in a run that makes inFlight calls run.
func (l *limiter) started(now time.Duration, inFlight int) {
	if inFlight >= int(l.limit) {
		l.reached = true
	}
	if l.dipping && l.isLight(inFlight) {
		l.dipRuns++
	}
}

// full takes in that a call had to wait or was refused.
func (l *limiter) full() { l.reached = true }

// done takes in a run that ended with a whole answer.
func (l *limiter) done(now, own time.Duration, light bool) {
	if l.base == 0 && l.baseRuns < windowSamples {
		light = true
	}
	if light {
		l.learnBase(now, own)
	}
	if l.window.count == 0 && l.window.began == 0 {
		l.window.began = now
	}
	l.window.add(own)
	if l.window.count >= windowSamples && now > l.window.began {
		l.step(now)
	}
}

func (l *limiter) learnBase(now, own time.Duration) {
	l.light.add(own)
	l.baseRuns++
	weight := 1 / float64(min(l.baseRuns, baseSamples))
	l.base += weight * (own.Seconds() - l.base)
	if l.light.count < windowSamples {
		return
	}
	mean := l.light.mean()
	l.light = window{}
	if mean > l.base*baseJump || mean < l.base/baseJump {
		l.base = mean
		l.baseRuns = windowSamples
	}
}

// step moves the limit after a window.
func (l *limiter) step(now time.Duration) {
	w := l.window
	l.window = window{began: now}
	reached := l.reached
	l.reached = false
	if l.own == 0 {
		l.own = w.mean()
	}
	l.own += windowWeight * (w.mean() - l.own)
	if l.dipping || !reached {
		return
	}
	rate := float64(w.count) / (now - w.began).Seconds()
	inside := max(0, rate*(l.own-l.base))
	target := headroom*(l.limit-inside) + 1
	if target < l.limit && l.dipDue(now, dipPause) {
		l.dip(now)
		return
	}
	next := min(max(target, l.limit*shrink), l.limit*growth)
	l.limit = min(max(next, float64(l.cfg.Min)), float64(l.cfg.Max))
}

func (l *limiter) dipDue(now, pause time.Duration) bool { return now-l.dipEnded >= pause }

func (l *limiter) dip(now time.Duration) {
	l.dipping, l.dipBegan, l.dipRuns = true, now, 0
}

// tick begins and ends dips; reached tells that the limit is reached now.
func (l *limiter) tick(now time.Duration, reached bool) {
	switch {
	case l.dipping && (l.dipRuns >= dipSamples || now-l.dipBegan > maxDip):
		l.dipping, l.dipEnded = false, now
		l.own = 0
		l.window = window{began: now}
	case !l.dipping && reached && l.base > 0 && l.dipDue(now, dipInterval):
		l.dip(now)
	}
}
