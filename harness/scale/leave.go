package scale

import (
	"time"

	"github.com/shallotspool/shallotspool/core/engine"
	"github.com/shallotspool/shallotspool/core/wire"
)

// leaveObservationTime is how long nodes are observed after one node starts to leave.
const leaveObservationTime = 5 * time.Second

// leaveObserver records which nodes learn that one node leaves. The member list of the
// platform keeps naming that node, so they can learn it only from it or other nodes.
type leaveObserver struct {
	leaver        *host
	leftAt        time.Duration
	notifiedAfter map[*host]time.Duration // time from leftAt until the host learnt it
}

// onFrame is called for each frame that h receives.
func (o *leaveObserver) onFrame(h *host, from wire.NodeID, f *wire.Frame) {
	if o.leaver == nil || o.notifiedAfter[h] != 0 {
		return
	}
	target := o.leaver.id.Target
	byLeaver := from.Target == target && f.Heartbeat != nil && f.Heartbeat.State >= wire.NodeLeaving
	byGossip := f.Member != nil && f.Member.Node.Target == target && f.Member.State >= wire.NodeLeaving
	if byLeaver || byGossip {
		o.notifiedAfter[h] = h.fleet.now - o.leftAt
	}
}

// measureLeaving stops one node gracefully and counts the nodes that learn of it.
func (f *fleet) measureLeaving(r *Result) {
	leaver := f.hosts[0]
	f.leaveObserver = leaveObserver{leaver: leaver, leftAt: f.now, notifiedAfter: map[*host]time.Duration{}}
	leaver.step(&engine.StopRequested{})
	f.run(f.now+leaveObservationTime, neverDone)
	for _, h := range f.hosts {
		delay, notified := f.leaveObserver.notifiedAfter[h]
		switch {
		case h == leaver:
		case leaver.links[h]:
			r.LeaveDelayLinked = max(r.LeaveDelayLinked, delay)
			if !notified {
				r.LeaveUnknownLinked++
			}
		case notified:
			r.LeaveKnownUnlinked++
		default:
			r.LeaveUnknownUnlinked++
		}
	}
}
