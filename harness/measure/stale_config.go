package measure

import (
	"bytes"
	"fmt"
	"time"

	"github.com/shallotspool/shallotspool/core/idempotency"
	"github.com/shallotspool/shallotspool/harness/sim"
)

func init() { scenarios["stale_config"] = scenario{start: staleConfig} }

// The steps of case stale_config. When version 2 is in force at all nodes, the
// platform falls back to version 1. Then the network is partitioned, and the
// platform publishes version 3 in the isolated data centre dc0 only, so that the
// other nodes can get it only after the end of the partition.
const (
	publishVersion2At = loadStart - 2*time.Second
	partitionStart    = disturbanceStart + time.Second
	publishVersion3At = disturbanceStart + 2*time.Second
	partitionEnd      = disturbanceStart + 3*time.Second
	// maxConfigDelay is the maximum time from the end of the partition until
	// version 3 is in force at all nodes.
	maxConfigDelay = 12 * time.Second
)

// staleConfig serves an outdated document and partitions the network while
// instances are restarted.
func staleConfig(w *sim.World, d deployment, demand float64) {
	addExcessLoad(w, d, demand)
	initial := w.PublishedDocument(nil)
	at := func(when time.Duration, action func()) { w.After(when-w.Now(), action) }
	publish := func(version int) {
		w.PublishedDocument = func(*sim.Host) []byte { return setVersion(initial, version) }
	}
	at(publishVersion2At, func() { publish(2) })
	at(disturbanceStart, func() { publish(1) })
	at(partitionStart, func() { w.Disconnected = func(a, b string) bool { return a != b && (a == "dc0" || b == "dc0") } })
	at(publishVersion3At, func() {
		w.PublishedDocument = func(h *sim.Host) []byte {
			if h.DataCentre() == "dc0" {
				return setVersion(initial, 3)
			}
			return initial
		}
	})
	at(partitionEnd, func() { w.Disconnected = func(a, b string) bool { return false } })
	for i, service := range d.services {
		h := w.Host(idempotency.TargetName(service, 1+i%d.targetsPerService))
		at(disturbanceStart+time.Duration(i)*restartInterval, func() { restartGracefully(w, h) })
	}
	checkVersions(w)
}

// setVersion returns the text of a document of version 1 with another version.
func setVersion(text []byte, version int) []byte {
	return bytes.Replace(text, []byte("version: 1\n"), fmt.Appendf(nil, "version: %d\n", version), 1)
}

// checkVersions polls the version in force at each node. It panics if a version
// decreases, except to 0, which means that a restarted node has no document yet, or
// if a node does not have version 3 within maxConfigDelay, because a run that
// violates these invariants must not print a result line.
func checkVersions(w *sim.World) {
	last := map[*sim.Host]uint64{}
	var check func()
	check = func() {
		for _, h := range w.Hosts {
			s := h.Node.Status()
			version := s.Document.Version
			if version < last[h] && version != 0 {
				panic(fmt.Sprintf("%s changed from version %d back to %d at %v", h.Target, last[h], version, w.Now()))
			}
			last[h] = max(last[h], version)
			if late := w.Now() >= partitionEnd+maxConfigDelay; late && h.Alive() && version != 3 {
				panic(fmt.Sprintf("%s has version %d instead of 3 in force at %v", h.Target, version, w.Now()))
			}
		}
		w.After(checkInterval, check)
	}
	check()
}
