package soak_test

import (
	"strings"
	"testing"

	"github.com/shallotspool/shallotspool/core/engine"
	"github.com/shallotspool/shallotspool/harness/soak"
)

func run(t *testing.T, seed uint64, broken *engine.Faults) []string {
	t.Helper()
	r, err := soak.Run(seed, broken)
	if err != nil {
		t.Fatal(err)
	}
	if r.Answered == 0 || r.Faults == 0 {
		t.Fatalf("seed %d: %d answers, %d faults: it tested nothing", seed, r.Answered, r.Faults)
	}
	return r.Violations
}

func TestPromisesHold(t *testing.T) {
	for seed := uint64(1); seed <= 8; seed++ {
		if v := run(t, seed, nil); len(v) > 0 {
			t.Errorf("seed %d: %s", seed, strings.Join(v, "\n"))
		}
	}
}

func TestEqualSeedsGiveEqualRuns(t *testing.T) {
	a, err := soak.Run(3, nil)
	if err != nil {
		t.Fatal(err)
	}
	b, err := soak.Run(3, nil)
	if err != nil {
		t.Fatal(err)
	}
	if a.Steps != b.Steps || a.Sends != b.Sends || a.Answered != b.Answered {
		t.Errorf("two runs of one seed differ: %+v and %+v", a, b)
	}
}

// TestBrokenNodesAreCaught breaks one promise at a time and asks for the
// violation that shows it, within a few seeds.
func TestBrokenNodesAreCaught(t *testing.T) {
	tests := []struct {
		name   string
		faults engine.Faults
		want   string
	}{
		{"forget keys", engine.Faults{ForgetKeys: true}, "double run"},
		{"no wait after start", engine.Faults{NoStartWait: true}, "double run"},
		{"retry what may have run", engine.Faults{RetryLost: true}, "at_most_once"},
		{"lost is told as not run", engine.Faults{LostIsNotRun: true}, "but ran"},
		{"fences not kept", engine.Faults{IgnoreFence: true}, "but ran"},
		{"copies run", engine.Faults{TakeCopies: true}, "double run"},
		{"old sends run", engine.Faults{TakeStale: true}, "double run"},
		{"pauses not noticed", engine.Faults{IgnorePause: true}, "for it to wake"},
		{"answers swapped", engine.Faults{SwapAnswers: true}, "got the answer to"},
		{"answered twice", engine.Faults{AnswerTwice: true}, "one_reply"},
		{"older document", engine.Faults{OlderDocument: true}, "document_order"},
		{"work while leaving", engine.Faults{WorkWhileLeaving: true}, "leaving_no_work"},
		{"stop cuts calls", engine.Faults{CutOnStop: true}, "in_flight_is_kept"},
		{"free retries", engine.Faults{FreeRetries: true}, "attempt_budget"},
		{"no suspicion", engine.Faults{NoSuspicion: true}, "crash 3"},
	}
	const seeds = 24
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= seeds; seed++ {
				if strings.Contains(strings.Join(run(t, seed, &test.faults), "\n"), test.want) {
					return
				}
			}
			t.Errorf("no seed of %d shows %q", seeds, test.want)
		})
	}
}
