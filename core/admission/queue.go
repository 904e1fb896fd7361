package admission

import (
	"cmp"
	"slices"
	"time"
)

// queue holds the waiting calls in the order in which they are to run: by rank,
// then by depth with the deepest first, then by arrival.
type queue struct {
	requests     []Request
	lastSequence uint64
}

func compareRequests(a, b Request) int {
	return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(b.Depth, a.Depth), cmp.Compare(a.sequence, b.sequence))
}

func (q *queue) len() int { return len(q.requests) }

// push inserts req at its place in the order.
func (q *queue) push(req Request) {
	q.lastSequence++
	req.sequence = q.lastSequence
	at, _ := slices.BinarySearchFunc(q.requests, req, compareRequests)
	q.requests = slices.Insert(q.requests, at, req)
}

// popFirst removes the call that is to run first, and returns it.
func (q *queue) popFirst() Request {
	req := q.requests[0]
	q.requests = slices.Delete(q.requests, 0, 1)
	return req
}

// popLast removes the call that is to run last, and returns it.
func (q *queue) popLast() Request {
	req := q.requests[len(q.requests)-1]
	q.requests = q.requests[:len(q.requests)-1]
	return req
}

func (q *queue) first() Request { return q.requests[0] }

func (q *queue) last() Request { return q.requests[len(q.requests)-1] }

func (q *queue) remove(id uint64) {
	q.requests = slices.DeleteFunc(q.requests, func(r Request) bool { return r.ID == id })
}

// removeExpired removes and returns the calls that have waited for longer than
// maxTime or whose deadline has passed.
func (q *queue) removeExpired(now, maxTime time.Duration) []Request {
	var expired []Request
	q.requests = slices.DeleteFunc(q.requests, func(r Request) bool {
		if now-r.queuedAt <= maxTime && r.Deadline > now {
			return false
		}
		expired = append(expired, r)
		return true
	})
	return expired
}
