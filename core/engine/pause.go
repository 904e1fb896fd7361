package engine

import "time"

const (
	// pauseLimit is the gap between two steps that counts as a pause.
	pauseLimit = 300 * time.Millisecond
	// catchUp is how long after a pause a node takes no new work that must not
	// be repeated: what reaches it then may have waited for any time, and what
	// it knows of its peers is old.
	catchUp = 2 * heartbeatInterval
)

// notePause notices from the node's own monotonic time that the process slept.
// Queued work that must not repeat is given back: its caller may long have
// turned to someone else.
func (n *Node) notePause(now time.Duration) {
	slept := now - n.now
	n.now = now
	if slept <= pauseLimit || !n.cfg.Policy.Ownership || n.faults().IgnorePause {
		return
	}
	n.wokeUntil = now + catchUp
	n.emit(&Log{Level: LogWarn, Message: "woke late", Fields: []Field{{"slept", slept.String()}}})
	n.expire()
	for _, a := range n.openAttempts() {
		if a.waiting && !a.call.route.Idempotent {
			n.giveUp(a.call, ReasonWokeLate)
		}
	}
}

// catchingUp tells whether the node woke too lately to take a call that is not
// idempotent from its caller.
func (n *Node) catchingUp(c *call) bool {
	return n.now < n.wokeUntil && !c.route.Idempotent && c.origin == OriginCaller
}
