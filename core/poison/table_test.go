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

const remember = time.Minute

// TestTwoCrashesCondemn lets nodes run one request whenever their table lets
// them; each run crashes, and every node hears of it before the next run.
func TestTwoCrashesCondemn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c"}
		tables := map[string]*poison.Table{}
		for _, name := range names {
			tables[name] = poison.New(poison.Config{Remember: remember, Max: 8})
		}
		crashes := 0
		for range 10 {
			runner := rapid.SampledFrom(names).Draw(t, "runner")
			if tables[runner].Standing(0, 1) == poison.Condemned {
				continue
			}
			crashes++
			count := tables[runner].Crashed(0, runner, 1)
			for _, name := range names {
				tables[name].Heard(0, runner, 1, count, remember)
			}
		}
		if crashes != poison.MaxCrashes {
			t.Fatalf("%d crashes", crashes)
		}
	})
}

func TestSuspectIsClearedAndForgottenAndBounded(t *testing.T) {
	table := poison.New(poison.Config{Remember: remember, Max: 3})
	for f := range uint64(10) {
		table.Crashed(0, "a", f)
	}
	if table.Len() != 3 {
		t.Fatalf("%d records", table.Len())
	}
	if !table.Cleared(0) || table.Standing(0, 0) != poison.Clear {
		t.Fatal("a suspect that completed is still held")
	}
	table.Heard(0, "b", 1, 1, remember)
	if table.Cleared(1) || table.Standing(0, 1) != poison.Condemned {
		t.Fatal("a condemned request was cleared")
	}
	if table.Standing(remember, 1) != poison.Clear {
		t.Fatal("never forgotten")
	}
	table.Tick(remember)
	if table.Len() != 0 || len(table.Records()) != 0 {
		t.Fatalf("%d records after the time", table.Len())
	}
}
