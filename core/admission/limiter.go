package admission

import "time"

const (
	// windowSamples is the number of finished runs in a measurement window.
	windowSamples = 60
	// headroom is the ratio of the limit to the estimated number of slots.
	headroom = 1.25
	// maxGrowth and maxShrink bound the factor by which the limit changes after a
	// window. Until it first exceeds the slots, the limit grows by maxGrowth.
	maxGrowth = 1.6
	maxShrink = 0.7
	// minQueuedShare is the share of the runs in flight that has to be queued
	// inside the upstream before the length of that queue is used to estimate the
	// slots.
	minQueuedShare = 0.3
	// minQueuedShareBelowLimit is the same for a window in which the limit was not
	// reached: a decrease is less urgent there and can wait for stronger evidence.
	minQueuedShareBelowLimit = 0.5
	// unconfirmedShrink is the factor below which a decrease of the limit has to be
	// confirmed by a probe, unless one has just ended.
	unconfirmedShrink = 0.95
	// minQueueDelay is the queueing delay inside the upstream up to which the limit
	// is not decreased: with short runs, the noise of the machine looks the same.
	minQueueDelay = 4 * time.Millisecond
	// lowConcurrencyShare is the share of the limit up to which the runs in flight
	// are assumed not to queue inside the upstream, even if the limit is far too
	// high.
	lowConcurrencyShare = 0.4
	// probeShare is the share of the limit that a probe admits. It is below the
	// number of slots when the limit is near that number.
	probeShare = 0.6
	// baselineSamples is the number of runs over which the baseline is averaged.
	baselineSamples = 200
	// baselineJump is the factor by which the mean self time in a probe has to be
	// above or below the baseline to replace it; otherwise the two are averaged.
	baselineJump = 1.5
	// maxBaselineRatio is the highest ratio of the baseline to the mean self time
	// of any window.
	maxBaselineRatio = 1.2
	// speedupRatio is the ratio of the baseline to the mean self time of a window
	// above which the upstream seems to be faster than before; a probe then
	// measures it.
	speedupRatio = 1.2
	// probeInterval is the least time from the end of a probe to a periodic one,
	// which is made only while calls are waiting.
	probeInterval = 2 * time.Second
	// minQueuedTicks is the number of consecutive ticks at which calls have to be
	// waiting before a periodic probe: a probe during a short burst would refuse
	// calls that the upstream has capacity for.
	minQueuedTicks = 20
	// minProbeGap is the least time between the end of a probe and a probe that
	// confirms a decrease or a faster upstream.
	minProbeGap = 500 * time.Millisecond
	// probeRuns is the number of low-concurrency runs to be started in a probe.
	probeRuns = 50
	// maxProbeTime ends a probe in which too few runs start, and the wait for its
	// runs to finish.
	maxProbeTime = time.Second
)

// limiter adapts the limit to the slots of the upstream: the number of calls that
// the upstream can work on without queueing them internally. By Little's law, the
// length of the queue inside the upstream is its completion rate times the self
// time in excess of the baseline. The baseline is the self time of low-concurrency
// runs, which start while few calls are in flight. There are no such runs while
// the limit is always reached. Therefore the limiter probes the upstream at
// intervals and before each larger decrease: it lowers the limit for a moment. If
// the self time stays high during the probe, the upstream has become slower and
// the baseline rises; if the self time drops, calls were queued inside the upstream
// and the limit decreases.
type limiter struct {
	cfg   Config
	limit float64
	// selfTime is the mean self time of the last window and baseline the one
	// without queueing, in seconds.
	selfTime, baseline float64
	baselineRuns       int
	// skipRuns is the number of finished runs still to be ignored: the first to
	// finish after the start are the short ones.
	skipRuns int

	window      window
	probeWindow window
	// totalTime is the sum of the times from start to end of the runs in the
	// window, in seconds.
	totalTime float64
	// settledAt is when the runs that began under the previous limit are expected
	// to have ended. Runs that end earlier do not count towards a window.
	settledAt time.Duration
	// limitReached is true when the limit was reached in this window.
	limitReached bool

	// overshot is true once the limit has been found to exceed the slots.
	overshot bool

	probing        bool
	probeStartedAt time.Duration
	probeEndedAt   time.Duration
	probeStarts    int
	// probePending is true while runs of the last probe have yet to finish.
	probePending bool
	// queuedTicks is the number of consecutive ticks at which calls waited.
	queuedTicks int
}

// window sums up the self times of finished runs, in seconds.
type window struct {
	startedAt time.Duration
	count     int
	sum       float64
}

func (w *window) add(selfTime time.Duration) {
	w.count++
	w.sum += selfTime.Seconds()
}

func (w *window) mean() float64 { return w.sum / float64(w.count) }

func newLimiter(cfg Config) limiter {
	return limiter{cfg: cfg, limit: float64(cfg.Initial), skipRuns: cfg.Initial}
}

// current returns the number of calls that may run at once now.
func (l *limiter) current() int {
	if l.probing {
		return max(int(l.limit*probeShare), l.cfg.Min)
	}
	return int(l.limit)
}

// isLowConcurrency reports whether a run that brings the number of running calls
// to inFlight can be used to measure the baseline.
func (l *limiter) isLowConcurrency(inFlight int) bool {
	share := lowConcurrencyShare
	if l.probing {
		share = probeShare
	}
	return float64(inFlight) <= max(l.limit*share, float64(l.cfg.Min))
}

// runStarted records the start of a run that brings the number of running calls
// to inFlight.
func (l *limiter) runStarted(now time.Duration, inFlight int) {
	if inFlight >= int(l.limit) {
		l.limitReached = true
	}
	if l.probing && l.isLowConcurrency(inFlight) {
		l.probeStarts++
	}
}

// recordSaturation records that a call could not run at once.
func (l *limiter) recordSaturation() { l.limitReached = true }

// runDone records a run that ended with a complete answer, total after its start.
// The first windowSamples runs count towards the baseline whatever the concurrency.
func (l *limiter) runDone(now, selfTime, total time.Duration, lowConcurrency bool) {
	if l.skipRuns > 0 {
		l.skipRuns--
		return
	}
	if l.baselineRuns < windowSamples {
		lowConcurrency = true
	}
	if lowConcurrency {
		l.updateBaseline(now-total, selfTime)
	}
	if now < l.settledAt {
		return
	}
	if l.window.count == 0 {
		l.window.startedAt = now
	}
	l.window.add(selfTime)
	l.totalTime += total.Seconds()
	if l.window.count >= l.windowSize() && now-l.window.startedAt >= max(seconds(l.baseline), time.Millisecond) {
		l.adjust(now)
	}
}

// updateBaseline records a low-concurrency run that started at startedAt. The
// runs of a probe are evaluated together once all have finished, because the
// first to finish are the short ones.
func (l *limiter) updateBaseline(startedAt, selfTime time.Duration) {
	l.baselineRuns++
	if l.probeStartedAt == 0 || startedAt < l.probeStartedAt || !l.probing && startedAt > l.probeEndedAt {
		// Not a run of the last probe.
		weight := 1 / float64(min(l.baselineRuns, baselineSamples))
		l.baseline += weight * (selfTime.Seconds() - l.baseline)
		return
	}
	l.probeWindow.add(selfTime)
	if l.probing || l.probeWindow.count < l.probeStarts {
		return
	}
	mean := l.probeWindow.mean()
	l.probeWindow, l.probePending = window{}, false
	if mean > l.baseline*baselineJump || mean < l.baseline/baselineJump {
		l.baseline = mean
		return
	}
	l.baseline = (l.baseline + mean) / 2
}

// windowSize returns the number of runs in a window: fewer until the limit first
// exceeds the slots, so that it grows fast.
func (l *limiter) windowSize() int {
	if l.overshot {
		return windowSamples
	}
	return windowSamples / 2
}

// adjust ends a window and changes the limit, or starts a probe where the change
// has to be confirmed first.
func (l *limiter) adjust(now time.Duration) {
	w, meanTotal, reached := l.window, l.totalTime/float64(l.window.count), l.limitReached
	l.window, l.totalTime, l.limitReached = window{}, 0, false
	l.selfTime = w.mean()
	faster := l.selfTime*speedupRatio < l.baseline
	l.baseline = min(l.baseline, l.selfTime*maxBaselineRatio)
	if l.probing {
		return
	}
	if faster && l.overshot && l.probeDue(now, minProbeGap) {
		l.startProbe(now)
		return
	}
	rate := float64(w.count-1) / (now - w.startedAt).Seconds()
	target, known := l.targetLimit(rate, rate*meanTotal, reached)
	if !known {
		return
	}
	if target < l.limit && l.probePending {
		return
	}
	if target < l.limit*unconfirmedShrink && l.probeDue(now, minProbeGap) {
		l.startProbe(now)
		return
	}
	next := min(max(target, l.limit*maxShrink), l.limit*maxGrowth)
	l.limit = min(max(next, float64(l.cfg.Min)), float64(l.cfg.Max))
	l.settledAt = now + seconds(meanTotal)
}

// targetLimit returns the limit that suits an upstream which completed rate runs
// per second while inFlight were running; reached is true if the limit was
// reached meanwhile. known is false if the window does not allow an estimate.
func (l *limiter) targetLimit(rate, inFlight float64, reached bool) (target float64, known bool) {
	queueDelay := max(0, l.selfTime-l.baseline)
	queued := rate * queueDelay
	minShare := minQueuedShare
	if !reached {
		minShare = minQueuedShareBelowLimit
	}
	switch {
	case queued > minShare*inFlight && queueDelay > minQueueDelay.Seconds():
		l.overshot = true
		return headroom*(min(l.limit, inFlight)-queued) + 1, true
	case !reached:
		return 0, false
	case !l.overshot:
		return l.limit * maxGrowth, true
	}
	return (l.limit + headroom*(l.limit-queued) + 1) / 2, true
}

func (l *limiter) probeDue(now, gap time.Duration) bool { return now-l.probeEndedAt >= gap }

func (l *limiter) startProbe(now time.Duration) {
	l.probing, l.probeStartedAt, l.probeStarts = true, now, 0
	l.probeWindow, l.probePending = window{}, true
}

// tick starts and ends probes; queued is true if calls are waiting now.
func (l *limiter) tick(now time.Duration, queued bool) {
	l.queuedTicks++
	if !queued {
		l.queuedTicks = 0
	}
	switch {
	case l.probing && (l.probeStarts >= probeRuns || now-l.probeStartedAt > maxProbeTime):
		l.probing, l.probeEndedAt = false, now
		l.window, l.totalTime = window{}, 0
		l.settledAt = now + seconds(l.baseline)
	case l.probePending && !l.probing && now-l.probeEndedAt > maxProbeTime:
		l.probePending = false
	case !l.probing && l.queuedTicks >= minQueuedTicks && l.baseline > 0 && l.probeDue(now, probeInterval):
		l.startProbe(now)
	}
}
