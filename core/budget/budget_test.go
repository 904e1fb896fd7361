package budget_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/shallotspool/shallotspool/core/budget"
	"github.com/shallotspool/shallotspool/core/fixedseed"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) { fixedseed.Run(m) }

// run plays a call tree of random shape, whose answers get lost at random, and
// returns the retries made in it.
func run(t *rapid.T, pool *budget.Pool, depth int) int {
	made := 0
	for range rapid.IntRange(0, 3).Draw(t, "retries") {
		if pool.Spend() {
			made++
		}
	}
	if depth == 0 {
		return made
	}
	loans := []int{}
	for range rapid.IntRange(0, 3).Draw(t, "children") {
		loans = append(loans, lend(t, pool))
	}
	for _, loan := range loans {
		child := budget.NewPool(loan)
		made += run(t, &child, depth-1)
		if !child.Conserved() {
			t.Fatalf("child of a loan of %d is not conserved", loan)
		}
		if rapid.Bool().Draw(t, "answered") {
			pool.Return(loan, child.Free())
		} else {
			pool.Return(loan, 0)
		}
	}
	return made
}

func lend(t *rapid.T, pool *budget.Pool) int {
	switch rapid.IntRange(0, 2).Draw(t, "lend") {
	case 0:
		return pool.LendAll()
	case 1:
		return pool.LendShare(rapid.IntRange(0, 4).Draw(t, "calls"), rapid.IntRange(0, 5).Draw(t, "need"))
	}
	return pool.LendFor(rapid.IntRange(1, 5).Draw(t, "size"))
}

func TestTreeNeverSpendsMoreThanItsRootWasGiven(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tokens := rapid.IntRange(0, 12).Draw(t, "tokens")
		pool := budget.NewPool(tokens)
		made := run(t, &pool, rapid.IntRange(0, 4).Draw(t, "depth"))
		if made+pool.Free() > tokens || !pool.Conserved() {
			t.Fatalf("%d retries and %d left of %d tokens", made, pool.Free(), tokens)
		}
	})
}

func TestRatioBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := budget.DefaultRatio
		r := budget.NewRatio(cfg, 0)
		now, firsts, retries := time.Duration(0), 0, 0
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond
			if rapid.Bool().Draw(t, "first") {
				firsts++
				r.First()
			} else if r.Retry(now) {
				retries++
			}
		}
		most := cfg.Share*float64(firsts) + cfg.PerSecond*now.Seconds() + cfg.Burst
		if float64(retries) > most {
			t.Fatalf("%d retries of %d first attempts in %v, more than %.1f", retries, firsts, now, most)
		}
	})
}

func TestResendsDrawOnOneAllotment(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := budget.NewMemory(2)
		spent, open := 0, []budget.Pool{}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			if len(open) == 0 || rapid.Bool().Draw(t, "arrives") {
				d := m.Draw(0, budget.RequestKey{Key: "key"}, 3, time.Second)
				open = append(open, budget.NewPool(d.Tokens))
				continue
			}
			pool := open[0]
			open = open[1:]
			if pool.Spend() {
				spent++
			}
			m.Settle(budget.RequestKey{Key: "key"}, pool.Free(), true, true)
		}
		if spent > 3 {
			t.Fatalf("resends spent %d of 3 tokens", spent)
		}
	})
}

func TestMemoryKeepsOldKeysAndForgetsThem(t *testing.T) {
	m := budget.NewMemory(1)
	m.Draw(0, budget.RequestKey{Key: "a"}, 2, time.Second)
	if m.Draw(0, budget.RequestKey{Key: "b"}, 2, time.Second).Kept {
		t.Fatal("a full memory took another key")
	}
	m.Settle(budget.RequestKey{Key: "a"}, 0, true, false)
	if d := m.Draw(0, budget.RequestKey{Key: "a"}, 2, time.Second); d.Tokens != 0 || !d.Again || d.Rerun {
		t.Fatalf("a resend drew %+v", d)
	}
	m.Settle(budget.RequestKey{Key: "a"}, 0, true, false)
	if d := m.Draw(2*time.Second, budget.RequestKey{Key: "b"}, 2, 3*time.Second); d.Tokens != 2 || !d.Kept || m.Len() != 1 {
		t.Fatalf("after the old key expired another drew %+v", d)
	}
}
