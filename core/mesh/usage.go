package mesh

import (
	"cmp"
	"slices"
	"time"
)

// usage counts what each route of callers occupies at the own upstream.
type usage struct {
	roots map[uint32]*rootUsage
}

// rootUsage is the part of one route.
type rootUsage struct {
	// busy is the time of the runs that ended in this interval, and runs their
	// number.
	busy time.Duration
	runs int
	// busyRate is the slots in use and runRate the runs per second, smoothed.
	busyRate, runRate float64
}

// ended takes in a run that took d.
func (u *usage) ended(root uint32, d time.Duration) {
	r := u.roots[root]
	if r == nil {
		if len(u.roots) >= maxRoots {
			return
		}
		r = &rootUsage{}
		u.roots[root] = r
	}
	r.busy += d
	r.runs++
}

// close ends an interval of elapsed seconds.
func (u *usage) close(elapsed float64) {
	for root, r := range u.roots {
		r.busyRate += rateWeight * (r.busy.Seconds()/elapsed - r.busyRate)
		r.runRate += rateWeight * (float64(r.runs)/elapsed - r.runRate)
		r.busy, r.runs = 0, 0
		if r.runRate < forgetRate {
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
