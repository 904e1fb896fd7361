package mesh

import (
	"testing"
	"time"

	"github.com/shallotspool/shallotspool/core/registry"
	"github.com/shallotspool/shallotspool/core/route"
	"github.com/shallotspool/shallotspool/core/store"
)

// listedTable returns a table of a version that lists services.
func listedTable(version route.Version, services ...string) *route.Table {
	t := &route.Table{Version: version, Services: map[string]route.Service{}}
	for _, name := range services {
		t.Services[name] = route.Service{Name: name}
		t.Routes = append(t.Routes, testRoute(name, true))
	}
	t.BuildIndex()
	return t
}

// oddRegistration returns a registration of a service that no table lists, at an address of the
// instance 10.0.0.1, which is that of an upstream of testRegistrations.
func oddRegistration(address string) registry.Change {
	return registry.Change{ID: "i-odd", Revision: 9, Upstream: &registry.Upstream{
		ID: "i-odd", Service: "unlisted", Address: address, Instance: "10.0.0.1", DataCentre: "elsewhere", Slots: 5, Revision: 9,
	}}
}

// TestEntryOfUnlistedServiceHidesNoUpstream guards against an upstream that gets no requests because
// another writer registered its address for a service that the table does not list, so that no
// request ever showed the mistake.
func TestEntryOfUnlistedServiceHidesNoUpstream(t *testing.T) {
	for _, tableFirst := range []bool{true, false} {
		n := New(Config{Instance: "10.0.0.2", Service: "a", DataCentre: "x", Seed: 1, RetryBounds: testRetryBounds})
		apply := func(now time.Duration, changes store.Changes) {
			if _, err := n.ApplyRead(now, n.NextRead(), changes); err != nil {
				t.Fatal(err)
			}
		}
		entries := append(testRegistrations(), oddRegistration("10.0.0.1:80"))
		steps := []store.Changes{{Revision: 20, Tables: []*route.Table{listedTable(1, "a", "b")}}, {Revision: 21, Upstreams: entries}}
		if !tableFirst {
			steps = []store.Changes{{Revision: 20, Upstreams: entries}, {Revision: 21, Tables: []*route.Table{listedTable(1, "a", "b")}}}
		}
		for i, changes := range steps {
			for j := range changes.Upstreams {
				changes.Upstreams[j].Revision += 20
			}
			apply(time.Duration(i), changes)
		}
		if got := len(n.Registry().ServiceUpstreams("a")); got != 2 {
			t.Errorf("table first %v: %d upstreams of the service a, want 2", tableFirst, got)
		}
		apply(time.Second, store.Changes{Revision: 40, Tables: []*route.Table{listedTable(2, "a", "b", "unlisted")}})
		if got := n.Registry().ServiceUpstreams("unlisted"); len(got) != 1 || len(n.Registry().ServiceUpstreams("a")) != 1 {
			t.Errorf("table first %v: the address does not belong to the newest registration of a listed service: %v", tableFirst, got)
		}
	}
}

// TestEntryOfUnlistedServiceMovesNoInstance guards against nodes that disagree on the data centre of
// an instance because another writer registered one of its ports in another data centre.
func TestEntryOfUnlistedServiceMovesNoInstance(t *testing.T) {
	for range 20 {
		n := New(Config{Instance: "10.0.0.2", Service: "a", DataCentre: "x", Seed: 1, RetryBounds: testRetryBounds})
		changes := store.Changes{Revision: 20, Tables: []*route.Table{listedTable(1, "a", "b")}, Upstreams: append(testRegistrations(), oddRegistration("10.0.0.1:99"))}
		if _, err := n.ApplyRead(0, n.NextRead(), changes); err != nil {
			t.Fatal(err)
		}
		if got := n.instances["10.0.0.1"]; got != "x" {
			t.Fatalf("the instance counts as one of data centre %q, want x", got)
		}
	}
}
