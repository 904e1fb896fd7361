package engine

import (
	"time"

	"github.com/shallotspool/shallotspool/core/document"
)

// pastKeyPartition records that the keys of the node's service were partitioned
// over a different number of targets until recently. Owners under that
// partition may remember keys up to the time until.
type pastKeyPartition struct {
	targets int
	until   time.Duration
}

// maxPastKeyPartitions is the number of past partitions whose owners are looked
// up. If there are more, every new key waits.
const maxPastKeyPartitions = 8

// recordRepartition records the partition of keys that a new document replaced.
func (n *Node) recordRepartition(before *document.Document) {
	previous, current := before.Service(n.cfg.Service), n.doc.Service(n.cfg.Service)
	if previous == nil || current == nil || previous.TargetCount == current.TargetCount {
		return
	}
	window := max(before.ResendWindow, n.doc.ResendWindow) + resendWindowMargin
	n.pastKeyPartitions = append(n.pastKeyPartitions, pastKeyPartition{targets: previous.TargetCount, until: n.now + window})
}

// heldElsewhereUntil returns the time until which a former owner of c's key,
// under an earlier document, may remember it; 0 if this node was the only
// owner.
func (n *Node) heldElsewhereUntil(c *call) time.Duration {
	var until time.Duration
	for _, p := range n.pastKeyPartitions {
		former := &document.Service{Name: n.cfg.Service, TargetCount: p.targets}
		if len(n.pastKeyPartitions) > maxPastKeyPartitions || ownerOf(former, c.request.Key) != n.cfg.Self.Target {
			until = max(until, p.until)
		}
	}
	return until
}

// expirePastKeyPartitions drops the partitions under which no owner remembers
// keys any more.
func (n *Node) expirePastKeyPartitions() {
	for len(n.pastKeyPartitions) > 0 && n.pastKeyPartitions[0].until <= n.now {
		n.pastKeyPartitions = n.pastKeyPartitions[1:]
	}
}
