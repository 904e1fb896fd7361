// Package guard decides which requests a node hands to its own upstream, which
// wait and which are refused. It never gives the upstream more than it works on
// at once, so that what waits does so where its order and deadlines hold. A
// Guard is not safe for concurrent use.
package guard

import (
	"container/heap"
	"slices"
	"time"
)

// Item is one request that asks to run.
type Item struct {
	ID uint64
	// Priority is the priority of the request that a caller sent, of which this
	// one is a part; 0 is the most important.
	Priority int
	// Since is when that request entered the system.
	Since time.Duration
	// Deadline is when its sender gives it up, and Need how long it is expected
	// to run.
	Deadline time.Duration
	Need     time.Duration

	index int
}

// Decision is what becomes of an offered item.
type Decision uint8

// The decisions.
const (
	Run Decision = iota + 1
	Wait
	Refuse
)

// maxQueue bounds the items that wait; from the 284 MB of an instance and some
// kilobytes a request.
const maxQueue = 4096

// Guard keeps the upstream within its limit.
type Guard struct {
	limit   int
	running map[uint64]struct{}
	queue   queue
	byID    map[uint64]*Item
}

// New returns a Guard that runs nothing until SetLimit.
func New() *Guard { return &Guard{running: map[uint64]struct{}{}, byID: map[uint64]*Item{}} }

// SetLimit sets the number of requests that may run at once.
func (g *Guard) SetLimit(n int) { g.limit = n }

// Limit returns that number.
func (g *Guard) Limit() int { return g.limit }

// Running and Queued return the number of requests that run and that wait.
func (g *Guard) Running() int { return len(g.running) }

// Queued returns the number of requests that wait.
func (g *Guard) Queued() int { return g.queue.Len() }

// Offer decides on a new item. One that waits is told by Next later; one that is
// refused is forgotten.
func (g *Guard) Offer(now time.Duration, item Item) Decision {
	if item.Deadline-now < item.Need {
		return Refuse
	}
	if len(g.running) < g.limit && g.queue.Len() == 0 {
		g.running[item.ID] = struct{}{}
		return Run
	}
	if g.queue.Len() >= maxQueue {
		return Refuse
	}
	g.byID[item.ID] = &item
	heap.Push(&g.queue, &item)
	return Wait
}

// Next returns the waiting item to run or refuse now; ok is false when there is
// none. It is called until ok is false after each Offer, Done, SetLimit and on
// each tick.
func (g *Guard) Next(now time.Duration) (id uint64, d Decision, ok bool) {
	if g.queue.Len() == 0 {
		return 0, 0, false
	}
	best := g.queue[0]
	hopeless := best.expired(now)
	if !hopeless && len(g.running) >= g.limit {
		return 0, 0, false
	}
	heap.Pop(&g.queue)
	delete(g.byID, best.ID)
	if hopeless {
		return best.ID, Refuse, true
	}
	g.running[best.ID] = struct{}{}
	return best.ID, Run, true
}

// Expire returns the waiting items that cannot be answered in time any more, and
// forgets them.
func (g *Guard) Expire(now time.Duration) []uint64 {
	var out []uint64
	for id, item := range g.byID {
		if item.expired(now) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	for _, id := range out {
		g.Withdraw(id)
	}
	return out
}

// expired tells whether the item is better refused than run.
func (i *Item) expired(now time.Duration) bool {
	return i.Deadline-now < i.Need
}

// Withdraw removes a waiting item, if there is such an item.
func (g *Guard) Withdraw(id uint64) {
	if item := g.byID[id]; item != nil {
		heap.Remove(&g.queue, item.index)
		delete(g.byID, id)
	}
}

// Done frees the place of a running item.
func (g *Guard) Done(id uint64) { delete(g.running, id) }

// queue is a heap with the best item first.
type queue []*Item

// Len implements heap.Interface.
func (q queue) Len() int { return len(q) }

// Less puts the more important item first, and of equals the one whose request
// has been in the system for longest.
func (q queue) Less(i, j int) bool {
	if q[i].Priority != q[j].Priority {
		return q[i].Priority < q[j].Priority
	}
	if q[i].Since != q[j].Since {
		return q[i].Since < q[j].Since
	}
	return q[i].ID < q[j].ID
}

// Swap implements heap.Interface.
func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	item := x.(*Item)
	item.index = len(*q)
	*q = append(*q, item)
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return last
}
