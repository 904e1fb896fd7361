package mesh

import (
	"time"

	"github.com/shallotspool/shallotspool/core/poison"
)

const (
	// crashMemory is how long a request is held to have crashed an upstream:
	// longer than callers go on sending the same one.
	crashMemory = time.Minute
	// maxCrashers bounds the requests held to have crashed an upstream.
	maxCrashers = 4096
	// maxToldCrashers bounds those in one heartbeat.
	maxToldCrashers = 8
)

// CrashStat is a request that ran when a node's own upstream crashed.
type CrashStat struct {
	_       struct{} `cbor:",toarray"`
	Print   uint64
	Crashes uint8
}

// WorkCrashed takes in that the own upstream crashed while it ran w.
func (n *Node) WorkCrashed(now time.Duration, w Work) {
	n.crashers.Crashed(now, n.cfg.Instance, w.Print)
}

// hearCrashes takes in what another node told.
func (n *Node) hearCrashes(now time.Duration, instance string, list []CrashStat) {
	for _, c := range list {
		n.crashers.Heard(now, instance, c.Print, c.Crashes, crashMemory)
	}
}

// crashStats returns the newest of the requests that crashed the own upstream.
func (n *Node) crashStats() []CrashStat {
	var out []CrashStat
	records := n.crashers.Records()
	for i := len(records) - 1; i >= 0 && len(out) < maxToldCrashers; i-- {
		if crashes := records[i].Crashes[n.cfg.Instance]; crashes > 0 {
			out = append(out, CrashStat{Print: records[i].Fingerprint, Crashes: crashes})
		}
	}
	return out
}

// crasher tells whether a request is held to crash whatever runs it.
func (n *Node) crasher(now time.Duration, print uint64) bool {
	return n.crashers.Standing(now, print) == poison.Condemned
}
