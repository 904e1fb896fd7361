package freeport_test

import (
	"testing"

	"github.com/shallotspool/shallotspool/harness/freeport"
)

// TestPortsAreOutsideTheEphemeralRange guards against a port that an outgoing connection
// takes before the process that was told it listens.
func TestPortsAreOutsideTheEphemeralRange(t *testing.T) {
	seen := map[int]bool{}
	for range 50 {
		port, err := freeport.Choose()
		if err != nil {
			t.Fatal(err)
		}
		if port >= 32768 || port < 1024 || seen[port] {
			t.Errorf("port %d, want one from 1024 to 32767 that was not given out before", port)
		}
		seen[port] = true
	}
}
