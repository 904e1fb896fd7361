package engine

import "time"

const (
	// pauseThreshold is the time between two steps above which the process
	// counts as having been paused.
	pauseThreshold = 300 * time.Millisecond
	// catchUpTime is how long after a pause a node accepts no new
	// non-idempotent calls from callers: they may have waited for an arbitrary
	// time, and what the node knows about its peers is outdated.
	catchUpTime = 2 * heartbeatInterval
)

// advanceTime sets the node's time and handles a pause of the process: queued
// non-idempotent calls are then refused, because their callers may have turned
// to another node long ago.
func (n *Node) advanceTime(now time.Duration) {
	gap := now - n.now
	n.now = now
	if gap <= pauseThreshold || !n.cfg.Policy.KeyOwnership || n.injectedFaults().IgnorePause {
		return
	}
	n.catchUpUntil = now + catchUpTime
	n.emit(&Log{Level: LogWarn, Message: "process was paused", Fields: []Field{{"slept", gap.String()}}})
	n.expireCalls()
	for _, a := range n.openAttempts() {
		if a.queued && !a.call.route.Idempotent {
			n.cancelCall(a.call, ReasonAfterPause)
		}
	}
}

// refusedAfterPause reports whether c is refused because the node has not
// caught up after a pause.
func (n *Node) refusedAfterPause(c *call) bool {
	return n.now < n.catchUpUntil && !c.route.Idempotent && c.origin == OriginCaller
}
