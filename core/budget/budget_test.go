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

// simulateTree simulates a call tree of random shape in which answers are lost at
// random, and returns the number of retries made in it.
func simulateTree(t *rapid.T, pool *budget.Pool, depth int) int {
	retries := 0
	for range rapid.IntRange(0, 3).Draw(t, "retries") {
		if pool.Spend() {
			retries++
		}
	}
	if depth == 0 {
		return retries
	}
	loans := []int{}
	for range rapid.IntRange(0, 3).Draw(t, "children") {
		loans = append(loans, lendRandomly(t, pool))
	}
	for _, loan := range loans {
		child := budget.NewPool(loan)
		retries += simulateTree(t, &child, depth-1)
		if !child.Conserved() {
			t.Fatalf("the pool of a call that was lent %d tokens is not conserved", loan)
		}
		if rapid.Bool().Draw(t, "answered") {
			pool.Return(loan, child.Available())
		} else {
			pool.Return(loan, 0)
		}
	}
	return retries
}

// lendRandomly lends tokens by a random method and returns their number.
func lendRandomly(t *rapid.T, pool *budget.Pool) int {
	switch rapid.IntRange(0, 2).Draw(t, "lend") {
	case 0:
		return pool.LendAll()
	case 1:
		return pool.LendShare(rapid.IntRange(0, 4).Draw(t, "calls"), rapid.IntRange(0, 5).Draw(t, "need"))
	}
	return pool.LendForSubtree(rapid.IntRange(1, 5).Draw(t, "size"))
}

func TestRetriesInTreeAreBoundedByInitialTokens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tokens := rapid.IntRange(0, 12).Draw(t, "tokens")
		pool := budget.NewPool(tokens)
		retries := simulateTree(t, &pool, rapid.IntRange(0, 4).Draw(t, "depth"))
		if retries+pool.Available() > tokens || !pool.Conserved() {
			t.Fatalf("%d retries and %d tokens left, want at most %d together", retries, pool.Available(), tokens)
		}
	})
}

func TestRetryLimiterBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := budget.DefaultRetryLimits
		r := budget.NewRetryLimiter(cfg, 0)
		now, firstAttempts, retries := time.Duration(0), 0, 0
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond
			if rapid.Bool().Draw(t, "first") {
				firstAttempts++
				r.RecordFirstAttempt()
			} else if r.TakeRetry(now) {
				retries++
			}
		}
		maxRetries := cfg.RetriesPerFirstAttempt*float64(firstAttempts) + cfg.RetriesPerSecond*now.Seconds() + cfg.Burst
		if float64(retries) > maxRetries {
			t.Fatalf("%d retries for %d first attempts in %v, want at most %.1f", retries, firstAttempts, now, maxRetries)
		}
	})
}

// TestResendsShareOneBudget checks that the calls of one request, also concurrent
// ones, spend no more tokens together than the request has.
func TestResendsShareOneBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budgets := budget.NewKeyedBudgets(2)
		spent, openCalls := 0, []budget.Pool{}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			if len(openCalls) == 0 || rapid.Bool().Draw(t, "arrives") {
				grant := budgets.Acquire(0, budget.RequestKey{Key: "key"}, 3, time.Second)
				openCalls = append(openCalls, budget.NewPool(grant.Tokens))
				continue
			}
			pool := openCalls[0]
			openCalls = openCalls[1:]
			if pool.Spend() {
				spent++
			}
			budgets.Release(budget.RequestKey{Key: "key"}, pool.Available(), true, true)
		}
		if spent > 3 {
			t.Fatalf("the calls of one request spent %d tokens, want at most 3", spent)
		}
	})
}

// TestNewKeyIsTrackedOnceAnotherExpires checks that a new key is not tracked while
// the number of keys is at its limit, and is tracked once the existing one expired.
func TestNewKeyIsTrackedOnceAnotherExpires(t *testing.T) {
	budgets := budget.NewKeyedBudgets(1)
	budgets.Acquire(0, budget.RequestKey{Key: "a"}, 2, time.Second)
	if budgets.Acquire(0, budget.RequestKey{Key: "b"}, 2, time.Second).Tracked {
		t.Fatal("a second key is tracked above the limit of one")
	}
	budgets.Release(budget.RequestKey{Key: "a"}, 0, true, false)
	if grant := budgets.Acquire(0, budget.RequestKey{Key: "a"}, 2, time.Second); grant.Tokens != 0 || !grant.Attempted || grant.MayHaveRun {
		t.Fatalf("a resend got %+v, want no tokens, Attempted and not MayHaveRun", grant)
	}
	budgets.Release(budget.RequestKey{Key: "a"}, 0, true, false)
	if grant := budgets.Acquire(2*time.Second, budget.RequestKey{Key: "b"}, 2, 3*time.Second); grant.Tokens != 2 || !grant.Tracked || budgets.Len() != 1 {
		t.Fatalf("after the first key expired, another got %+v and %d keys are tracked, want 2 tokens, Tracked and 1 key", grant, budgets.Len())
	}
}
