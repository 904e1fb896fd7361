package sidecar

import (
	"math"
	"testing"

	"github.com/shallotspool/shallotspool/core/mesh"
)

// TestStatisticsFitInDatagram guards against heartbeats that are not sent because a node uses
// many routes.
func TestStatisticsFitInDatagram(t *testing.T) {
	h := largeHeartbeat()
	for range mesh.MaxHeartbeatRoutes {
		h.Routes = append(h.Routes, mesh.RouteStat{Route: math.MaxUint32, RunTime: math.MaxInt64})
		h.Roots = append(h.Roots, mesh.RootStat{Root: math.MaxUint32, SlotsInUse: 0.1, RunRate: 0.1})
		h.Demand = append(h.Demand, mesh.DemandStat{
			Root: math.MaxUint32, Priority: math.MaxInt8, Idempotent: true, Offered: 0.1, Admitted: 0.1, Served: 0.1, ReturnedPercent: 100,
		})
	}
	checkFitsInDatagram(t, h)
}

// checkFitsInDatagram checks the size of a heartbeat in both formats.
func checkFitsInDatagram(t *testing.T, h mesh.Heartbeat) {
	for _, legacy := range []bool{false, true} {
		encoded, err := encodeMessage(&mesh.Outgoing{Legacy: legacy, Message: mesh.Message{Version: mesh.MessageVersion, Heartbeat: &h}})
		if err != nil || len(encoded) > mesh.MaxMessageBytes {
			t.Errorf("legacy format %v: %d bytes and error %v, want at most %d bytes", legacy, len(encoded), err, mesh.MaxMessageBytes)
		}
	}
}

// largeHeartbeat returns a heartbeat without lists whose fields take the most bytes.
func largeHeartbeat() mesh.Heartbeat {
	return mesh.Heartbeat{
		Incarnation: math.MaxInt64, Era: math.MaxUint64, Revision: math.MaxUint64, RegistryDigest: math.MaxUint32, Version: math.MaxUint64,
		Service: "a-service-with-a-long-name-of-forty-bytes", Load: mesh.Load{Running: math.MaxInt32, Queued: math.MaxInt32, Limit: math.MaxInt32},
	}
}

// TestCrashRecordsFitInDatagram guards against heartbeats that are not sent because many
// requests ran when an upstream crashed.
func TestCrashRecordsFitInDatagram(t *testing.T) {
	h := largeHeartbeat()
	for i := range 500 {
		h.Crashes = append(h.Crashes, mesh.CrashStat{Fingerprint: math.MaxUint64 - uint64(i), Crashes: 2, AgeMS: math.MaxUint32, Trials: 9})
	}
	checkFitsInDatagram(t, h.For(mesh.DueHeartbeat{Partial: true, CrashPage: 3}))
}
