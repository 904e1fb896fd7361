package daemon

import (
	"testing"
	"time"

	"github.com/shallotspool/shallotspool/harness/standin"
)

// waitUntil polls condition until it holds and fails the test after 120 s.
func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	// The limit only ends a test that hangs; no test measures time with it.
	for range 12000 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("timed out waiting until: %s", what)
}

func TestCallAcrossNodes(t *testing.T) {
	f := newFleet(t, "front-1", "deep-1", "deep-2")
	call := f.newCall("front", "read", "r1")
	if r := f.callerOf("front-1").Do(call); r.Status != 200 || r.Outcome != "answered" || r.Body != "r1" {
		t.Fatalf("read: got %+v, want 200 answered with body r1", r)
	}
	var r standin.Result
	waitUntil(t, "owners accept keys", func() bool {
		r = f.callerOf("front-1").Do(f.newCall("deep", "take", "t1"))
		return r.Outcome != "not_run"
	})
	if r.Status != 200 || r.Body != "t1" {
		t.Fatalf("take through front-1: got %+v, want 200 with body t1", r)
	}
	if n := f.runCount("t1"); n != 1 {
		t.Fatalf("take ran %d times, want once", n)
	}
}
