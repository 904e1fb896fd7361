package mesh

import (
	"slices"
	"time"

	"github.com/shallotspool/shallotspool/core/poison"
)

const (
	// crashMemory is how long a crash counts against a request. It exceeds the time
	// for which callers keep sending the same request.
	crashMemory = time.Minute
	// maxCrashRecords bounds the requests for which crashes are recorded.
	maxCrashRecords = 4096
	// maxHeartbeatCrashes bounds the crash records in one heartbeat, at about 13 bytes
	// each.
	maxHeartbeatCrashes = 40
)

// CrashStat reports a request that was running when the node's local upstream crashed, or
// that the node fails because of crashes anywhere. Crashes is then poison.MaxCrashes.
type CrashStat struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint uint64
	Crashes     uint8
	// RemainingSeconds is how long the crashes still count, rounded down, so that a report
	// that comes back to its sender cannot lengthen a record.
	RemainingSeconds uint8
}

// RecordCrash records that the local upstream crashed while it ran w.
func (n *Node) RecordCrash(now time.Duration, w Work) {
	n.crashRecords.RecordCrash(now, n.cfg.Instance, w.Fingerprint)
}

// recordCrashes records the crashes that another node reports.
func (n *Node) recordCrashes(now time.Duration, instance string, list []CrashStat) {
	for _, crash := range list {
		n.crashRecords.MergeReport(now, instance, crash.Fingerprint, crash.Crashes, time.Duration(crash.RemainingSeconds)*time.Second)
	}
}

// crashStats returns all blocked requests, and then those that ran during one crash of
// the local upstream, each the most recent first. Every node reports the blocked ones, so
// that they stay known when the nodes beside the crashed upstreams restart.
func (n *Node) crashStats(now time.Duration) []CrashStat {
	n.crashRecords.Tick(now)
	var blocked, suspects []CrashStat
	for _, r := range slices.Backward(n.crashRecords.Records()) {
		stat := CrashStat{Fingerprint: r.Fingerprint, Crashes: r.Crashes[n.cfg.Instance], RemainingSeconds: uint8((r.ExpiresAt - now) / time.Second)}
		switch {
		case n.crashesUpstreams(now, r.Fingerprint):
			stat.Crashes = poison.MaxCrashes
			blocked = append(blocked, stat)
		case stat.Crashes > 0:
			suspects = append(suspects, stat)
		}
	}
	return append(blocked, suspects...)
}

// crashPages returns the number of heartbeats that n crash records take.
func crashPages(n int) int { return max((n+maxHeartbeatCrashes-1)/maxHeartbeatCrashes, 1) }

// crashPage returns one page of the crash records. Successive heartbeats to an instance
// carry successive pages, so that it gets all records, again and again.
func crashPage(all []CrashStat, page int) []CrashStat {
	start := page % crashPages(len(all)) * maxHeartbeatCrashes
	return all[start:min(start+maxHeartbeatCrashes, len(all))]
}

// BlocksWork reports whether w has crashed upstreams so often that it must not run at the
// local one, though the node where it entered let it pass.
func (n *Node) BlocksWork(now time.Duration, w Work) bool {
	return n.crashesUpstreams(now, w.Fingerprint)
}

// crashesUpstreams reports whether a request has crashed upstreams so often that it
// must not run again.
func (n *Node) crashesUpstreams(now time.Duration, fingerprint uint64) bool {
	return n.crashRecords.Status(now, fingerprint) == poison.Blocked
}
