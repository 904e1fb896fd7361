package sidecar

import (
	"math"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/shallotspool/shallotspool/core/mesh"
)

// TestCrashRecordsFitInDatagram guards against heartbeats that are not sent because many
// requests ran when an upstream crashed.
func TestCrashRecordsFitInDatagram(t *testing.T) {
	h := mesh.Heartbeat{
		Incarnation: math.MaxInt64, Era: math.MaxUint64, Revision: math.MaxUint64, RegistryDigest: math.MaxUint32, Version: math.MaxUint64,
		Service: "a-service-with-a-long-name-of-forty-bytes", Load: mesh.Load{Running: math.MaxInt32, Queued: math.MaxInt32, Limit: math.MaxInt32},
	}
	for i := range 500 {
		h.Crashes = append(h.Crashes, mesh.CrashStat{Fingerprint: math.MaxUint64 - uint64(i), Crashes: 2, AgeMS: math.MaxUint32, Trials: 9})
	}
	encoded, err := cbor.Marshal(h.For(mesh.DueHeartbeat{Partial: true, CrashPage: 3}))
	if err != nil || len(encoded) > maxHeartbeatBytes {
		t.Fatalf("%d bytes and error %v, want at most %d bytes", len(encoded), err, maxHeartbeatBytes)
	}
}
