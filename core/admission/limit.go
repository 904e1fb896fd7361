package admission

import "time"

const (
	// windowSamples is the number of runs one step of the limit is judged by.
	windowSamples = 60
	// headroom is what the limit keeps above the slots it estimates.
	headroom = 1.25
	// firstGrowth is a step of the limit until its first fall, and shrink bounds
	// a fall.
	firstGrowth = 1.6
	shrink      = 0.7
	// insideShare is the share of the runs queueing inside the upstream above
	// which their number tells its slots.
	insideShare = 0.3
	// idleInsideShare is the same while the limit is not reached: there a fall
	// can wait for surer signs.
	idleInsideShare = 0.5
	// doubt is the factor of a fall that a dip checks first.
	doubt = 0.95
	// shortQueue is the queueing time inside the upstream that is not worth a
	// fall: on short runs the noise of the machine looks the same.
	shortQueue = 4 * time.Millisecond
	// lightShare is the share of the limit below which a run certainly met no
	// queue inside the upstream, also when the limit is far too high, and dipShare
	// the one it dips to, below the slots when the limit is near them.
	lightShare = 0.4
	dipShare   = 0.6
	// baseSamples is the memory of the baseline, in runs.
	baseSamples = 200
	// baseJump is the factor between a window of light runs and the baseline at
	// which the window replaces it.
	baseJump = 1.5
	// baseSlack is the most that the baseline is above the own time of any window.
	baseSlack = 1.2
	// quickerBy is the factor by which a window is below the baseline when the
	// upstream has become quicker, which a dip then measures.
	quickerBy = 1.2
	// dipInterval is the time between two dips while the limit is reached.
	dipInterval = 2 * time.Second
	// longWait is the number of ticks that calls wait before a dip is due: a dip
	// within a short burst would refuse calls that there is room for.
	longWait = 20
	// dipPause is the least time between a dip and the next one that a
	// suspected fall asks for.
	dipPause = 500 * time.Millisecond
	// dipSamples is the number of light runs that end a dip.
	dipSamples = 50
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
	// own is the own time of the last window and base the baseline, in seconds.
	own, base float64
	baseRuns  int
	// skip is the number of runs yet to be passed over: those that end first
	// after a start are the short ones.
	skip int

	window window
	light  window
	// total is the sum of the whole times of the runs in the window, in seconds.
	total float64
	// settled is when runs that began under the limit before are over.
	settled time.Duration
	// reached tells that the limit was hit in this window.
	reached bool

	// settledOnce tells that the limit has once been higher than it should be.
	settledOnce bool

	dipping  bool
	dipBegan time.Duration
	dipEnded time.Duration
	dipRuns  int
	// judging tells that runs of the last dip have yet to end.
	judging bool
	// waited is the number of ticks that calls have been waiting for.
	waited int
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

func newLimiter(cfg Config) limiter {
	return limiter{cfg: cfg, limit: float64(cfg.Initial), skip: cfg.Initial}
}

// current returns the number of calls that may run at once now.
func (l *limiter) current() int {
	if l.dipping {
		return max(int(l.limit*dipShare), l.cfg.Min)
	}
	return int(l.limit)
}

// isLight tells whether a run that makes inFlight calls run is a light one.
func (l *limiter) isLight(inFlight int) bool {
	share := lightShare
	if l.dipping {
		share = dipShare
	}
	return float64(inFlight) <= max(l.limit*share, float64(l.cfg.Min))
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

// done takes in a run that ended with a whole answer after total.
func (l *limiter) done(now, own, total time.Duration, light bool) {
	if l.skip > 0 {
		l.skip--
		return
	}
	if l.baseRuns < windowSamples {
		light = true
	}
	if light {
		l.learnBase(now-total, own)
	}
	if now < l.settled {
		return
	}
	if l.window.count == 0 {
		l.window.began = now
	}
	l.window.add(own)
	l.total += total.Seconds()
	if l.window.count >= l.windowSize() && now-l.window.began >= max(seconds(l.base), time.Millisecond) {
		l.step(now)
	}
}

// learnBase takes in a light run that began at started. The runs of a dip are
// judged together once all have ended: the first to end are the short ones.
func (l *limiter) learnBase(started, own time.Duration) {
	l.baseRuns++
	if l.dipBegan == 0 || started < l.dipBegan || !l.dipping && started > l.dipEnded {
		weight := 1 / float64(min(l.baseRuns, baseSamples))
		l.base += weight * (own.Seconds() - l.base)
		return
	}
	l.light.add(own)
	if l.dipping || l.light.count < l.dipRuns {
		return
	}
	mean := l.light.mean()
	l.light, l.judging = window{}, false
	if mean > l.base*baseJump || mean < l.base/baseJump {
		l.base = mean
		return
	}
	l.base = (l.base + mean) / 2
}

// windowSize returns the number of runs one step is judged by: fewer while the
// limit grows fast.
func (l *limiter) windowSize() int {
	if l.settledOnce {
		return windowSamples
	}
	return windowSamples / 2
}

// step moves the limit after a window.
func (l *limiter) step(now time.Duration) {
	w, total, reached := l.window, l.total/float64(l.window.count), l.reached
	l.window, l.total, l.reached = window{}, 0, false
	l.own = w.mean()
	quicker := l.own*quickerBy < l.base
	l.base = min(l.base, l.own*baseSlack)
	if l.dipping {
		return
	}
	if quicker && l.settledOnce && l.dipDue(now, dipPause) {
		l.dip(now)
		return
	}
	rate := float64(w.count-1) / (now - w.began).Seconds()
	target, known := l.target(rate, rate*total, reached)
	if !known {
		return
	}
	if target < l.limit && l.judging {
		return
	}
	if target < l.limit*doubt && l.dipDue(now, dipPause) {
		l.dip(now)
		return
	}
	next := min(max(target, l.limit*shrink), l.limit*firstGrowth)
	l.limit = min(max(next, float64(l.cfg.Min)), float64(l.cfg.Max))
	l.settled = now + seconds(total)
}

// target returns where the limit should be, for an upstream that completed rate
// runs per second while inFlight were running; known is false when that does not
// tell.
func (l *limiter) target(rate, inFlight float64, reached bool) (target float64, known bool) {
	queueing := max(0, l.own-l.base)
	inside := rate * queueing
	sure := insideShare
	if !reached {
		sure = idleInsideShare
	}
	switch {
	case inside > sure*inFlight && queueing > shortQueue.Seconds():
		l.settledOnce = true
		return headroom*(min(l.limit, inFlight)-inside) + 1, true
	case !reached:
		return 0, false
	case !l.settledOnce:
		return l.limit * firstGrowth, true
	}
	return (l.limit + headroom*(l.limit-inside) + 1) / 2, true
}

func (l *limiter) dipDue(now, pause time.Duration) bool { return now-l.dipEnded >= pause }

func (l *limiter) dip(now time.Duration) {
	l.dipping, l.dipBegan, l.dipRuns = true, now, 0
	l.light, l.judging = window{}, true
}

// tick begins and ends dips; reached tells that the limit is reached now.
func (l *limiter) tick(now time.Duration, reached bool) {
	l.waited++
	if !reached {
		l.waited = 0
	}
	switch {
	case l.dipping && (l.dipRuns >= dipSamples || now-l.dipBegan > maxDip):
		l.dipping, l.dipEnded = false, now
		l.window, l.total = window{}, 0
		l.settled = now + seconds(l.base)
	case l.judging && !l.dipping && now-l.dipEnded > maxDip:
		l.judging = false
	case !l.dipping && l.waited >= longWait && l.base > 0 && l.dipDue(now, dipInterval):
		l.dip(now)
	}
}
