// Package memory bounds the memory that the bodies of requests and responses take at a node, over
// all connections.
package memory

import (
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrExhausted means that the budget has too little left.
var ErrExhausted = errors.New("no memory left for the body")

const (
	// requestShare is the share of the budget that requests may take. The rest is left to
	// responses: without it requests could take all memory and none could be answered.
	requestShare = 0.6
	// groupShare is the share of what requests may take that is open to those of one group.
	groupShare = 0.75
	// smallShare is the share of the budget up to which a body counts as small.
	smallShare = 1.0 / 32
)

// Budget is a number of bytes that leases share. Its methods may be called from any
// goroutine.
type Budget struct {
	limit int

	mu sync.Mutex
	// used is held by all leases, requests by those of requests, and byGroup by those of the
	// requests of each group.
	used, requests int
	byGroup        map[string]int
	// waiting holds the leases that wait, the most important first, and of these the one that
	// has waited longest.
	waiting []*waiter
}

// waiter is a lease that waits for n bytes. granted is closed once it has them.
type waiter struct {
	lease   *Lease
	n       int
	granted chan struct{}
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int) *Budget { return &Budget{limit: limit, byGroup: map[string]int{}} }

// Limit returns the number of bytes that all leases together may hold.
func (b *Budget) Limit() int { return b.limit }

// Used returns the number of bytes that all leases hold.
func (b *Budget) Used() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// UsedByRequests returns the number of bytes that the leases of requests hold.
func (b *Budget) UsedByRequests() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.requests
}

// Waiting returns the number of leases that wait.
func (b *Budget) Waiting() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.waiting)
}

// requestLimit returns the number of bytes that requests may take, and groupLimit that of one
// group of them.
func (b *Budget) requestLimit() int { return int(requestShare * float64(b.limit)) }

func (b *Budget) groupLimit() int { return int(groupShare * float64(b.requestLimit())) }

// everFits reports whether a lease could take n bytes if no other held any. The caller holds
// b.mu, as for the functions below.
func (b *Budget) everFits(l *Lease, n int) bool {
	if !l.isRequest {
		return n <= b.limit
	}
	return n <= b.requestLimit()
}

// fits reports whether a lease may take n bytes now. A group may exceed its share while no
// other group holds any.
func (b *Budget) fits(l *Lease, n int) bool {
	if b.used+n > b.limit {
		return false
	}
	if !l.isRequest {
		return true
	}
	alone := b.byGroup[l.group] == b.requests
	return b.requests+n <= b.requestLimit() && (alone || b.byGroup[l.group]+n <= b.groupLimit())
}

func (b *Budget) take(l *Lease, n int) {
	b.used += n
	l.held += n
	if l.isRequest {
		b.requests += n
		b.byGroup[l.group] += n
	}
}

func (b *Budget) release(l *Lease) {
	b.used -= l.held
	if l.isRequest {
		b.requests -= l.held
		b.byGroup[l.group] -= l.held
		if b.byGroup[l.group] == 0 {
			delete(b.byGroup, l.group)
		}
	}
	l.held = 0
	b.grant()
}

// grant gives memory to the leases that wait. One that does not fit lets others by.
func (b *Budget) grant() {
	b.waiting = slices.DeleteFunc(b.waiting, func(w *waiter) bool {
		if !b.fits(w.lease, w.n) {
			return false
		}
		b.take(w.lease, w.n)
		close(w.granted)
		return true
	})
}

// enqueue adds a waiter behind those that are as important.
func (b *Budget) enqueue(w *waiter) {
	i := len(b.waiting)
	for i > 0 && w.lease.precedes(b.waiting[i-1].lease) {
		i--
	}
	b.waiting = slices.Insert(b.waiting, i, w)
}

// Lease is the memory of the bodies of one request or response. Its methods may be called from
// any goroutine. The nil Lease is not limited.
type Lease struct {
	budget    *Budget
	isRequest bool
	group     string
	priority  int
	// held is guarded by the mutex of the budget.
	held int
}

// NewLease returns a lease of a response that holds nothing.
func (b *Budget) NewLease() *Lease { return &Lease{budget: b} }

// NewRequestLease returns a lease of a request that holds nothing. Leases of the lowest priority
// get memory first, and those of responses before them. No group takes all memory from others.
func (b *Budget) NewRequestLease(group string, priority int) *Lease {
	return &Lease{budget: b, isRequest: true, group: group, priority: priority}
}

// precedes reports whether the lease gets memory before another one.
func (l *Lease) precedes(other *Lease) bool {
	if l.isRequest != other.isRequest {
		return other.isRequest
	}
	return l.isRequest && l.priority < other.priority
}

// Grow takes n more bytes at once, or fails with ErrExhausted.
func (l *Lease) Grow(n int) error { return l.Wait(n, time.Time{}) }

// Wait is Grow, but waits for memory until a time. A lease that holds memory does not wait, so
// that leases do not wait for each other.
func (l *Lease) Wait(n int, until time.Time) error {
	if l == nil || n <= 0 {
		return nil
	}
	b := l.budget
	b.mu.Lock()
	if b.fits(l, n) && (l.held > 0 || !b.mustQueue(l, n)) {
		b.take(l, n)
		b.mu.Unlock()
		return nil
	}
	remaining := time.Until(until)
	if l.held > 0 || remaining <= 0 || !b.everFits(l, n) {
		b.mu.Unlock()
		return ErrExhausted
	}
	w := &waiter{lease: l, n: n, granted: make(chan struct{})}
	b.enqueue(w)
	b.mu.Unlock()
	timer := time.NewTimer(remaining)
	defer timer.Stop()
	select {
	case <-w.granted:
		return nil
	case <-timer.C:
	}
	return b.giveUp(w)
}

// mustQueue reports whether a lease has to wait for n bytes because a more important one waits.
// Small bodies do not, so that a large one does not hold them up.
func (b *Budget) mustQueue(l *Lease, n int) bool {
	return len(b.waiting) > 0 && b.waiting[0].lease.precedes(l) && n > int(smallShare*float64(b.limit))
}

// giveUp ends a wait, unless memory was granted just now.
func (b *Budget) giveUp(w *waiter) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-w.granted:
		return nil
	default:
	}
	b.waiting = slices.DeleteFunc(b.waiting, func(other *waiter) bool { return other == w })
	b.grant()
	return ErrExhausted
}

// Release returns all memory of the lease, which may be used again.
func (l *Lease) Release() {
	if l == nil {
		return
	}
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	l.budget.release(l)
}
