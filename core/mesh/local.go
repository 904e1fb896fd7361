package mesh

import (
	"time"

	"github.com/shallotspool/shallotspool/core/guard"
)

// kneeShare is the share of its slots that an upstream is given at most: some
// slow down when they are nearly full.
const kneeShare = 0.94

func limitOf(slots int) int { return max(int(kneeShare*float64(slots)), 1) }

// Work is a request that another node, or this one, sent to the own upstream.
type Work struct {
	ID uint64
	// Name is the request's id, by which the calls made for it are recognised.
	Name string
	// Print is that of the Arrival.
	Print    uint64
	Route    uint32
	Rank     Rank
	Deadline time.Duration
}

// Offer decides whether the own upstream gets w now, later or not at all.
func (n *Node) Offer(now time.Duration, w Work) guard.Decision {
	n.open(now, w)
	d := n.guard.Offer(now, guard.Item{
		ID: w.ID, Priority: w.Rank.Priority, Since: now - w.Rank.Age,
		Deadline: w.Deadline, Need: n.needOf(w.Route),
	})
	if d == guard.Run {
		n.WorkBegan(now, w)
	}
	return d
}

// WorkBegan takes in that the own upstream gets a request that waited.
func (n *Node) WorkBegan(now time.Duration, w Work) {
	n.usage.began(now, w.Rank.Root)
	n.arrivals.began(now, n.budget.bounds.Window, w.Rank.Rerun)
}

// needShare is the part of the mean run time that a request must have left to be
// worth starting.
const needShare = 0.5

func (n *Node) needOf(id uint32) time.Duration {
	return time.Duration(needShare * float64(n.runs[id]))
}

// NextWork returns the waiting request to run or refuse now; see guard.Next.
func (n *Node) NextWork(now time.Duration) (id uint64, d guard.Decision, ok bool) {
	return n.guard.Next(now)
}

// ExpireWork returns the waiting requests that are given up.
func (n *Node) ExpireWork(now time.Duration) []uint64 { return n.guard.Expire(now) }

// WorkDone takes the end of a request at the own upstream. took is its time
// there.
func (n *Node) WorkDone(now time.Duration, w Work, took time.Duration, end RunEnd) {
	n.guard.Done(w.ID)
	n.endRun(w, took, end)
	delete(n.working, w.Name)
	n.usage.ended(now, w.Rank.Root)
}

// WorkRefused takes the end of a request that the own upstream did not get.
func (n *Node) WorkRefused(w Work) {
	n.guard.Withdraw(w.ID)
	n.guard.Done(w.ID)
	delete(n.working, w.Name)
}
