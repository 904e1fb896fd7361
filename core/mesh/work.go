package mesh

import (
	"time"

	"github.com/shallotspool/shallotspool/core/concurrency"
)

// maxSlotShare is the share of an upstream's slots that is used at most, because some
// upstreams slow down when they are nearly full.
const maxSlotShare = 0.94

// concurrencyLimit returns the number of requests that may run at once at an upstream
// with the given number of slots.
func concurrencyLimit(slots int) int { return max(int(maxSlotShare*float64(slots)), 1) }

// Work is a request that this or another node sent to the local upstream.
type Work struct {
	// ID identifies the work at this node only.
	ID uint64
	// RequestID is the ID of the request, by which the calls made for it are recognised.
	RequestID string
	// Fingerprint is the hash of the request's content; see IncomingRequest.Fingerprint.
	Fingerprint uint64
	Route       uint32
	Rank        Rank
	Deadline    time.Duration
	// Started is when the upstream began to run the work. It is set once that has happened.
	Started time.Duration
}

// OfferWork decides whether w runs at the local upstream now, waits or is refused. If it
// is refused, now or later, WorkRefused must be called.
func (n *Node) OfferWork(now time.Duration, w Work) concurrency.Decision {
	n.trackWork(now, w)
	minTimeLeft := n.ownMinTimeLeft(w.Route)
	if n.runTimes.claimTrial(now, w) {
		minTimeLeft = 0
	}
	d := n.limiter.Offer(now, concurrency.Request{
		ID: w.ID, Priority: w.Rank.Priority, EnteredAt: now - w.Rank.Age,
		Deadline: w.Deadline, ExpectedRunTime: minTimeLeft, LongestRunTime: longestTime(n.runTimes.mean(w.Route)),
	})
	if d == concurrency.Admit {
		n.WorkStarted(now, w)
	}
	return d
}

// WorkStarted records that w starts to run. It must be called for requests that waited;
// OfferWork does it for the others.
func (n *Node) WorkStarted(now time.Duration, w Work) {
	n.usage.start(now, w.Rank.Root)
	n.runTimes.recordStart(now, w.Route)
	n.arrivals.record(now, n.budget.bounds.Window, w.Rank.IsRetry)
	n.suspects.StartTrial(now, w.Fingerprint)
}

// minRunShare is the part of the mean run time that must be left before the deadline
// for a request to be worth starting.
const minRunShare = 0.5

// ownMinTimeLeft returns the time before the deadline that is required to start a run
// of a route at the local upstream.
func (n *Node) ownMinTimeLeft(routeID uint32) time.Duration {
	return time.Duration(minRunShare * float64(n.runTimes.known(routeID)))
}

// NextWork returns the next queued request to run or refuse; see
// concurrency.Limiter.NextDecision.
func (n *Node) NextWork(now time.Duration) (id uint64, d concurrency.Decision, ok bool) {
	return n.limiter.NextDecision(now)
}

// ExpireWork removes and returns the queued requests that can no longer be answered in
// time, or that must not start any more.
func (n *Node) ExpireWork(now time.Duration) []uint64 {
	n.updateDeparture(now)
	return n.limiter.RemoveExpired(now)
}

// WorkDone records the end of a run at the local upstream. took is its run time.
func (n *Node) WorkDone(now time.Duration, w Work, took time.Duration, result RunResult) {
	n.limiter.Done(w.ID)
	if result == RunSucceeded {
		n.RecordCompletion(now, w)
	}
	n.suspects.EndTrial(w.Fingerprint, result == RunFailed || result == RunTimedOut)
	n.recordRun(w, took, result)
	n.runTimes.recordEnd(w, false)
	delete(n.openWork, w.RequestID)
	n.usage.end(now, w.Rank.Root)
}

// WorkRefused removes a request that did not run at the local upstream, and frees its
// slot if it was admitted.
func (n *Node) WorkRefused(w Work) {
	n.limiter.Withdraw(w.ID)
	n.limiter.Done(w.ID)
	n.runTimes.recordEnd(w, true)
	delete(n.openWork, w.RequestID)
}
