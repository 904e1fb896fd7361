package registry_test

import (
	"testing"
	"time"

	"github.com/shallotspool/shallotspool/core/registry"
)

// lapsedAt returns a Registry in which the entry a lapsed at a time, and b did not.
func lapsedAt(now time.Duration) *registry.Registry {
	r := registry.New()
	r.Replace(0, []registry.Change{entry("a", "1", 1), entry("b", "2", 2)}, at(2))
	r.MarkStoreDown()
	r.MarkStoreUp(now)
	r.Apply(now, []registry.Change{removal("a", 3)})
	return r
}

// TestLapseIsTakenOver guards against an entry that lapsed at one node and counts as present for
// good at another that took over its state.
func TestLapseIsTakenOver(t *testing.T) {
	const lapsed = 10 * time.Second
	sender, receiver := lapsedAt(lapsed), registry.New()
	receiver.Replace(0, []registry.Change{entry("a", "1", 1), entry("b", "2", 2)}, at(2))
	now := lapsed + registry.ReturnGracePeriod/4
	lapses := sender.Lapses(now)
	if len(lapses) != 1 || lapses[0] != (registry.Lapse{ID: "a", Remaining: registry.ReturnGracePeriod * 3 / 4}) {
		t.Fatalf("lapses %v, want the entry a with three quarters of the grace period", lapses)
	}
	receiver.MergePeerState(now, nil, []string{"a", "b"}, lapses, at(3))
	receiver.Tick(lapsed + registry.ReturnGracePeriod - 1)
	expectUpstreams(t, receiver, "ab")
	receiver.Tick(lapsed + registry.ReturnGracePeriod)
	expectUpstreams(t, receiver, "b")
}

// TestEntryReturnsAfterLapseOfPeer guards against an entry that is removed though its upstream
// registered again, because it had lapsed at another node.
func TestEntryReturnsAfterLapseOfPeer(t *testing.T) {
	const lapsed = 10 * time.Second
	sender := lapsedAt(lapsed)
	for name, returns := range map[string]func(*registry.Registry){
		"read from the store": func(r *registry.Registry) { r.Apply(lapsed, []registry.Change{entry("a", "1", 4)}) },
		"listed by the store": func(r *registry.Registry) {
			r.Replace(lapsed, []registry.Change{entry("a", "1", 1), entry("b", "2", 2)}, at(4))
		},
		"taken from another node": func(r *registry.Registry) {
			r.MergePeerState(lapsed, []registry.Change{entry("a", "1", 4)}, []string{"a", "b"}, nil, at(4))
		},
	} {
		receiver := registry.New()
		receiver.Replace(0, []registry.Change{entry("a", "1", 1), entry("b", "2", 2)}, at(2))
		receiver.MergePeerState(lapsed, nil, []string{"a", "b"}, sender.Lapses(lapsed), at(3))
		returns(receiver)
		if receiver.Tick(lapsed + time.Hour); receiver.Get("a") == nil {
			t.Errorf("%s: the entry is removed", name)
		}
	}
}

// TestImpossibleLapseEndsWithinGracePeriod guards against an entry that is kept for good because
// another node states a time that is out of range.
func TestImpossibleLapseEndsWithinGracePeriod(t *testing.T) {
	for _, remaining := range []time.Duration{-1 << 63, -1, 1<<63 - 1} {
		r := registry.New()
		r.Replace(0, []registry.Change{entry("a", "1", 1)}, at(1))
		r.MergePeerState(time.Second, nil, []string{"a"}, []registry.Lapse{{ID: "a", Remaining: remaining}, {ID: "unknown"}}, at(2))
		if r.Tick(time.Second + registry.ReturnGracePeriod); r.Len() != 0 {
			t.Errorf("remaining %v: the entry is kept", remaining)
		}
	}
}
