package suspect

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/shallotspool/shallotspool/core/fixedseed"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) { fixedseed.Run(m) }

// lastIncarnation numbers the tables of all tests.
var lastIncarnation int64

func newTable(instance string) *Table {
	lastIncarnation++
	return New(Config{Instance: instance, Incarnation: lastIncarnation, SuspectRetention: time.Minute, BlockedRetention: 10 * time.Minute, MaxRecords: 8, MaxCompletions: 4})
}

// merge passes the reports of one node to another, delayed.
func merge(now time.Duration, from, to *Table, delay time.Duration) {
	for _, r := range from.Reports(now) {
		if r.Crashes == 0 {
			to.MergeCompletion(now+delay, r.Fingerprint, r.Age)
		} else {
			to.MergeCrashes(now+delay, from.cfg.Instance, from.cfg.Incarnation, r)
		}
	}
}

// TestCrasherRunsAtFewUpstreams guards against a request that crashes upstreams again and
// again: nodes that exchange reports with delays, and restart, run it at most maxRuns times
// however long it is sent.
func TestCrasherRunsAtFewUpstreams(t *testing.T) {
	const step, maxRuns = time.Second, MaxCrashes + 3
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c"}
		var tables []*Table
		for _, name := range names {
			tables = append(tables, newTable(name))
		}
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		runs := 0
		for now := time.Hour; now < 2*time.Hour; now += step {
			i := random.IntN(len(names))
			if random.IntN(50) == 0 {
				tables[i] = newTable(names[i])
			} else if status := tables[i].Status(now, 1); status != Blocked {
				runs++
				tables[i].StartTrial(now, 1)
				tables[i].RecordCrash(now, now, 1)
			} else {
				tables[i].RecordArrival(now, 1)
			}
			for _, from := range tables {
				for _, to := range tables {
					if from != to {
						merge(now, from, to, time.Duration(random.IntN(300))*time.Millisecond)
					}
				}
			}
		}
		if runs > maxRuns {
			t.Fatalf("%d runs, want at most %d", runs, maxRuns)
		}
	})
}

// TestCompletionAfterCrashesClears guards against a harmless request that stays blocked
// although it completed after the crashes, in whatever order the news arrives.
func TestCompletionAfterCrashesClears(t *testing.T) {
	const now = time.Hour
	for _, completionFirst := range []bool{true, false} {
		a, b, c := newTable("a"), newTable("b"), newTable("c")
		a.RecordCrash(now, now, 1)
		b.RecordCrash(now, now, 1)
		news := []func(){
			func() { merge(now, a, c, 50*time.Millisecond); merge(now, b, c, 200*time.Millisecond) },
			func() { c.RecordCompletion(now+30*time.Millisecond, 1) },
		}
		if completionFirst {
			news[0], news[1] = news[1], news[0]
		}
		news[0]()
		news[1]()
		// Later reports tell the time of the crashes better.
		later := now + time.Second
		merge(later, a, c, 0)
		merge(later, b, c, 0)
		merge(later, c, a, 0)
		merge(later, c, b, 0)
		for _, table := range []*Table{a, b, c} {
			if status := table.Status(later, 1); status != Clear {
				t.Errorf("completion first %v: status %d at %s, want Clear", completionFirst, status, table.cfg.Instance)
			}
		}
	}
}

// TestCompletionBeforeCrashDoesNotClear guards against a request that begins to crash
// upstreams being let off because it completed before.
func TestCompletionBeforeCrashDoesNotClear(t *testing.T) {
	const now = time.Hour
	a, b := newTable("a"), newTable("b")
	a.RecordCompletion(now, 1)
	b.RecordCompletion(now, 1)
	a.RecordCrash(now+time.Second, now+time.Second, 1)
	b.RecordCrash(now+2*time.Second, now+2*time.Second, 1)
	merge(now+3*time.Second, a, b, 0)
	merge(now+3*time.Second, b, a, 0)
	if a.Status(now+3*time.Second, 1) != Blocked || b.Status(now+3*time.Second, 1) != Blocked {
		t.Error("not blocked after two crashes")
	}
}

// TestRunsOfOneCrashCountOnce guards against blocking a popular request because several of
// its runs ended with one crash.
func TestRunsOfOneCrashCountOnce(t *testing.T) {
	const now = time.Hour
	table := newTable("a")
	for i := range 5 {
		table.RecordCrash(now+time.Duration(i)*time.Millisecond, now-time.Second, 1)
	}
	if got := table.Crashes(1); got != 1 {
		t.Errorf("%d crashes, want 1", got)
	}
	table.RecordCrash(now+time.Minute, now+time.Second, 1)
	if got := table.Crashes(1); got != 2 {
		t.Errorf("%d crashes after a run that started later, want 2", got)
	}
}

// TestTrialThatDidNotRunIsRepeated guards against using up the trials of a request by runs
// that never started.
func TestTrialThatDidNotRunIsRepeated(t *testing.T) {
	table := newTable("a")
	table.RecordCrash(time.Hour, time.Hour, 1)
	table.RecordCrash(time.Hour, time.Hour, 1)
	now := time.Hour + trialDelays[0]
	for range 5 {
		if table.Status(now, 1) != OnTrial {
			t.Fatal("no trial, want one")
		}
		table.StartTrial(now, 1)
		if table.Status(now, 1) != Blocked {
			t.Fatal("a second trial beside the first")
		}
		table.EndTrial(1, false)
	}
	table.StartTrial(now, 1)
	table.EndTrial(1, true)
	if table.Status(now, 1) != Blocked {
		t.Error("not blocked after a trial without an answer")
	}
}

// TestTablesAreBounded checks the limits on records, former suspects and completions.
func TestTablesAreBounded(t *testing.T) {
	table := newTable("a")
	for f := range uint64(100) {
		table.RecordCompletion(time.Hour, f)
		table.RecordCrash(time.Hour, time.Hour, f)
		table.RecordCompletion(time.Hour, f)
		table.RecordCrash(time.Hour, time.Hour, f+1000)
	}
	if held, _ := table.Len(); held > 8 || len(table.cleared) > 8 || len(table.completions.at) > 4 || len(table.completions.order) > 4 {
		t.Errorf("%d records, %d cleared, %d completions; want at most 8, 8 and 4", held, len(table.cleared), len(table.completions.at))
	}
	table.Tick(2 * time.Hour)
	if held, _ := table.Len(); held != 0 || len(table.cleared) != 0 || len(table.order) != 0 {
		t.Errorf("%d records and %d former suspects are left, want none", held, len(table.cleared))
	}
}
