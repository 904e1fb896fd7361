package mesh

import (
	"cmp"
	"slices"
	"time"
)

// usage measures the slots in use and the runs at the local upstream by root route.
type usage struct {
	roots         map[uint32]*rootUsage
	intervalStart time.Duration
}

// rootUsage is the usage of one root route.
type rootUsage struct {
	// running is the number of running requests, constant since changedAt. slotTime is
	// the sum of their run times in the current interval.
	running   int
	changedAt time.Duration
	slotTime  time.Duration
	// runs is the number of runs started in the current interval.
	runs int
	// meanRunning is the smoothed mean number of running requests, and runRate the
	// smoothed rate of runs per second.
	meanRunning, runRate float64
}

func (r *rootUsage) accrue(now time.Duration) {
	r.slotTime += time.Duration(r.running) * (now - r.changedAt)
	r.changedAt = now
}

// start records the start of a run.
func (u *usage) start(now time.Duration, root uint32) {
	r := u.roots[root]
	if r == nil {
		if len(u.roots) >= maxRoots {
			return
		}
		r = &rootUsage{changedAt: now}
		u.roots[root] = r
	}
	r.accrue(now)
	r.running++
	r.runs++
}

// end records the end of a run.
func (u *usage) end(now time.Duration, root uint32) {
	r := u.roots[root]
	if r == nil || r.running == 0 {
		return
	}
	r.accrue(now)
	r.running--
}

// endInterval updates the smoothed rates and starts a new interval.
func (u *usage) endInterval(now time.Duration) {
	elapsed := (now - u.intervalStart).Seconds()
	if elapsed <= 0 {
		return
	}
	u.intervalStart = now
	for root, r := range u.roots {
		r.accrue(now)
		r.meanRunning += rateWeight * (r.slotTime.Seconds()/elapsed - r.meanRunning)
		r.runRate += rateWeight * (float64(r.runs)/elapsed - r.runRate)
		r.slotTime, r.runs = 0, 0
		if r.running == 0 && r.runRate < minTrackedRate {
			delete(u.roots, root)
		}
	}
}

// meanRunTime returns the mean run time of all requests, or defaultRunTime if there were
// hardly any.
func (u *usage) meanRunTime() time.Duration {
	running, rate := 0.0, 0.0
	for _, r := range u.roots {
		running += r.meanRunning
		rate += r.runRate
	}
	if rate < minTrackedRate {
		return defaultRunTime
	}
	return time.Duration(running / rate * float64(time.Second))
}

// stats returns the usage for the heartbeat, sorted by falling number of slots in use.
func (u *usage) stats() []RootStat {
	out := make([]RootStat, 0, len(u.roots))
	for root, r := range u.roots {
		out = append(out, RootStat{Root: root, SlotsInUse: float32(r.meanRunning), RunRate: float32(r.runRate)})
	}
	slices.SortFunc(out, func(a, b RootStat) int {
		return cmp.Or(cmp.Compare(b.SlotsInUse, a.SlotsInUse), cmp.Compare(a.Root, b.Root))
	})
	return out[:min(len(out), MaxHeartbeatRoutes)]
}
