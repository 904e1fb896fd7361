package main

import (
	"fmt"
	"strings"
	"testing"

	"github.com/shallotspool/shallotspool/core/registry"
	"github.com/shallotspool/shallotspool/platform"
)

// TestRemovalAfterCutWatchIsInForceAtOnce guards against a watch that is cut while the store
// answers and is taken for an outage: upstreams that the store says are gone got requests for a
// grace period more.
func TestRemovalAfterCutWatchIsInForceAtOnce(t *testing.T) {
	f := newStoreFleet(t)
	const leavers = 4
	for i := range leavers {
		f.put(platform.EncodeRegistration(&registry.Upstream{
			ID: fmt.Sprintf("i-leaver-%d", i), Service: "s", Address: fmt.Sprintf("127.0.5.%d:80", 100+i), DataCentre: "a", Slots: 5, Born: 1,
		}))
	}
	everywhere := func(message, id string) bool {
		for _, log := range f.logs {
			found := false
			for line := range strings.Lines(log.String()) {
				found = found || strings.Contains(line, message) && strings.Contains(line, "upstream="+id+"\n")
			}
			if !found {
				return false
			}
		}
		return true
	}
	for i := range leavers {
		id := fmt.Sprintf("i-leaver-%d", i)
		f.eventually(id+" is known", func() bool { return everywhere("upstream registered", id) })
		f.eventually("all readers watch", func() bool { return f.store.WaitingWatches() == fleetReaders })
		// The removal comes before, or after, the readers watch again.
		f.store.CutWatches()
		if i%2 == 1 {
			f.eventually("all readers watch", func() bool { return f.store.WaitingWatches() == fleetReaders })
		}
		f.store.Remove(platform.RegistrationPrefix + id)
		f.eventually(id+" is removed", func() bool { return everywhere("upstream removed", id) })
	}
	for i, log := range f.logs {
		if text := log.String(); strings.Contains(text, "upstream gone") || strings.Contains(text, "store lost") {
			t.Errorf("node %d took a cut watch for an outage:\n%s", i, text)
		}
	}
}
