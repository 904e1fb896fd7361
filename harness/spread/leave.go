package spread

import (
	"time"

	"github.com/shallotspool/shallotspool/core/engine"
	"github.com/shallotspool/shallotspool/core/wire"
)

// tellFor is how long the news that a node leaves is watched.
const tellFor = 5 * time.Second

// leaving watches who hears that one node leaves, while the platform's list goes
// on naming it.
type leaving struct {
	leaver *host
	since  time.Duration
	heard  map[*host]time.Duration
}

// notice is called with each frame that h receives.
func (l *leaving) notice(h *host, from wire.NodeID, f *wire.Frame) {
	if l.leaver == nil || l.heard[h] != 0 {
		return
	}
	target := l.leaver.id.Target
	own := from.Target == target && f.State != nil && f.State.State >= wire.NodeLeaving
	told := f.Member != nil && f.Member.Node.Target == target && f.Member.State >= wire.NodeLeaving
	if own || told {
		l.heard[h] = h.f.now - l.since
	}
}

// measureLeaving stops one node gracefully.
func (f *fleet) measureLeaving(r *Result) {
	leaver := f.hosts[0]
	f.leaving = leaving{leaver: leaver, since: f.now, heard: map[*host]time.Duration{}}
	leaver.step(&engine.StopRequested{})
	f.run(f.now+tellFor, never)
	for _, h := range f.hosts {
		took, heard := f.leaving.heard[h]
		switch {
		case h == leaver:
		case leaver.links[h]:
			r.LeavingLinked = max(r.LeavingLinked, took)
			if !heard {
				r.LeavingUntold++
			}
		case heard:
			r.LeavingTold++
		default:
			r.LeavingUnlinked++
		}
	}
}
