// Package outlier ejects targets that fail, so that they get no more work. A
// target is ejected after a few consecutive failures or at a high share of
// failures, and readmitted when a probe succeeds. At most half of a group is
// ejected at once, so that a misleading signal cannot leave a service without
// targets.
package outlier

import "time"

const (
	// maxConsecutiveFailures is the number of consecutive failures that ejects a
	// target.
	maxConsecutiveFailures = 3
	// window is the time for which results are counted before the counts restart
	// at zero.
	window = 5 * time.Second
	// minSamples is the least number of results in a window for which the share of
	// failures is evaluated.
	minSamples = 20
	// maxFailureShare is the share of failures in a window that ejects a target.
	maxFailureShare = 0.5
	// firstEjection is the duration of the first ejection. It doubles with each
	// failed probe up to maxEjection.
	firstEjection = 500 * time.Millisecond
	maxEjection   = 10 * time.Second
	// probeTimeout is the time after which a probe whose result was never recorded
	// no longer prevents the next one.
	probeTimeout = 5 * time.Second
	// nonRetryableDelay is how long after the end of its ejection a target is probed
	// only by calls that can be retried. After it any call may probe the target.
	nonRetryableDelay = 5 * time.Second
)

// Group counts the ejections among a set of targets in order to bound them. It is
// not safe for concurrent use.
type Group struct {
	// Size is the number of targets in the group.
	Size    int
	ejected int
}

// Ejected returns the number of targets ejected now.
func (g *Group) Ejected() int { return g.ejected }

func (g *Group) mayEject() bool { return g.ejected < g.Size/2 }

// Target tracks the results of one target. The zero value is a target that is not
// ejected and has no results yet.
type Target struct {
	ejected bool
	// probeAt is when an ejected target may first be probed.
	probeAt time.Duration
	// backoff is the duration of the current ejection.
	backoff      time.Duration
	probing      bool
	probeStarted time.Duration

	// consecutiveFailures is the number of failures since the last success.
	consecutiveFailures int
	windowStarted       time.Duration
	// successes and failures count the results in the window.
	successes, failures int
}

// Ejected reports whether t is ejected, whether or not it may be probed.
func (t *Target) Ejected() bool { return t.ejected }

// ProbeDue reports whether an ejected target is to be probed with one attempt now:
// its ejection time is over and no other probe is in progress. The attempt should
// belong to a call that can be retried, because a probe may fail. Any other call
// is used only if there has been no retryable one for some time.
func (t *Target) ProbeDue(now time.Duration, retryable bool) bool {
	due := t.probeAt
	if !retryable {
		due += nonRetryableDelay
	}
	inProgress := t.probing && now < t.probeStarted+probeTimeout
	return t.ejected && !inProgress && now >= due
}

// RecordStart records the start of an attempt to t.
func (t *Target) RecordStart(now time.Duration) {
	if t.ejected {
		t.probing, t.probeStarted = true, now
	}
}

// RecordInconclusive records the end of an attempt that shows nothing about t.
func (t *Target) RecordInconclusive() { t.probing = false }

// RecordSuccess records a success and reports whether that readmitted t.
func (t *Target) RecordSuccess(now time.Duration, g *Group) bool {
	t.consecutiveFailures = 0
	t.count(now, true)
	if !t.ejected || !t.probing {
		return false
	}
	t.Readmit(g)
	return true
}

// RecordFailure records a failure and ejects t if there have been too many.
func (t *Target) RecordFailure(now time.Duration, g *Group) {
	if t.ejected {
		if t.probing {
			t.startEjection(now)
		}
		return
	}
	t.consecutiveFailures++
	t.count(now, false)
	failureShare := float64(t.failures) / float64(t.successes+t.failures)
	if t.consecutiveFailures >= maxConsecutiveFailures || t.successes+t.failures >= minSamples && failureShare >= maxFailureShare {
		t.Eject(now, g)
	}
}

// Eject ejects t unless too many targets of its group are ejected already, and
// reports whether t is ejected.
func (t *Target) Eject(now time.Duration, g *Group) bool {
	if !t.ejected && g.mayEject() {
		g.ejected++
		t.backoff = 0
		t.startEjection(now)
	}
	return t.ejected
}

// Join makes t a member of g, a new group in which t is not yet counted. If t is
// ejected and too many targets of g are ejected already, t is readmitted.
func (t *Target) Join(g *Group) {
	switch {
	case !t.ejected:
	case g.mayEject():
		g.ejected++
	default:
		*t = Target{}
	}
}

// startEjection begins an ejection with the next longer duration.
func (t *Target) startEjection(now time.Duration) {
	t.backoff = min(max(2*t.backoff, firstEjection), maxEjection)
	t.ejected, t.probing, t.probeAt = true, false, now+t.backoff
}

// Readmit ends an ejection and clears the results of t, after a successful probe
// or a restart of the target.
func (t *Target) Readmit(g *Group) {
	if t.ejected {
		g.ejected--
	}
	*t = Target{}
}

func (t *Target) count(now time.Duration, success bool) {
	if now >= t.windowStarted+window {
		t.windowStarted, t.successes, t.failures = now, 0, 0
	}
	if success {
		t.successes++
	} else {
		t.failures++
	}
}
