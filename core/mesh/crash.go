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
// that the node fails because of crashes anywhere. Crashes is then poison.MaxCrashes. It
// is 0 for a former suspect that has completed at the local upstream.
type CrashStat struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint uint64
	Crashes     uint8
	// RemainingMS is how long the report still counts, in milliseconds. For requests that
	// the node fails it is rounded down to seconds, so that a report that comes back to its
	// sender cannot lengthen a record.
	RemainingMS uint32
}

// RecordCrash records that the local upstream crashed while it ran w.
func (n *Node) RecordCrash(now time.Duration, w Work) {
	n.changeCrashRecord(now, n.cfg.Instance, w.Fingerprint, func() {
		n.crashRecords.RecordCrash(now, n.cfg.Instance, w.Fingerprint)
	})
}

// changeCrashRecord changes the record of a request as instance reports it, and records an
// event if that changes whether the request may run.
func (n *Node) changeCrashRecord(now time.Duration, instance string, fingerprint uint64, change func()) {
	wasBlocked := n.crashesUpstreams(now, fingerprint)
	change()
	blocked := n.crashesUpstreams(now, fingerprint)
	if blocked == wasBlocked {
		return
	}
	e := Event{Kind: EventRequestCleared, Instance: instance, Fingerprint: fingerprint}
	if blocked {
		e.Kind, e.Crashes = EventRequestBlocked, n.crashRecords.Crashes(fingerprint)
	}
	n.recordEvent(e)
}

// recordCrashes records the crashes that another node reports.
func (n *Node) recordCrashes(now time.Duration, instance string, list []CrashStat) {
	for _, crash := range list {
		remaining := min(time.Duration(crash.RemainingMS)*time.Millisecond, crashMemory)
		n.changeCrashRecord(now, instance, crash.Fingerprint, func() {
			if crash.Crashes == 0 {
				n.crashRecords.MergeSuccess(now, crash.Fingerprint, remaining)
				return
			}
			n.crashRecords.MergeReport(now, instance, crash.Fingerprint, crash.Crashes, remaining)
		})
	}
}

// crashStats returns all blocked requests, then the suspects that ran during one crash of
// the local upstream, the most recent first, then the former suspects that completed there.
// Every node reports the blocked ones, so that they stay known when the nodes beside the
// crashed upstreams restart.
func (n *Node) crashStats(now time.Duration) []CrashStat {
	n.crashRecords.Tick(now)
	var blocked, suspects []CrashStat
	for _, r := range slices.Backward(n.crashRecords.Records()) {
		remaining := r.ExpiresAt - now
		crashes := r.Crashes[n.cfg.Instance]
		switch {
		case n.crashesUpstreams(now, r.Fingerprint):
			blocked = append(blocked, newCrashStat(r.Fingerprint, poison.MaxCrashes, remaining.Truncate(time.Second)))
		case crashes > 0:
			suspects = append(suspects, newCrashStat(r.Fingerprint, crashes, remaining))
		}
	}
	stats := append(blocked, suspects...)
	n.crashRecords.ForEachOwnSuccess(now, func(fingerprint uint64, remaining time.Duration) {
		stats = append(stats, newCrashStat(fingerprint, 0, remaining))
	})
	return stats
}

func newCrashStat(fingerprint uint64, crashes uint8, remaining time.Duration) CrashStat {
	return CrashStat{Fingerprint: fingerprint, Crashes: crashes, RemainingMS: uint32(remaining.Milliseconds())}
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
