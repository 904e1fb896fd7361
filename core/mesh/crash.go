package mesh

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shallotspool/shallotspool/core/registry"
	"github.com/shallotspool/shallotspool/core/suspect"
)

const (
	// crashMemory is how long a crash counts against a request that is not blocked.
	crashMemory = time.Minute
	// blockMemory is how long a request stays blocked after it was last sent.
	blockMemory = 10 * time.Minute
	// maxCrashRecords bounds the requests for which crashes are recorded.
	maxCrashRecords = 4096
	// maxCompletions bounds the requests whose last completion at the local upstream is
	// remembered. It is the number of different requests that complete within some tens of
	// seconds, in 1 MB of memory.
	maxCompletions = 8192
	// maxHeartbeatCrashes bounds the crash records in one heartbeat, at about 15 bytes
	// each.
	maxHeartbeatCrashes = 40
)

// CrashStat reports a request that was running when the node's local upstream crashed, that
// the node blocks because of crashes anywhere, or that has completed since; see
// suspect.Report.
type CrashStat struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint uint64
	Crashes     uint8
	AgeMS       uint32
	Trials      uint8
}

func newSuspects(instance string, incarnation int64) *suspect.Table {
	return suspect.New(suspect.Config{
		Instance: instance, Incarnation: incarnation, SuspectRetention: crashMemory, BlockedRetention: blockMemory,
		MaxRecords: maxCrashRecords, MaxCompletions: maxCompletions,
	})
}

// RecordCrash records that the local upstream crashed while it ran w.
func (n *Node) RecordCrash(now time.Duration, w Work) {
	n.changeSuspect(now, n.cfg.Instance, w.Fingerprint, func() { n.suspects.RecordCrash(now, w.Started, w.Fingerprint) })
}

// RecordCompletion records that the local upstream answered w, with any status: it did not
// crash.
func (n *Node) RecordCompletion(now time.Duration, w Work) {
	n.changeSuspect(now, n.cfg.Instance, w.Fingerprint, func() { n.suspects.RecordCompletion(now, w.Fingerprint) })
}

// recordCrashes records the crashes that another node reports.
func (n *Node) recordCrashes(now time.Duration, instance string, incarnation int64, list []CrashStat) {
	for _, c := range list {
		age := time.Duration(c.AgeMS) * time.Millisecond
		n.changeSuspect(now, instance, c.Fingerprint, func() {
			if c.Crashes == 0 {
				n.suspects.MergeCompletion(now, c.Fingerprint, age)
				return
			}
			n.suspects.MergeCrashes(now, instance, incarnation, suspect.Report{Fingerprint: c.Fingerprint, Crashes: c.Crashes, Age: age, Trials: c.Trials})
		})
	}
}

// changeSuspect changes the evidence against a request as instance reports it, and records
// an event if that changes whether the request is blocked.
func (n *Node) changeSuspect(now time.Duration, instance string, fingerprint uint64, change func()) {
	wasBlocked := n.blocked(now, fingerprint)
	change()
	blocked := n.blocked(now, fingerprint)
	if blocked == wasBlocked {
		return
	}
	e := Event{Kind: EventRequestCleared, Instance: instance, Fingerprint: fingerprint}
	if blocked {
		e.Kind, e.Crashes = EventRequestBlocked, n.suspects.Crashes(fingerprint)
	}
	n.recordEvent(e)
}

// recordCrashAt records that the upstream of an instance crashed just now while it ran a
// call, as the answer says.
func (n *Node) recordCrashAt(now time.Duration, instance string, c *Call) {
	incarnation := n.cfg.Incarnation
	if instance != n.cfg.Instance {
		incarnation = n.peer(instance).heartbeat.Incarnation
	}
	n.recordCrashes(now, instance, incarnation, []CrashStat{{Fingerprint: c.fingerprint, Crashes: 1}})
}

// crashStats returns all crash records for the heartbeats.
func (n *Node) crashStats(now time.Duration) []CrashStat {
	reports := n.suspects.Reports(now)
	stats := make([]CrashStat, 0, len(reports))
	for _, r := range reports {
		stats = append(stats, CrashStat{Fingerprint: r.Fingerprint, Crashes: r.Crashes, AgeMS: uint32(r.Age.Milliseconds()), Trials: r.Trials})
	}
	return stats
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
	return n.suspects.Status(now, w.Fingerprint) == suspect.Blocked
}

// blocked reports whether a request has crashed upstreams so often that it must not run
// again, unless as a trial.
func (n *Node) blocked(now time.Duration, fingerprint uint64) bool {
	status := n.suspects.Status(now, fingerprint)
	return status == suspect.Blocked || status == suspect.OnTrial
}

// pickTrialUpstream returns the upstream that runs a request on trial, nil if there is none.
// All nodes that know the same eligible upstreams choose the same one, so that the node
// beside it lets only one copy run.
func (n *Node) pickTrialUpstream(now time.Duration, c *Call) (best *registry.Upstream, at *peer) {
	var highest uint64
	for _, u := range n.registry.ServiceUpstreams(c.Service) {
		p := n.peer(u.Instance)
		if !n.eligible(now, c, u, p) {
			continue
		}
		if weight := trialWeight(c.fingerprint, u.ID); best == nil || weight > highest {
			best, at, highest = u, p, weight
		}
	}
	return best, at
}

// trialWeight orders the upstreams for one request at random, but at all nodes alike.
func trialWeight(fingerprint uint64, upstream string) uint64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(fingerprint)
	_, _ = digest.WriteString(upstream)
	return digest.Sum64()
}
