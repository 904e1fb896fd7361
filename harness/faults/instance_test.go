package faults

import "testing"

// TestExitedProcessIsNeverMissed guards against a soak that misses at random that a node
// exited.
func TestExitedProcessIsNeverMissed(t *testing.T) {
	n := &instance{exited: make(chan struct{})}
	if n.waitExited(0) {
		t.Fatal("a running process counts as exited")
	}
	close(n.exited)
	for i := range 1000 {
		if !n.waitExited(0) {
			t.Fatalf("look %d: an exited process counts as running", i)
		}
	}
}
