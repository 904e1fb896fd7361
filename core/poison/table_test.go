package poison_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/shallotspool/shallotspool/core/fixedseed"
	"github.com/shallotspool/shallotspool/core/poison"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) { fixedseed.Run(m) }

const retention = time.Minute

// TestRequestIsBlockedAfterMaxCrashes: nodes run one request as long as their
// table permits. Each run crashes, and every node receives the report before the
// next run. Exactly MaxCrashes runs must happen.
func TestRequestIsBlockedAfterMaxCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c"}
		tables := map[string]*poison.Table{}
		for _, name := range names {
			tables[name] = poison.New(poison.Config{Retention: retention, MaxRecords: 8})
		}
		crashes := 0
		for range 10 {
			runner := rapid.SampledFrom(names).Draw(t, "runner")
			if tables[runner].Status(0, 1) == poison.Blocked {
				continue
			}
			crashes++
			count := tables[runner].RecordCrash(0, runner, 1)
			for _, name := range names {
				tables[name].MergeReport(0, runner, 1, count, retention)
			}
		}
		if crashes != poison.MaxCrashes {
			t.Fatalf("%d crashes, want %d", crashes, poison.MaxCrashes)
		}
	})
}

func TestRecordsAreClearedExpiredAndBounded(t *testing.T) {
	table := poison.New(poison.Config{Retention: retention, MaxRecords: 3})
	for f := range uint64(10) {
		table.RecordCrash(0, "a", f)
	}
	if table.Len() != 3 {
		t.Fatalf("%d records, want 3", table.Len())
	}
	if !table.RecordSuccess(0) || table.Status(0, 0) != poison.Clear {
		t.Fatal("a suspect that completed was not cleared")
	}
	table.MergeReport(0, "b", 1, 1, retention) // the second crash of request 1
	if table.RecordSuccess(1) || table.Status(0, 1) != poison.Blocked {
		t.Fatal("a blocked request was cleared")
	}
	if table.Status(retention, 1) != poison.Clear {
		t.Fatal("an expired record still counts")
	}
	table.Tick(retention)
	if table.Len() != 0 || len(table.Records()) != 0 {
		t.Fatalf("%d records held and %d listed after expiry, want none", table.Len(), len(table.Records()))
	}
}
