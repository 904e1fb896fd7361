package registry_test

import (
	"testing"
	"time"

	"github.com/shallotspool/shallotspool/core/registry"
)

func entry(id, address string, revision uint64) registry.Change {
	return registry.Change{ID: id, Revision: revision, Upstream: &registry.Upstream{
		ID: id, Service: "deep", Address: address, Instance: address, Slots: 4, Revision: revision,
	}}
}

// at returns a position in a store that does not state its era.
func at(revision uint64) registry.Position { return registry.Position{Revision: revision} }

func removal(id string, revision uint64) registry.Change {
	return registry.Change{ID: id, Revision: revision, Removed: true}
}

// ids returns the concatenated IDs of the upstreams of the service "deep".
func ids(r *registry.Registry) string {
	out := ""
	for _, u := range r.ServiceUpstreams("deep") {
		out += u.ID
	}
	return out
}

func expectUpstreams(t *testing.T, r *registry.Registry, want string) {
	t.Helper()
	if got := ids(r); got != want {
		t.Fatalf("upstreams %q, want %q", got, want)
	}
}

func TestRemovalTakesEffectImmediately(t *testing.T) {
	r := registry.New()
	r.Replace(0, []registry.Change{entry("a", "1", 1), entry("b", "2", 2)}, at(2))
	r.Apply(time.Second, []registry.Change{removal("a", 3)})
	expectUpstreams(t, r, "b")
}

func TestOlderChangesAreIgnored(t *testing.T) {
	r := registry.New()
	r.Replace(0, []registry.Change{entry("a", "1", 5)}, at(7))
	r.Apply(0, []registry.Change{removal("a", 6)})
	expectUpstreams(t, r, "a")
}

// TestEntriesLapsedInOutageHaveGracePeriod: entries that lapsed during a store
// outage have ReturnGracePeriod after its end to return.
func TestEntriesLapsedInOutageHaveGracePeriod(t *testing.T) {
	r := registry.New()
	r.Replace(0, []registry.Change{entry("a", "1", 1), entry("b", "2", 2)}, at(2))
	r.MarkStoreDown()
	expectUpstreams(t, r, "ab")
	restored := 10 * time.Second
	r.MarkStoreUp(restored)
	r.Replace(restored, nil, at(9))
	expectUpstreams(t, r, "ab")
	r.Apply(restored+time.Second, []registry.Change{entry("a", "1", 10)})
	r.Tick(restored + registry.ReturnGracePeriod - 1)
	expectUpstreams(t, r, "ab")
	if removed := r.Tick(restored + registry.ReturnGracePeriod); len(removed) != 1 || removed[0] != "b" {
		t.Fatalf("removed entries %v, want [b]", removed)
	}
	expectUpstreams(t, r, "a")
}

func TestNewestEntryOfAddressWins(t *testing.T) {
	r := registry.New()
	r.Replace(0, []registry.Change{entry("old", "1", 1), entry("new", "1", 2)}, at(2))
	expectUpstreams(t, r, "new")
}

// TestMovedEntryIsIgnoredUntilChanged: an entry whose address belongs to another
// upstream is used again only after a new revision of it.
func TestMovedEntryIsIgnoredUntilChanged(t *testing.T) {
	r := registry.New()
	r.Replace(0, []registry.Change{entry("a", "1", 1)}, at(1))
	r.RemoveMoved(0, "a")
	expectUpstreams(t, r, "")
	r.Replace(0, []registry.Change{entry("a", "1", 1)}, at(2))
	expectUpstreams(t, r, "")
	r.Tick(time.Hour)
	r.Replace(time.Hour, []registry.Change{entry("a", "1", 1)}, at(2))
	expectUpstreams(t, r, "")
	r.Apply(time.Hour, []registry.Change{entry("a", "1", 3)})
	expectUpstreams(t, r, "a")
}

func TestUnusableEntryRemovesUpstream(t *testing.T) {
	r := registry.New()
	r.Replace(0, []registry.Change{entry("a", "1", 1), entry("b", "2", 2)}, at(2))
	r.Apply(0, []registry.Change{{ID: "a", Revision: 3}})
	expectUpstreams(t, r, "b")
}
