package sidecar

import (
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/shallotspool/shallotspool/core/mesh"
	"github.com/shallotspool/shallotspool/core/registry"
	"github.com/shallotspool/shallotspool/core/route"
)

// TestInvalidPartOfStateIsLeftOut guards against a state of another node, malformed in one
// place, that takes this one down, such as a route without a service, and against one whose
// sound parts are lost with it.
func TestInvalidPartOfStateIsLeftOut(t *testing.T) {
	table := testTable(3)
	sound := registry.Upstream{ID: "sound", Service: "deep", Address: "10.0.0.3:80", Instance: "10.0.0.3", DataCentre: "x", Slots: 4}
	odd := registry.Upstream{ID: "odd", Service: "deep", Address: "10.0.0.2:80", Instance: "10.0.0.2", DataCentre: "x", Slots: 4}
	noAddress, noCapacity, noPort := odd, odd, odd
	noAddress.Address, noCapacity.Slots, noPort.Address = "", 0, "10.0.0.2:"
	noService, noRoute := testTable(3), testTable(3)
	noService.Routes[0].Split = nil
	noRoute.Routes[0] = nil
	for name, c := range map[string]struct {
		table *route.Table
		odd   registry.Upstream
		want  error
	}{
		"no service":  {noService, odd, route.ErrInvalidTable},
		"no route":    {noRoute, odd, route.ErrInvalidTable},
		"no address":  {table, noAddress, registry.ErrInvalidUpstream},
		"no capacity": {table, noCapacity, registry.ErrInvalidUpstream},
		"no port":     {table, noPort, registry.ErrInvalidUpstream},
	} {
		data, err := cbor.Marshal(mesh.StoreState{Table: c.table, Upstreams: []registry.Upstream{c.odd, sound}, Present: []string{"odd", "sound"}, Revision: 7})
		if err != nil {
			t.Fatal(err)
		}
		state, invalid, err := decodeState(data)
		if err != nil || len(invalid) != 1 || !errors.Is(invalid[0], c.want) {
			t.Errorf("%s: problems %v and error %v, want one problem, %v", name, invalid, err, c.want)
			continue
		}
		n := mesh.New(mesh.Config{Instance: "10.0.0.1", Service: "front", DataCentre: "x"})
		n.StoreLost()
		n.ApplyState(time.Second, state)
		tableTaken, oddTaken := n.Table() != nil, n.Registry().Get("odd") != nil
		if tableTaken != (c.table == table) || oddTaken != (c.odd == odd) || n.Registry().Get("sound") == nil {
			t.Errorf("%s: table taken over: %v, odd registration: %v, sound one: %v", name, tableTaken, oddTaken, n.Registry().Get("sound") != nil)
		}
	}
}

// testTable returns a table with one route to the service deep.
func testTable(version route.Version) *route.Table {
	return &route.Table{Version: version, Services: map[string]route.Service{"deep": {Name: "deep"}}, Routes: []*route.Route{{
		Name: "r", Host: "h", Prefix: "/a/", MaxAttempts: 2, Split: []route.WeightedService{{Service: "deep", Weight: 1}},
	}}}
}

// FuzzDecodeState guards against a malformed state of another node that takes this one down.
func FuzzDecodeState(f *testing.F) {
	state := mesh.StoreState{
		Table:     testTable(3),
		Upstreams: []registry.Upstream{{ID: "i", Service: "deep", Address: "10.0.0.2:80", Instance: "10.0.0.2", DataCentre: "x", Slots: 4, Revision: 7}},
		Present:   []string{"i"}, Era: 1, Revision: 7,
	}
	data, err := cbor.Marshal(state)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		state, _, err := decodeState(data)
		if err != nil {
			if !errors.Is(err, errInvalidState) {
				t.Errorf("error without mark: %v", err)
			}
			return
		}
		n := mesh.New(mesh.Config{Instance: "10.0.0.1", Service: "front", DataCentre: "x"})
		n.StoreLost()
		n.ApplyState(time.Second, state)
		n.UpdatePlan(time.Second)
		n.StartCall(time.Second, mesh.IncomingRequest{ID: "1", Host: "h", Path: "/a/1", Timeout: time.Second})
		n.StateSince(time.Second, mesh.StoreVersion{})
		n.DueMessages(time.Second)
	})
}

// FuzzParseSettings guards against a settings file that takes a node down or is refused without
// saying why.
func FuzzParseSettings(f *testing.F) {
	f.Add([]byte("node: a\nservice: s\ndata_centre: x\nlisten:\n  callers: 10.0.0.1:80\nlimits: {memory_mb: 200}\nlog_level: info\n"))
	f.Add([]byte("bounds: {retry_ratio: 0.2, retry_slack: .nan, grace_seconds: .inf}\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := ParseSettings(data)
		switch {
		case err == nil && (s.gracePeriod() <= 0 || !(s.Bounds.RetryRatio >= 0) || !(s.Bounds.RetrySlack >= 0)):
			t.Errorf("accepted %+v", s.Bounds)
		case err != nil && !errors.Is(err, ErrInvalidSettings):
			t.Errorf("error without mark: %v", err)
		}
	})
}

// TestLargestStateFitsItsLimit guards against a state of valid registrations that no other node
// takes, because it is too large.
func TestLargestStateFitsItsLimit(t *testing.T) {
	// The most registrations and removals that a node remembers, with names of the longest length.
	const entries, nameBytes = 10_000, 256
	name := strings.Repeat("x", nameBytes)
	u := registry.Upstream{
		ID: name, Service: name, Address: "[2001:db8:ffff:ffff:ffff:ffff:ffff:ffff]:65535", Instance: "2001:db8:ffff:ffff:ffff:ffff:ffff:ffff",
		DataCentre: name, Slots: 1_000_000, ColdUntil: time.Hour, Born: math.MaxInt64, Sequence: math.MaxInt64, Revision: math.MaxUint64, Era: math.MaxUint64,
	}
	if err := u.Validate(); err != nil {
		t.Fatal(err)
	}
	state := mesh.StoreState{Upstreams: slices.Repeat([]registry.Upstream{u}, entries), Removals: slices.Repeat([]registry.Upstream{u}, entries), Present: slices.Repeat([]string{name}, entries)}
	// A document of 1 MB has at most this many routes.
	const routes = 1 << 20 / 64
	state.Table = testTable(1)
	r := *state.Table.Routes[0]
	r.Host = strings.Repeat("h", 255)
	state.Table.Routes = slices.Repeat([]*route.Route{&r}, routes)
	data, err := cbor.Marshal(state)
	if err != nil || len(data) > maxStateBytes {
		t.Fatalf("%d bytes, error %v; want at most %d", len(data), err, maxStateBytes)
	}
	if decoded, invalid, err := decodeState(data); err != nil || len(invalid) != 0 || len(decoded.Upstreams) != entries {
		t.Fatalf("%d registrations, problems %v, error %v; want all %d", len(decoded.Upstreams), invalid, err, entries)
	}
}
