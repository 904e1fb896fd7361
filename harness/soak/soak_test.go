package soak_test

import (
	"strings"
	"testing"

	"github.com/shallotspool/shallotspool/core/engine"
	"github.com/shallotspool/shallotspool/harness/soak"
)

// runSeed runs one seed and returns its violations. It fails if the seed had no
// answered request or no fault.
func runSeed(t *testing.T, seed uint64, engineFaults *engine.Faults) []string {
	t.Helper()
	r, err := soak.RunSeed(seed, engineFaults)
	if err != nil {
		t.Fatal(err)
	}
	if r.Answered == 0 || r.Faults == 0 {
		t.Fatalf("seed %d: %d answered sends and %d faults, want some of both", seed, r.Answered, r.Faults)
	}
	return r.Violations
}

// TestNoViolationsWithoutEngineFaults checks that all guarantees hold under injected
// faults.
func TestNoViolationsWithoutEngineFaults(t *testing.T) {
	for seed := uint64(1); seed <= 8; seed++ {
		if violations := runSeed(t, seed, nil); len(violations) > 0 {
			t.Errorf("seed %d: %s", seed, strings.Join(violations, "\n"))
		}
	}
}

// TestRunIsDeterministic checks that a seed always gives the same run.
func TestRunIsDeterministic(t *testing.T) {
	a, err := soak.RunSeed(3, nil)
	if err != nil {
		t.Fatal(err)
	}
	b, err := soak.RunSeed(3, nil)
	if err != nil {
		t.Fatal(err)
	}
	if a.Steps != b.Steps || a.Sends != b.Sends || a.Answered != b.Answered {
		t.Errorf("two runs of one seed differ: %+v and %+v", a, b)
	}
}

// TestEngineFaultsAreDetected builds one fault at a time into the engine and checks
// that one of the first seeds reports the matching violation.
func TestEngineFaultsAreDetected(t *testing.T) {
	tests := []struct {
		name   string
		faults engine.Faults
		want   string
	}{
		{"forget keys", engine.Faults{ForgetKeys: true}, "repeated execution"},
		{"no wait after start", engine.Faults{SkipStartWait: true}, "repeated execution"},
		{"retry after possible execution", engine.Faults{RetryLost: true}, "at_most_once"},
		{"lost reported as not run", engine.Faults{ReportLostAsNotRun: true}, "but was executed"},
		{"fences ignored", engine.Faults{IgnoreFence: true}, "but was executed"},
		{"duplicates accepted", engine.Faults{AcceptDuplicates: true}, "repeated execution"},
		{"stale sends accepted", engine.Faults{AcceptStaleSends: true}, "repeated execution"},
		{"pauses ignored", engine.Faults{IgnorePause: true}, "for the paused node"},
		{"replies swapped", engine.Faults{SwapReplies: true}, "received the response to"},
		{"replied twice", engine.Faults{ReplyTwice: true}, "one_reply"},
		{"older document accepted", engine.Faults{AcceptOlderDocument: true}, "document_order"},
		{"work accepted while leaving", engine.Faults{AcceptWorkWhileLeaving: true}, "leaving_no_work"},
		{"stop with open calls", engine.Faults{StopWithOpenCalls: true}, "in_flight_is_kept"},
		{"free retries", engine.Faults{FreeRetries: true}, "attempt_budget"},
		{"crash suspects ignored", engine.Faults{IgnoreCrashSuspects: true}, "crash 3"},
	}
	const seeds = 24
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= seeds; seed++ {
				if strings.Contains(strings.Join(runSeed(t, seed, &test.faults), "\n"), test.want) {
					return
				}
			}
			t.Errorf("none of %d seeds reports %q", seeds, test.want)
		})
	}
}
