// Package memory bounds the memory that the bodies of responses take at a node, over all
// connections.
package memory

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrExhausted means that the budget has too little left.
var ErrExhausted = errors.New("no memory left for the body of a response")

// waitInterval is how often a lease that waits looks for memory.
const waitInterval = 5 * time.Millisecond

// Budget is a number of bytes that leases share. Its methods may be called from any
// goroutine.
type Budget struct {
	limit int

	mu   sync.Mutex
	used int
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int) *Budget { return &Budget{limit: limit} }

// Limit returns the number of bytes that all leases together may hold.
func (b *Budget) Limit() int { return b.limit }

// Used returns the number of bytes that all leases hold.
func (b *Budget) Used() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

func (b *Budget) take(n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+n > b.limit {
		return false
	}
	b.used += n
	return true
}

func (b *Budget) release(n int) {
	b.mu.Lock()
	b.used -= n
	b.mu.Unlock()
}

// Lease is the memory of one response. Its methods may be called from any goroutine. The nil
// Lease is not limited.
type Lease struct {
	budget *Budget

	mu   sync.Mutex
	held int
}

// NewLease returns a lease that holds nothing.
func (b *Budget) NewLease() *Lease { return &Lease{budget: b} }

// Grow takes n more bytes at once, or fails with ErrExhausted.
func (l *Lease) Grow(n int) error {
	if l == nil {
		return nil
	}
	if !l.budget.take(n) {
		return ErrExhausted
	}
	l.mu.Lock()
	l.held += n
	l.mu.Unlock()
	return nil
}

// Wait is Grow, but waits for memory until a time. Only a lease that holds nothing may wait,
// so that leases do not wait for each other.
func (l *Lease) Wait(n int, until time.Time) error {
	for {
		err := l.Grow(n)
		if err == nil || l.holds() || n > l.budget.limit || time.Now().After(until) {
			return err
		}
		time.Sleep(waitInterval)
	}
}

func (l *Lease) holds() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held > 0
}

// Release returns all memory of the lease, which may be used again.
func (l *Lease) Release() {
	if l == nil {
		return
	}
	l.mu.Lock()
	held := l.held
	l.held = 0
	l.mu.Unlock()
	l.budget.release(held)
}
