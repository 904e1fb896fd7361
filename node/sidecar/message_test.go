package sidecar

import (
	"math"
	"os"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/shallotspool/shallotspool/core/mesh"
)

// readFrame returns a frame as nodes of an earlier version send it.
func readFrame(t *testing.T, name string) []byte {
	data, err := os.ReadFile("testdata/" + name)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// TestHeartbeatsWithoutVersionAreRead guards against nodes that do not hear those of the
// version before, in which heartbeats were arrays, during an upgrade.
func TestHeartbeatsWithoutVersionAreRead(t *testing.T) {
	s := &Sidecar{node: mesh.New(mesh.Config{Instance: "10.0.0.1", Service: "front", DataCentre: "x"}), started: time.Now()}
	for _, name := range []string{"heartbeat_without_version_full.cbor", "heartbeat_without_version_partial.cbor"} {
		if err := s.receiveMessage("10.0.0.2", readFrame(t, name)); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
	reports := s.node.PeerReports(s.now())
	if len(reports) != 1 || reports[0].Load != (mesh.Load{Running: 7, Queued: 3, Limit: 17}) {
		t.Errorf("reports %+v, want the load of the heartbeats", reports)
	}
}

// TestHeartbeatsToEarlierVersionKeepTheirFormat guards against nodes of the version before
// that do not hear this one during an upgrade.
func TestHeartbeatsToEarlierVersionKeepTheirFormat(t *testing.T) {
	frame := readFrame(t, "heartbeat_without_version_full.cbor")
	var legacy mesh.LegacyHeartbeat
	if err := cbor.Unmarshal(frame, &legacy); err != nil {
		t.Fatal(err)
	}
	h := mesh.Heartbeat(legacy)
	encoded, err := encodeMessage(&mesh.Outgoing{Legacy: true, Message: mesh.Message{Version: mesh.MessageVersion, Heartbeat: &h}})
	if err != nil || string(encoded) != string(frame) {
		t.Errorf("encoded as %x, error %v; want %x", encoded, err, frame)
	}
}

// TestMessageWithUnknownFieldsIsRead guards against nodes that do not hear those of a later
// version, in which messages have more fields.
func TestMessageWithUnknownFieldsIsRead(t *testing.T) {
	later := map[int]any{1: 9, 2: map[int]any{1: 5, 2: int64(200 * time.Millisecond), 99: "new"}, 77: []int{1, 2}}
	data, err := cbor.Marshal(later)
	if err != nil {
		t.Fatal(err)
	}
	s := &Sidecar{node: mesh.New(mesh.Config{Instance: "10.0.0.1", Service: "front", DataCentre: "x"}), started: time.Now()}
	if err := s.receiveMessage("10.0.0.2", data); err != nil || len(s.node.PeerReports(s.now())) != 1 {
		t.Errorf("error %v, %d peers known; want none and 1", err, len(s.node.PeerReports(s.now())))
	}
}

// TestImpossibleValuesAreRefused guards against a message whose values make every plan wrong,
// such as a rate that is no number.
func TestImpossibleValuesAreRefused(t *testing.T) {
	nan := float32(math.NaN())
	for name, m := range map[string]mesh.Message{
		"demand":   {Version: 1, Demand: []mesh.DemandStat{{Offered: nan}}},
		"slots":    {Version: 1, Services: []mesh.ServiceSum{{Limit: -1}}},
		"interval": {Version: 1, Heartbeat: &mesh.Heartbeat{Interval: time.Hour}},
		"load":     {Version: 1, Heartbeat: &mesh.Heartbeat{Load: mesh.Load{Limit: -4}}},
	} {
		data, err := cbor.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		s := &Sidecar{node: mesh.New(mesh.Config{Instance: "10.0.0.1", Service: "front", DataCentre: "x"}), started: time.Now()}
		if err := s.receiveMessage("10.0.0.2", data); !errors.Is(err, errInvalidMessage) || len(s.node.PeerReports(s.now())) != 0 {
			t.Errorf("%s: error %v, want %v and nothing taken over", name, err, errInvalidMessage)
		}
	}
}

// FuzzReceiveMessage guards against a malformed or hostile datagram that takes a node down.
func FuzzReceiveMessage(f *testing.F) {
	for _, name := range []string{"heartbeat_without_version_full.cbor", "heartbeat_without_version_partial.cbor"} {
		data, err := os.ReadFile("testdata/" + name)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	for _, m := range exampleMessages() {
		data, err := cbor.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s := &Sidecar{node: mesh.New(mesh.Config{Instance: "10.0.0.1", Service: "front", DataCentre: "x"}), started: time.Now()}
		if err := s.receiveMessage("10.0.0.2", data); err != nil && !errors.Is(err, errInvalidMessage) {
			t.Errorf("error without mark: %v", err)
		}
		s.node.UpdatePlan(time.Second)
		for _, out := range s.node.DueMessages(time.Second) {
			if encoded, err := encodeMessage(&out); err != nil || len(encoded) > 2*mesh.MaxMessageBytes {
				t.Errorf("message of %d bytes, error %v", len(encoded), err)
			}
		}
	})
}

// exampleMessages returns one message of each kind.
func exampleMessages() []mesh.Message {
	address := []byte{10, 0, 0, 2}
	relay := mesh.Message{Version: mesh.MessageVersion, Incarnation: 7, DataCentre: "x", Round: 3, RefreshMS: 200, Nodes: 2}
	sums, states := relay, relay
	sums.Services = []mesh.ServiceSum{{
		Service: "deep", Requests: 4, Limit: 17, Capacities: []mesh.CapacityStat{{FaultLevel: 2, Slots: 17}},
		Roots: []mesh.RootStat{{Root: 21, SlotsInUse: 6.5, RunRate: 118}},
	}}
	sums.Demand = []mesh.DemandStat{{Root: 21, Priority: 2, Offered: 12, Admitted: 9, Served: 8}}
	sums.Covered = []string{"y"}
	states.Instances = []mesh.InstanceState{{Address: address, Incarnation: 5, Limit: 17, Routes: []mesh.RouteStat{{Route: 1, RunTime: time.Second}}}}
	states.Readers = []mesh.StoreReader{{Address: address, Version: 3, Revision: 20}}
	states.Crashes = []mesh.InstanceCrashes{{Address: address, Incarnation: 5, Crashes: []mesh.CrashStat{{Fingerprint: 99, Crashes: 1}}}}
	h := mesh.Heartbeat{Incarnation: 5, Interval: mesh.HeartbeatInterval, Service: "deep", Load: mesh.Load{Running: 1, Limit: 17}}
	return []mesh.Message{{Version: mesh.MessageVersion, Heartbeat: &h}, sums, states}
}
