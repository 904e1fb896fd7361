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

func removed(id string, revision uint64) registry.Change {
	return registry.Change{ID: id, Revision: revision, Removed: true}
}

func ids(r *registry.Registry) string {
	out := ""
	for _, u := range r.Service("deep") {
		out += u.ID
	}
	return out
}

func expect(t *testing.T, r *registry.Registry, want string) {
	t.Helper()
	if got := ids(r); got != want {
		t.Fatalf("upstreams %q, want %q", got, want)
	}
}

func TestRemovedUpstreamIsGoneAtOnce(t *testing.T) {
	r := registry.New()
	r.Replace(0, []registry.Change{entry("a", "1", 1), entry("b", "2", 2)}, 2)
	r.Apply(time.Second, []registry.Change{removed("a", 3)})
	expect(t, r, "b")
}

func TestOldChangesCountNoMore(t *testing.T) {
	r := registry.New()
	r.Replace(0, []registry.Change{entry("a", "1", 5)}, 7)
	r.Apply(0, []registry.Change{removed("a", 6)})
	expect(t, r, "a")
}

// TestLapsedInAnOutage: entries that lapsed while the store was away have two
// seconds from its return to come back.
func TestLapsedInAnOutage(t *testing.T) {
	r := registry.New()
	r.Replace(0, []registry.Change{entry("a", "1", 1), entry("b", "2", 2)}, 2)
	r.Outage()
	expect(t, r, "ab")
	back := 10 * time.Second
	r.Answering(back)
	r.Replace(back, nil, 9)
	expect(t, r, "ab")
	r.Apply(back+time.Second, []registry.Change{entry("a", "1", 10)})
	r.Tick(back + registry.ReturnGrace - 1)
	expect(t, r, "ab")
	if dropped := r.Tick(back + registry.ReturnGrace); len(dropped) != 1 || dropped[0] != "b" {
		t.Fatalf("dropped %v", dropped)
	}
	expect(t, r, "a")
}

func TestNewestEntryOfAnAddressHolds(t *testing.T) {
	r := registry.New()
	r.Replace(0, []registry.Change{entry("old", "1", 1), entry("new", "1", 2)}, 2)
	expect(t, r, "new")
}

// TestMovedUntilItChanges: an entry whose address another upstream answers at
// counts again only once it is written anew.
func TestMovedUntilItChanges(t *testing.T) {
	r := registry.New()
	r.Replace(0, []registry.Change{entry("a", "1", 1)}, 1)
	r.Moved("a")
	expect(t, r, "")
	r.Replace(0, []registry.Change{entry("a", "1", 1)}, 2)
	expect(t, r, "")
	r.Apply(0, []registry.Change{entry("a", "1", 3)})
	expect(t, r, "a")
}

func TestUnusableEntryTakesNoWork(t *testing.T) {
	r := registry.New()
	r.Replace(0, []registry.Change{entry("a", "1", 1), entry("b", "2", 2)}, 2)
	r.Apply(0, []registry.Change{{ID: "a", Revision: 3}})
	expect(t, r, "b")
}
