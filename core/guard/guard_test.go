package guard_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/shallotspool/shallotspool/core/guard"
)

const second = time.Second

func item(id uint64, priority int, since time.Duration) guard.Item {
	return guard.Item{ID: id, Priority: priority, Since: since, Deadline: 10 * second}
}

func TestImportantFirstThenOldest(t *testing.T) {
	g := guard.New()
	g.SetLimit(1)
	if d := g.Offer(0, item(1, 5, 0)); d != guard.Run {
		t.Fatalf("decision %d", d)
	}
	for _, i := range []guard.Item{item(2, 2, 3), item(3, 0, 9), item(4, 2, 1), item(5, 0, 8)} {
		if d := g.Offer(0, i); d != guard.Wait {
			t.Fatalf("decision %d for %d", d, i.ID)
		}
	}
	running := uint64(1)
	for _, want := range []uint64{5, 3, 4, 2} {
		g.Done(running)
		id, d, ok := g.Next(0)
		if !ok || d != guard.Run || id != want {
			t.Fatalf("next %d %d %v, want %d", id, d, ok, want)
		}
		running = id
	}
}

func TestRefusesWhatCannotBeAnswered(t *testing.T) {
	g := guard.New()
	g.SetLimit(1)
	late := item(1, 0, 0)
	late.Need = 11 * second
	if d := g.Offer(0, late); d != guard.Refuse {
		t.Fatalf("decision %d", d)
	}
	g.Offer(0, item(2, 0, 0))
	waits := item(3, 0, 0)
	waits.Need = second
	g.Offer(0, waits)
	if got := g.Expire(9 * second); len(got) != 0 {
		t.Fatalf("expired %v", got)
	}
	if got := g.Expire(9*second + 1); len(got) != 1 || got[0] != 3 {
		t.Fatalf("expired %v", got)
	}
}

// TestLimitHolds: at any time no more run than the limit, each item is told
// once, and none is lost.
func TestLimitHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := guard.New()
		limit := rapid.IntRange(1, 5).Draw(t, "limit")
		g.SetLimit(limit)
		waiting, running := map[uint64]bool{}, []uint64{}
		now, next := time.Duration(0), uint64(0)
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond
			switch {
			case rapid.Bool().Draw(t, "offer"):
				next++
				i := item(next, rapid.IntRange(0, 2).Draw(t, "priority"), now)
				i.Deadline = now + time.Duration(rapid.IntRange(0, 2000).Draw(t, "left"))*time.Millisecond
				switch g.Offer(now, i) {
				case guard.Run:
					running = append(running, i.ID)
				case guard.Wait:
					waiting[i.ID] = true
				}
			case len(running) > 0:
				g.Done(running[0])
				running = running[1:]
			}
			for id, d, ok := g.Next(now); ok; id, d, ok = g.Next(now) {
				if !waiting[id] {
					t.Fatalf("%d told twice", id)
				}
				delete(waiting, id)
				if d == guard.Run {
					running = append(running, id)
				}
			}
			if len(running) > limit || g.Running() != len(running) || g.Queued() != len(waiting) {
				t.Fatalf("%d run, %d wait; guard says %d, %d", len(running), len(waiting), g.Running(), g.Queued())
			}
		}
	})
}
