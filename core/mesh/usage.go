package mesh

import (
	"cmp"
	"slices"
	"time"
)

// usage counts what each route of callers occupies at the own upstream.
type usage struct {
	roots map[uint32]*rootUsage
	at    time.Duration
}

// rootUsage is the part of one route.
type rootUsage struct {
	// running is the number of requests at the upstream, since changedAt, and
	// busy the time that they took together in this interval.
	running   int
	changedAt time.Duration
	busy      time.Duration
	// runs is the number of requests that began in this interval.
	runs int
	// busyRate is the slots in use and runRate the runs per second, smoothed.
	busyRate, runRate float64
}

func (r *rootUsage) pass(now time.Duration) {
	r.busy += time.Duration(r.running) * (now - r.changedAt)
	r.changedAt = now
}

// began takes in a run that begins.
func (u *usage) began(now time.Duration, root uint32) {
	r := u.roots[root]
	if r == nil {
		if len(u.roots) >= maxRoots {
			return
		}
		r = &rootUsage{changedAt: now}
		u.roots[root] = r
	}
	r.pass(now)
	r.running++
	r.runs++
}

// ended takes in the end of a run.
func (u *usage) ended(now time.Duration, root uint32) {
	r := u.roots[root]
	if r == nil || r.running == 0 {
		return
	}
	r.pass(now)
	r.running--
}

// close ends an interval.
func (u *usage) close(now time.Duration) {
	elapsed := (now - u.at).Seconds()
	if elapsed <= 0 {
		return
	}
	u.at = now
	for root, r := range u.roots {
		r.pass(now)
		r.busyRate += rateWeight * (r.busy.Seconds()/elapsed - r.busyRate)
		r.runRate += rateWeight * (float64(r.runs)/elapsed - r.runRate)
		r.busy, r.runs = 0, 0
		if r.running == 0 && r.runRate < forgetRate {
			delete(u.roots, root)
		}
	}
}

// stats returns the usage for the heartbeat, the strongest first.
func (u *usage) stats() []RootStat {
	out := make([]RootStat, 0, len(u.roots))
	for root, r := range u.roots {
		out = append(out, RootStat{Root: root, Busy: float32(r.busyRate), Runs: float32(r.runRate)})
	}
	slices.SortFunc(out, func(a, b RootStat) int {
		return cmp.Or(cmp.Compare(b.Busy, a.Busy), cmp.Compare(a.Root, b.Root))
	})
	return out[:min(len(out), maxToldRoots)]
}
