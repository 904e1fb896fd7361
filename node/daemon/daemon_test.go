package daemon

import (
	"testing"
	"time"

	"github.com/shallotspool/shallotspool/harness/standin"
)

// await polls until ok holds; it gives up only where the test would hang.
func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	// The number of looks only ends a test that hangs; nothing is timed by it.
	for range 12000 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("never: %s", what)
}

func TestCallThroughTwoNodes(t *testing.T) {
	f := newFleet(t, "front-1", "deep-1", "deep-2")
	call := f.call("front", "read", "r1")
	if r := f.caller("front-1").Do(call); r.Status != 200 || r.Outcome != "answered" || r.Body != "r1" {
		t.Fatalf("read: %+v", r)
	}
	var r standin.Result
	await(t, "owners remember long enough", func() bool {
		r = f.caller("front-1").Do(f.call("deep", "take", "t1"))
		return r.Outcome != "not_run"
	})
	if r.Status != 200 || r.Body != "t1" {
		t.Fatalf("take by way of front: %+v", r)
	}
	if n := f.runs("t1"); n != 1 {
		t.Fatalf("take ran %d times", n)
	}
}
