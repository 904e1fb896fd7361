// Package outlier stops work to targets that fail. A target is ejected after a
// few failures in a row or a high share of failures, and readmitted when a probe
// succeeds. At most half of a group is ejected at once, so that a misleading
// signal cannot empty a service.
package outlier

import "time"

const (
	// maxConsecutive is the number of failures in a row that ejects.
	maxConsecutive = 3
	// window is how long outcomes are counted before the counts start afresh,
	// and minSamples the number of them that says anything.
	window     = 5 * time.Second
	minSamples = 20
	// maxFailureShare is the share of failures in a window that ejects.
	maxFailureShare = 0.5
	// firstEjection is how long a target is ejected at first; the time doubles
	// with each failed probe up to maxEjection.
	firstEjection = 500 * time.Millisecond
	maxEjection   = 10 * time.Second
	// probeTimeout frees the place of a probe whose end was never told.
	probeTimeout = 5 * time.Second
	// unprobedTime is how long an ejected target waits for a probe that can be
	// repeated before it takes any.
	unprobedTime = 5 * time.Second
)

// Group is the set of targets that are ejected from together. It is not safe
// for concurrent use.
type Group struct {
	// Size is the number of targets known.
	Size    int
	ejected int
}

// Ejected returns the number of targets ejected now.
func (g *Group) Ejected() int { return g.ejected }

func (g *Group) mayEject() bool { return g.ejected < g.Size/2 }

// Target is the record of one target. The zero value is a target in good
// standing.
type Target struct {
	ejected bool
	// until is when an ejected target may be probed.
	until    time.Duration
	backoff  time.Duration
	probing  bool
	probedAt time.Duration

	consecutive int
	since       time.Duration
	good, bad   int
}

// Ejected tells whether t is ejected, whether or not it may be probed.
func (t *Target) Ejected() bool { return t.ejected }

// ProbeDue tells whether an ejected target is to be given one attempt now: its
// time is over and no other probe is open. A probe is best an attempt that can be
// repeated; one that cannot is used only if none such has come for long.
func (t *Target) ProbeDue(now time.Duration, repeatable bool) bool {
	due := t.until
	if !repeatable {
		due += unprobedTime
	}
	open := t.probing && now < t.probedAt+probeTimeout
	return t.ejected && !open && now >= due
}

// Started tells that an attempt at t began.
func (t *Target) Started(now time.Duration) {
	if t.ejected {
		t.probing, t.probedAt = true, now
	}
}

// Unsure tells that an attempt ended without saying anything of t.
func (t *Target) Unsure() { t.probing = false }

// Succeeded counts a sign of health, and reports whether it readmitted t.
func (t *Target) Succeeded(now time.Duration, g *Group) bool {
	t.consecutive = 0
	t.count(now, true)
	if !t.ejected || !t.probing {
		return false
	}
	t.Readmit(g)
	return true
}

// Failed counts a failure; it ejects t if t has failed too much.
func (t *Target) Failed(now time.Duration, g *Group) {
	if t.ejected {
		if t.probing {
			t.eject(now)
		}
		return
	}
	t.consecutive++
	t.count(now, false)
	share := float64(t.bad) / float64(t.good+t.bad)
	if t.consecutive >= maxConsecutive || t.good+t.bad >= minSamples && share >= maxFailureShare {
		t.Eject(now, g)
	}
}

// Eject stops work to t, unless too many of its group are ejected already, and
// reports whether it is ejected.
func (t *Target) Eject(now time.Duration, g *Group) bool {
	if !t.ejected && g.mayEject() {
		g.ejected++
		t.backoff = 0
		t.eject(now)
	}
	return t.ejected
}

// Join counts t in a group that was formed anew; it is readmitted if too many
// of the group are ejected.
func (t *Target) Join(g *Group) {
	switch {
	case !t.ejected:
	case g.mayEject():
		g.ejected++
	default:
		*t = Target{}
	}
}

func (t *Target) eject(now time.Duration) {
	t.backoff = min(max(2*t.backoff, firstEjection), maxEjection)
	t.ejected, t.probing, t.until = true, false, now+t.backoff
}

// Readmit lets t take work again: a probe succeeded, or it started anew.
func (t *Target) Readmit(g *Group) {
	if t.ejected {
		g.ejected--
	}
	*t = Target{}
}

func (t *Target) count(now time.Duration, ok bool) {
	if now >= t.since+window {
		t.since, t.good, t.bad = now, 0, 0
	}
	if ok {
		t.good++
	} else {
		t.bad++
	}
}
