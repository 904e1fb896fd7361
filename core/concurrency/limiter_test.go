package concurrency_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/shallotspool/shallotspool/core/concurrency"
)

const second = time.Second

// newRequest returns a request that entered the system at enteredAt and has its
// deadline at 10 s.
func newRequest(id uint64, priority int, enteredAt time.Duration) concurrency.Request {
	return concurrency.Request{ID: id, Priority: priority, EnteredAt: enteredAt, Deadline: 10 * second}
}

func TestQueueOrdersByPriorityThenAge(t *testing.T) {
	l := concurrency.New()
	l.SetLimit(1)
	if d := l.Offer(0, newRequest(1, 5, 0)); d != concurrency.Admit {
		t.Fatalf("decision %d for request 1, want Admit", d)
	}
	for _, req := range []concurrency.Request{newRequest(2, 2, 3), newRequest(3, 0, 9), newRequest(4, 2, 1), newRequest(5, 0, 8)} {
		if d := l.Offer(0, req); d != concurrency.Enqueue {
			t.Fatalf("decision %d for request %d, want Enqueue", d, req.ID)
		}
	}
	running := uint64(1)
	for _, want := range []uint64{5, 3, 4, 2} {
		l.Done(running)
		id, d, ok := l.NextDecision(0)
		if !ok || d != concurrency.Admit || id != want {
			t.Fatalf("next is request %d, decision %d, ok %v; want request %d to run", id, d, ok, want)
		}
		running = id
	}
}

func TestRefusesRequestsThatMissTheirDeadline(t *testing.T) {
	l := concurrency.New()
	l.SetLimit(1)
	tooLong := newRequest(1, 0, 0)
	tooLong.ExpectedRunTime = 11 * second
	if d := l.Offer(0, tooLong); d != concurrency.Refuse {
		t.Fatalf("decision %d for a run of 11 s with 10 s left, want Refuse", d)
	}
	l.Offer(0, newRequest(2, 0, 0))
	waiting := newRequest(3, 0, 0)
	waiting.ExpectedRunTime = second
	l.Offer(0, waiting)
	if got := l.RemoveExpired(9 * second); len(got) != 0 {
		t.Fatalf("expired %v at 9 s, want none", got)
	}
	if got := l.RemoveExpired(9*second + 1); len(got) != 1 || got[0] != 3 {
		t.Fatalf("expired %v just after 9 s, want request 3", got)
	}
}

// TestLimiterInvariants applies random operations. No more requests than the limit may
// run, only requests that wait may be returned, each once, and the reported counts must
// match.
func TestLimiterInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := concurrency.New()
		limit := rapid.IntRange(1, 5).Draw(t, "limit")
		l.SetLimit(limit)
		waiting, running := map[uint64]bool{}, []uint64{}
		now, lastID := time.Duration(0), uint64(0)
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond
			switch {
			case rapid.Bool().Draw(t, "offer"):
				lastID++
				req := newRequest(lastID, rapid.IntRange(0, 2).Draw(t, "priority"), now)
				req.Deadline = now + time.Duration(rapid.IntRange(0, 2000).Draw(t, "left"))*time.Millisecond
				switch l.Offer(now, req) {
				case concurrency.Admit:
					running = append(running, req.ID)
				case concurrency.Enqueue:
					waiting[req.ID] = true
				}
			case len(running) > 0:
				l.Done(running[0])
				running = running[1:]
			}
			for id, d, ok := l.NextDecision(now); ok; id, d, ok = l.NextDecision(now) {
				if !waiting[id] {
					t.Fatalf("request %d was returned but does not wait", id)
				}
				delete(waiting, id)
				if d == concurrency.Admit {
					running = append(running, id)
				}
			}
			if len(running) > limit || l.Running() != len(running) || l.Queued() != len(waiting) {
				t.Fatalf("%d requests run (limit %d) and %d wait, but %d and %d are reported", len(running), limit, len(waiting), l.Running(), l.Queued())
			}
		}
	})
}

// TestClosingRefusesWhatCannotEnd guards against requests that start, or go on waiting, at an upstream
// that gets no more, or at a node that stops before they end.
func TestClosingRefusesWhatCannotEnd(t *testing.T) {
	l := concurrency.New()
	l.SetLimit(1)
	offer := func(now time.Duration, id uint64, longest time.Duration) concurrency.Decision {
		return l.Offer(now, concurrency.Request{ID: id, Deadline: time.Hour, LongestRunTime: longest})
	}
	if d := offer(0, 1, second); d != concurrency.Admit {
		t.Fatalf("got decision %v for the first request, want Admit", d)
	}
	if d := offer(0, 2, second); d != concurrency.Enqueue {
		t.Fatalf("got decision %v for the second request, want Enqueue", d)
	}
	offer(0, 3, 4*second)
	l.SetClosing(&concurrency.Closing{LastStart: 3 * second, End: 5 * second})
	if got := l.RemoveExpired(2 * second); len(got) != 1 || got[0] != 3 {
		t.Errorf("%v do not wait any more, want the one that may take too long", got)
	}
	if d := offer(2*second, 4, 4*second); d != concurrency.Refuse {
		t.Errorf("got decision %v for a request that may end too late, want Refuse", d)
	}
	l.Done(1)
	if id, d, ok := l.NextDecision(2 * second); !ok || id != 2 || d != concurrency.Admit {
		t.Errorf("got request %d, decision %v, %v; want request 2 admitted", id, d, ok)
	}
	if d := offer(2*second, 5, second); d != concurrency.Enqueue || l.Closed(2*second) {
		t.Errorf("got decision %v before the last start, want Enqueue", d)
	}
	l.Done(2)
	if id, d, ok := l.NextDecision(3 * second); !ok || id != 5 || d != concurrency.Refuse || !l.Closed(3*second) {
		t.Errorf("got request %d, decision %v, %v after the last start; want request 5 refused", id, d, ok)
	}
	l.SetClosing(nil)
	if d := offer(4*second, 6, 4*second); d != concurrency.Admit {
		t.Errorf("got decision %v after the closing ended, want Admit", d)
	}
}
