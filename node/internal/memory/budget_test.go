package memory_test

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"github.com/shallotspool/shallotspool/core/fixedseed"
	"github.com/shallotspool/shallotspool/node/internal/memory"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) { fixedseed.Run(m) }

// wait starts to wait for memory and returns a channel with the result.
func wait(l *memory.Lease, n int) chan error {
	result := make(chan error, 1)
	go func() { result <- l.Wait(n, time.Now().Add(30*time.Second)) }()
	return result
}

// mustGrow takes memory at once.
func mustGrow(t *testing.T, l *memory.Lease, n int) *memory.Lease {
	t.Helper()
	if err := l.Grow(n); err != nil {
		t.Fatalf("%d bytes are not granted: %v", n, err)
	}
	return l
}

// TestRequestsLeaveMemoryToResponses guards against requests that take all memory, so that no
// response can be read and none of them ends.
func TestRequestsLeaveMemoryToResponses(t *testing.T) {
	b := memory.NewBudget(1000)
	mustGrow(t, b.NewRequestLease("a", 0), 600)
	if err := b.NewRequestLease("b", 0).Grow(1); !errors.Is(err, memory.ErrExhausted) {
		t.Errorf("requests took more than 600 of 1,000 bytes: error %v", err)
	}
	mustGrow(t, b.NewLease(), 400)
	if b.Used() != 1000 || b.UsedByRequests() != 600 {
		t.Errorf("%d bytes are used, %d by requests, want 1,000 and 600", b.Used(), b.UsedByRequests())
	}
}

// TestOneGroupLeavesMemoryToOthers guards against the requests of one route or node that take
// the memory from those of all others.
func TestOneGroupLeavesMemoryToOthers(t *testing.T) {
	b := memory.NewBudget(1000)
	mustGrow(t, b.NewRequestLease("a", 0), 440)
	mustGrow(t, b.NewRequestLease("b", 0), 10)
	if err := b.NewRequestLease("a", 0).Grow(20); !errors.Is(err, memory.ErrExhausted) {
		t.Errorf("a group took more than 450 bytes beside another one: error %v", err)
	}
	mustGrow(t, b.NewRequestLease("b", 0), 140)
}

// TestMoreImportantRequestsGetMemoryFirst guards against less important requests that take the
// memory for which more important ones wait.
func TestMoreImportantRequestsGetMemoryFirst(t *testing.T) {
	b := memory.NewBudget(1000)
	held := mustGrow(t, b.NewRequestLease("a", 0), 600)
	unimportant, important := b.NewRequestLease("b", 5), b.NewRequestLease("c", 1)
	second := wait(unimportant, 500)
	for b.Waiting() < 1 {
		time.Sleep(time.Millisecond)
	}
	first := wait(important, 500)
	for b.Waiting() < 2 {
		time.Sleep(time.Millisecond)
	}
	if err := b.NewRequestLease("d", 3).Grow(100); !errors.Is(err, memory.ErrExhausted) {
		t.Errorf("a request of middling importance did not wait: error %v", err)
	}
	held.Release()
	if err := <-first; err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-second:
		t.Fatalf("the unimportant request did not wait: error %v", err)
	default:
	}
	// A small body does not wait for a large one.
	mustGrow(t, b.NewRequestLease("d", 9), 30).Release()
	important.Release()
	if err := <-second; err != nil {
		t.Fatal(err)
	}
}

// TestWaitEnds guards against a request that waits for memory it can never get, or for longer
// than its sender.
func TestWaitEnds(t *testing.T) {
	b := memory.NewBudget(1000)
	if err := <-wait(b.NewRequestLease("a", 0), 700); !errors.Is(err, memory.ErrExhausted) {
		t.Errorf("error %v for more than all memory, want ErrExhausted at once", err)
	}
	holder := mustGrow(t, b.NewRequestLease("a", 0), 600)
	if err := <-wait(holder, 1); !errors.Is(err, memory.ErrExhausted) {
		t.Errorf("error %v for a lease that holds memory, want ErrExhausted at once", err)
	}
	if err := b.NewRequestLease("a", 0).Wait(300, time.Now().Add(10*time.Millisecond)); !errors.Is(err, memory.ErrExhausted) {
		t.Errorf("error %v after the wait, want ErrExhausted", err)
	}
	if b.Waiting() != 0 {
		t.Errorf("%d leases still wait, want none", b.Waiting())
	}
}

// TestBudgetHolds checks that leases never hold more than the budget, whatever they take and
// release, and that nothing stays taken.
func TestBudgetHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 1000
		b := memory.NewBudget(limit)
		var leases []*memory.Lease
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(leases) > 0 && rapid.Bool().Draw(t, "release") {
				leases[rapid.IntRange(0, len(leases)-1).Draw(t, "which")].Release()
			} else {
				l := b.NewLease()
				if rapid.Bool().Draw(t, "request") {
					l = b.NewRequestLease(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "group"), rapid.IntRange(0, 3).Draw(t, "priority"))
				}
				_ = l.Grow(rapid.IntRange(0, limit).Draw(t, "bytes"))
				leases = append(leases, l)
			}
			if b.Used() > limit || b.Used() < 0 || b.UsedByRequests() > 600 || b.UsedByRequests() > b.Used() {
				t.Fatalf("%d bytes used, %d by requests", b.Used(), b.UsedByRequests())
			}
		}
		for _, l := range leases {
			l.Release()
		}
		if b.Used() != 0 || b.UsedByRequests() != 0 {
			t.Fatalf("%d bytes stay taken, %d by requests", b.Used(), b.UsedByRequests())
		}
	})
}
