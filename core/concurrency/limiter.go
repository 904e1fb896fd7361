// Package concurrency decides which requests a node passes to its own upstream, which
// wait in a queue and which are refused. It passes no more requests than the upstream
// can work on at once. The others wait in the queue of the node, which observes
// priorities and deadlines, and not inside the upstream.
package concurrency

import (
	"container/heap"
	"slices"
	"time"
)

// Request is one request that asks to be passed to the upstream.
type Request struct {
	ID uint64
	// Priority is the priority of the caller's request on whose behalf this one
	// was sent; 0 is the most important.
	Priority int
	// EnteredAt is when the caller's request entered the system.
	EnteredAt time.Duration
	// Deadline is when the sender stops waiting for the answer, and ExpectedRunTime the
	// time that the request is expected to run for.
	Deadline        time.Duration
	ExpectedRunTime time.Duration
	// LongestRunTime is the time that it may take; see Closing.
	LongestRunTime time.Duration

	heapIndex int
}

// Decision says whether an offered request is admitted, queued or refused.
type Decision uint8

// The decisions.
const (
	Admit Decision = iota + 1
	Enqueue
	Refuse
)

// maxQueue is the number of requests that may wait. At some kilobytes for each,
// a full queue fits into the 284 MB of memory of an instance.
const maxQueue = 4096

// Limiter limits the number of requests that run at once on one upstream and, while there
// is a rate limit, of those that start per second. It is not safe for concurrent use.
type Limiter struct {
	limit   int
	running map[uint64]struct{}
	queue   queue
	waiting map[uint64]*Request
	rate    rateLimit
	// closing bounds the time in which requests start and end, nil if it is not bounded.
	closing *Closing
}

// New returns a limiter with a limit of 0.
func New() *Limiter { return &Limiter{running: map[uint64]struct{}{}, waiting: map[uint64]*Request{}} }

// SetLimit sets the number of requests that may run at once.
func (l *Limiter) SetLimit(n int) { l.limit = n }

// Limit returns the number of requests that may run at once.
func (l *Limiter) Limit() int { return l.limit }

// Running returns the number of requests that run.
func (l *Limiter) Running() int { return len(l.running) }

// Queued returns the number of requests that wait.
func (l *Limiter) Queued() int { return l.queue.Len() }

// Offer decides on a new request. It keeps nothing of a refused one. A queued one is
// returned later by NextDecision or RemoveExpired, unless it is withdrawn.
func (l *Limiter) Offer(now time.Duration, req Request) Decision {
	if req.missesDeadline(now) || l.closesBefore(now, &req) {
		return Refuse
	}
	if len(l.running) < l.limit && l.queue.Len() == 0 && l.rate.allows(now) {
		l.start(req.ID)
		return Admit
	}
	if l.queue.Len() >= maxQueue || l.waitsTooLong(now, &req) {
		return Refuse
	}
	l.waiting[req.ID] = &req
	heap.Push(&l.queue, &req)
	return Enqueue
}

// NextDecision returns a waiting request that is to be started or refused now; ok
// is false when there is none. The caller repeats it until ok is false, after each
// Offer, Done and SetLimit and at each tick.
func (l *Limiter) NextDecision(now time.Duration) (id uint64, d Decision, ok bool) {
	if l.queue.Len() == 0 {
		return 0, 0, false
	}
	first := l.queue[0]
	late := first.missesDeadline(now) || l.closesBefore(now, first)
	if !late && (len(l.running) >= l.limit || !l.rate.allows(now)) {
		return 0, 0, false
	}
	heap.Pop(&l.queue)
	delete(l.waiting, first.ID)
	if late {
		return first.ID, Refuse, true
	}
	l.start(first.ID)
	return first.ID, Admit, true
}

func (l *Limiter) start(id uint64) {
	l.running[id] = struct{}{}
	l.rate.take()
}

// RemoveExpired removes and returns the waiting requests that cannot meet their
// deadline any more or would end too late, in the order of their identifiers.
func (l *Limiter) RemoveExpired(now time.Duration) []uint64 {
	var expired []uint64
	for id, req := range l.waiting {
		if req.missesDeadline(now) || l.closesBefore(now, req) {
			expired = append(expired, id)
		}
	}
	slices.Sort(expired)
	for _, id := range expired {
		l.Withdraw(id)
	}
	return expired
}

// missesDeadline reports whether the request cannot be answered before its
// deadline, even if it ran at once.
func (r *Request) missesDeadline(now time.Duration) bool {
	return r.Deadline-now < r.ExpectedRunTime
}

// Withdraw removes a request from the queue; it does nothing if the request does
// not wait.
func (l *Limiter) Withdraw(id uint64) {
	if req := l.waiting[id]; req != nil {
		heap.Remove(&l.queue, req.heapIndex)
		delete(l.waiting, id)
	}
}

// Done records the end of a running request, which frees its slot.
func (l *Limiter) Done(id uint64) { delete(l.running, id) }

// queue is a heap with the request that is to run first at its root.
type queue []*Request

// Len implements heap.Interface.
func (q queue) Len() int { return len(q) }

// Less orders by priority, then by the time at which the caller's request entered
// the system, with the oldest first, then by identifier.
func (q queue) Less(i, j int) bool {
	if q[i].Priority != q[j].Priority {
		return q[i].Priority < q[j].Priority
	}
	if q[i].EnteredAt != q[j].EnteredAt {
		return q[i].EnteredAt < q[j].EnteredAt
	}
	return q[i].ID < q[j].ID
}

// Swap implements heap.Interface.
func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].heapIndex, q[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	req := x.(*Request)
	req.heapIndex = len(*q)
	*q = append(*q, req)
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return last
}
