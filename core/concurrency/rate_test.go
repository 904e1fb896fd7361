package concurrency_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/shallotspool/shallotspool/core/concurrency"
)

// TestRateLimitHoldsInEveryWindow checks that in any 4 s no more requests start than one
// and a half times what the rate allows, and 5, whatever arrives, waits and ends.
func TestRateLimitHoldsInEveryWindow(t *testing.T) {
	const window = 4 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		l := concurrency.New()
		l.SetLimit(rapid.IntRange(1, 60).Draw(t, "limit"))
		perSecond := rapid.Float64Range(0, 50).Draw(t, "per second")
		l.SetRateLimit(0, perSecond)
		var starts []time.Duration
		now, id := time.Duration(0), uint64(0)
		for range 400 {
			now += time.Duration(rapid.IntRange(0, 60).Draw(t, "step")) * time.Millisecond
			for range rapid.IntRange(0, 5).Draw(t, "arrivals") {
				id++
				req := concurrency.Request{ID: id, Priority: rapid.IntRange(0, 2).Draw(t, "priority"), EnteredAt: now, Deadline: now + time.Second}
				if l.Offer(now, req) == concurrency.Admit {
					starts = append(starts, now)
				}
			}
			for _, decision, ok := l.NextDecision(now); ok; _, decision, ok = l.NextDecision(now) {
				if decision == concurrency.Admit {
					starts = append(starts, now)
				}
			}
			l.Done(uint64(rapid.IntRange(1, int(id)+1).Draw(t, "done")))
		}
		for i, from := range starts {
			count := 0
			for _, at := range starts[i:] {
				if at < from+window {
					count++
				}
			}
			if allowed := 1.5*perSecond*window.Seconds() + 5; float64(count) > allowed {
				t.Fatalf("%d requests started in the 4 s after %v, allowed %.1f", count, from, allowed)
			}
		}
	})
}

// TestLongWaitForRateIsRefused checks that a request that would wait long for the rate is
// refused at once, that a more important one still waits, and that nothing is bounded once
// the rate limit has ended.
func TestLongWaitForRateIsRefused(t *testing.T) {
	l := concurrency.New()
	l.SetLimit(50)
	l.SetRateLimit(0, 10)
	for id, want := range []concurrency.Decision{concurrency.Admit, concurrency.Enqueue, concurrency.Enqueue, concurrency.Refuse} {
		if got := l.Offer(0, newRequest(uint64(id+1), 2, 0)); got != want {
			t.Fatalf("decision %d for request %d, want %d", got, id+1, want)
		}
	}
	if got := l.Offer(0, newRequest(9, 0, 0)); got != concurrency.Enqueue {
		t.Fatalf("decision %d for a more important request, want Enqueue", got)
	}
	l.ClearRateLimit()
	for range 3 {
		if _, got, ok := l.NextDecision(0); !ok || got != concurrency.Admit {
			t.Fatalf("decision %d after the limit ended, want Admit", got)
		}
	}
}
