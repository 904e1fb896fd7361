package registry_test

import (
	"testing"
	"time"

	"github.com/shallotspool/shallotspool/core/registry"
)

// TestLeavingUpstreamDrainsWhateverTheStoreSays guards against sending requests to an
// upstream again that said itself that it leaves, because its entry is still ready.
func TestLeavingUpstreamDrainsWhateverTheStoreSays(t *testing.T) {
	r := registry.New()
	run := func(born int64, revision uint64) registry.Change {
		c := entry("a", "1", revision)
		c.Upstream.Born = born
		return c
	}
	r.Replace(0, []registry.Change{run(10, 1)}, at(1))
	if r.MarkLeaving("a", 9) {
		t.Fatal("an answer of an earlier run counts for this one")
	}
	if !r.MarkLeaving("a", 10) || !r.Get("a").Draining {
		t.Fatal("the upstream is not draining after it said that it leaves")
	}
	r.Apply(0, []registry.Change{run(10, 2)})
	r.MergePeerState(time.Second, []registry.Change{run(10, 3)}, []string{"a"}, nil, at(3))
	if !r.Get("a").Draining {
		t.Fatal("the upstream is ready again in the same run")
	}
	r.Apply(0, []registry.Change{run(11, 4)})
	if r.Get("a").Draining {
		t.Fatal("the next run of the upstream is draining")
	}
}
