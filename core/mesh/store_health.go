package mesh

import (
	"math/rand/v2"
	"time"
)

const (
	// WatchTime is how long the store holds a watch open while there are no changes. If the answer
	// is more than WatchSlack later, the connection counts as silent. A change that the store
	// acknowledges just after a connection went silent is known to no node before.
	WatchTime  = 1200 * time.Millisecond
	WatchSlack = 600 * time.Millisecond
	// CheckTime is how long the store may take to answer a check, which does not wait for changes.
	// A store that answers takes milliseconds.
	CheckTime = 500 * time.Millisecond
	// BatchDelay is the mean pause after a watch that returned changes, so that the next one
	// returns further changes together. Reads of the store are costly.
	BatchDelay = 150 * time.Millisecond
	// minReadPause and maxReadPause limit the mean pause after a failed read while the store is
	// lost. The pause doubles from one to the next.
	minReadPause = 100 * time.Millisecond
	maxReadPause = time.Second
	// maxCheckPause limits the mean pause before a check while watches end again and again
	// though the store answers. Changes take effect after a check at the latest, so that it is
	// part of the time in which a removal must be in force.
	maxCheckPause = 400 * time.Millisecond
)

// ReadFailure is what follows from a failed read of the store.
type ReadFailure struct {
	// Lost is set if the store counts as lost: it did not answer a check either.
	Lost bool
	// Pause is how long the node waits before its next read.
	Pause time.Duration
}

// ReadFailed records that a read of the store failed. A single failure tells nothing of the
// store: a watch that waits may be cut while the store answers, and what the store then says is in
// force at once. Only if the check that follows fails too was the store away, so that
// registrations may have lapsed whose upstreams live.
func (n *Node) ReadFailed() ReadFailure {
	h := &n.health
	if !h.suspect && !n.registry.StoreDown() {
		h.suspect = true
		return ReadFailure{Pause: h.checkPause(n.random)}
	}
	h.suspect = false
	n.StoreLost()
	return ReadFailure{Lost: true, Pause: h.readPause(n.random)}
}

// storeHealth is what a node knows of the store from its own reads.
type storeHealth struct {
	// suspect is set if the last read failed and the next one is a check.
	suspect bool
	// endedWatches counts the watches that failed since one was answered.
	endedWatches int
	// pause is the mean pause after the last failure while the store was lost, 0 if it answered
	// since.
	pause time.Duration
}

// answered records that a read was answered.
func (h *storeHealth) answered(read StoreRead) {
	if !read.Check {
		h.endedWatches = 0
	}
	h.suspect, h.pause = false, 0
}

// checkPause returns how long the node waits before a check: not at all after the first watch
// that ended.
func (h *storeHealth) checkPause(random *rand.Rand) time.Duration {
	mean := time.Duration(0)
	if h.endedWatches > 0 {
		mean = min(minReadPause<<min(h.endedWatches-1, 4), maxCheckPause)
	}
	h.endedWatches++
	return jitter(random, mean)
}

func (h *storeHealth) readPause(random *rand.Rand) time.Duration {
	h.pause = min(max(2*h.pause, minReadPause), maxReadPause)
	return jitter(random, h.pause)
}

// jitter returns a random time between 0.5 and 1.5 times mean.
func jitter(random *rand.Rand, mean time.Duration) time.Duration {
	if mean <= 0 {
		return 0
	}
	return mean/2 + time.Duration(random.Int64N(int64(mean)))
}
