package mesh

import (
	"time"

	"github.com/shallotspool/shallotspool/core/concurrency"
)

const (
	// startShare is the part of its remaining time in which a stopping node starts requests.
	startShare = 0.5
	// longestFactor is the longest expected time of a request, as a multiple of the mean.
	longestFactor = 2
	// stopAnswerTime is how long before its end a stopping node needs the last answers.
	stopAnswerTime = 100 * time.Millisecond
	// departureDelay is how long requests still start at the local upstream after this node has
	// learned that it drains or is gone. Other nodes learn it within that time.
	departureDelay = 500 * time.Millisecond
)

// longestTime returns the longest expected time of requests that take mean on average.
func longestTime(mean time.Duration) time.Duration { return longestFactor * mean }

// Leave marks the node as about to stop at a time. From now on requests start only if they can
// end before it, and none starts in the last part of the time that remains.
func (n *Node) Leave(now, end time.Duration) {
	n.leaving, n.wasUrgent = true, false
	n.stop = &concurrency.Closing{LastStart: now + time.Duration(startShare*float64(end-now)), End: end}
	n.limiter.SetClosing(n.closing())
}

// closing returns the bound on requests that start at the local upstream, nil if there is none.
func (n *Node) closing() *concurrency.Closing {
	switch {
	case n.stop == nil:
		return n.departure
	case n.departure == nil || n.stop.LastStart <= n.departure.LastStart:
		return n.stop
	}
	return &concurrency.Closing{LastStart: n.departure.LastStart, End: n.stop.End}
}

// updateDeparture records whether the local upstream drains or is gone. Requests that wait for it,
// or that nodes send which do not know yet, do not start there after departureDelay.
func (n *Node) updateDeparture(now time.Duration) {
	own := n.ownRegistration()
	departed := own == nil && n.ownRegistrationID != "" || own != nil && own.Draining
	switch {
	case departed == (n.departure != nil):
		return
	case departed:
		n.departure = &concurrency.Closing{LastStart: now + departureDelay}
	default:
		n.departure = nil
	}
	n.limiter.SetClosing(n.closing())
}

// mayFinish reports whether c can be answered before this node stops if it is sent now. Calls of
// the local upstream are made for requests that run already, so they are sent as long as there is
// time.
func (n *Node) mayFinish(now time.Duration, c *Call) bool {
	longest := longestTime(n.meanRunTime(c.RouteID, c.Service))
	if c.FromUpstream && n.stop != nil {
		return now+longest <= n.stop.End
	}
	return n.stop.Allows(now, longest)
}

// CapDeadline returns the deadline for a request that this node sends on now: before the node
// stops, so that what still waits or runs then elsewhere is answered.
func (n *Node) CapDeadline(deadline time.Duration) time.Duration {
	if n.stop == nil {
		return deadline
	}
	return min(deadline, n.stop.End-stopAnswerTime)
}

// RefusalReason returns why the local upstream starts no request now.
func (n *Node) RefusalReason(now time.Duration) Reason {
	if n.limiter.Closed(now) {
		return ReasonLeaving
	}
	return ReasonBusy
}

// Stopping reports whether the node is about to stop and starts no more requests of callers.
func (n *Node) Stopping(now time.Duration) bool { return !n.stop.Allows(now, 0) }
