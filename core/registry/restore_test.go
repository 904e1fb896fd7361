package registry_test

import (
	"testing"
	"time"

	"github.com/shallotspool/shallotspool/core/registry"
)

// written returns the entry that an upstream stored with its given write.
func written(id string, era, revision uint64, sequence int64, draining bool) registry.Change {
	c := entry(id, id, revision)
	c.Era, c.Upstream.Era, c.Upstream.Sequence, c.Upstream.Draining = era, era, sequence, draining
	return c
}

func inEra(era, revision uint64) registry.Position {
	return registry.Position{Era: era, Revision: revision}
}

// TestRegistrationsOfNewEraApply guards against ignoring what was written after a restore
// because its revisions are below those of the previous era.
func TestRegistrationsOfNewEraApply(t *testing.T) {
	r := registry.New()
	r.Replace(0, []registry.Change{written("a", 1, 90, 1, false)}, inEra(1, 100))
	r.Replace(0, []registry.Change{written("a", 2, 50, 1, false), written("b", 2, 60, 1, false)}, inEra(2, 60))
	r.Apply(0, []registry.Change{written("c", 2, 61, 1, false)})
	expectUpstreams(t, r, "abc")
	if got := r.Position(); got != inEra(2, 61) {
		t.Fatalf("position %+v, want era 2, revision 61", got)
	}
	r.Apply(0, []registry.Change{{ID: "c", Era: 1, Revision: 200, Removed: true}})
	expectUpstreams(t, r, "abc")
}

// TestOlderCopyKeepsDrainingUpstream guards against sending requests again to an upstream
// that was known to drain, because an older copy of the store lists it as ready.
func TestOlderCopyKeepsDrainingUpstream(t *testing.T) {
	r := registry.New()
	r.Replace(0, []registry.Change{written("a", 1, 90, 7, true)}, inEra(1, 90))
	r.Replace(0, []registry.Change{written("a", 2, 50, 5, false)}, inEra(2, 50))
	if !r.Get("a").Draining {
		t.Fatal("the upstream is ready, want draining")
	}
	r.Apply(0, []registry.Change{written("a", 2, 51, 8, false)})
	if r.Get("a").Draining {
		t.Fatal("the upstream is draining, want ready as it wrote later")
	}
}

// TestOlderCopyDoesNotBringBackRemovedUpstream guards against the same for an upstream
// that was known to be gone, also if another node reads the copy.
func TestOlderCopyDoesNotBringBackRemovedUpstream(t *testing.T) {
	for _, throughPeer := range []bool{false, true} {
		r := registry.New()
		r.Replace(0, []registry.Change{written("a", 1, 90, 7, false), written("b", 1, 91, 1, false)}, inEra(1, 91))
		removal := removal("a", 92)
		removal.Era = 1
		r.Apply(0, []registry.Change{removal})
		listed := []registry.Change{written("a", 2, 50, 7, false), written("b", 2, 51, 1, false)}
		if throughPeer {
			r.MergePeerState(0, listed, []string{"a", "b"}, nil, inEra(2, 51))
		} else {
			r.Replace(0, listed, inEra(2, 51))
		}
		expectUpstreams(t, r, "b")
		r.Apply(0, []registry.Change{written("a", 2, 52, 8, false)})
		expectUpstreams(t, r, "ab")
	}
}

// TestUpstreamsLostInRestoreHaveGracePeriod guards against dropping upstreams that the
// restored store lacks before they had time to write their entries again.
func TestUpstreamsLostInRestoreHaveGracePeriod(t *testing.T) {
	for _, throughPeer := range []bool{false, true} {
		r := registry.New()
		r.Replace(0, []registry.Change{written("a", 1, 90, 7, false), written("b", 1, 91, 1, false)}, inEra(1, 91))
		if throughPeer {
			r.MergePeerState(time.Second, nil, nil, nil, inEra(2, 50))
		} else {
			r.Replace(time.Second, nil, inEra(2, 50))
		}
		r.Apply(time.Second, []registry.Change{written("a", 2, 51, 8, false)})
		r.Tick(time.Second + registry.ReturnGracePeriod - 1)
		expectUpstreams(t, r, "ab")
		r.Tick(time.Second + registry.ReturnGracePeriod)
		expectUpstreams(t, r, "a")
	}
}

// TestLapsedEntryStaysRemovedInOlderCopy guards against sending requests again to an upstream that
// was known to be gone, because its entry lapsed at this node only after the store was restored
// from a copy that lists it, as another node does not have it.
func TestLapsedEntryStaysRemovedInOlderCopy(t *testing.T) {
	r := registry.New()
	r.Replace(0, []registry.Change{written("a", 1, 90, 8, true), written("b", 1, 91, 1, false)}, inEra(1, 91))
	r.MergePeerState(time.Second, nil, []string{"b"}, nil, inEra(2, 50))
	r.Tick(time.Second + registry.ReturnGracePeriod)
	expectUpstreams(t, r, "b")
	listed := []registry.Change{written("a", 2, 50, 1, false), written("b", 2, 49, 1, false)}
	r.Replace(4*time.Second, listed, inEra(2, 50))
	expectUpstreams(t, r, "b")
	// The upstream wrote later than what was known to be gone.
	r.Replace(5*time.Second, []registry.Change{written("a", 2, 51, 9, false), listed[1]}, inEra(2, 51))
	expectUpstreams(t, r, "ab")
}
