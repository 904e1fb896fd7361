package sidecar

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/shallotspool/shallotspool/core/mesh"
	"github.com/shallotspool/shallotspool/core/registry"
	"github.com/shallotspool/shallotspool/core/route"
)

// TestStateWithoutServiceIsRefused guards against a state of another node, malformed in one
// place, that takes this one down: a route without a service ended the process with the first
// request for it.
func TestStateWithoutServiceIsRefused(t *testing.T) {
	for name, state := range map[string]mesh.StoreState{
		"no service":  {Table: &route.Table{Version: 3, Routes: []*route.Route{{Name: "r", Prefix: "/a/", MaxAttempts: 2}}}},
		"no route":    {Table: &route.Table{Version: 3, Routes: []*route.Route{nil}}},
		"no address":  {Upstreams: []registry.Upstream{{ID: "i", Service: "deep", Instance: "10.0.0.2", DataCentre: "x", Slots: 4}}},
		"no capacity": {Upstreams: []registry.Upstream{{ID: "i", Service: "deep", Address: "10.0.0.2:80", Instance: "10.0.0.2", DataCentre: "x"}}},
	} {
		data, err := cbor.Marshal(state)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := decodeState(data); !errors.Is(err, errInvalidState) {
			t.Errorf("%s: error %v, want %v", name, err, errInvalidState)
		}
	}
}

// FuzzDecodeState guards against a malformed state of another node that takes this one down.
func FuzzDecodeState(f *testing.F) {
	state := mesh.StoreState{
		Table: &route.Table{Version: 3, Routes: []*route.Route{{
			Name: "r", Host: "h", Prefix: "/a/", MaxAttempts: 2, Split: []route.WeightedService{{Service: "deep", Weight: 1}},
		}}},
		Upstreams: []registry.Upstream{{ID: "i", Service: "deep", Address: "10.0.0.2:80", Instance: "10.0.0.2", DataCentre: "x", Slots: 4, Revision: 7}},
		Present:   []string{"i"}, Era: 1, Revision: 7,
	}
	data, err := cbor.Marshal(state)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		state, err := decodeState(data)
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
