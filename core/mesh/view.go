package mesh

import (
	"cmp"
	"slices"
	"time"

	"github.com/shallotspool/shallotspool/core/registry"
)

const (
	// drainTime is the time within which a backlog is to be worked off: until the
	// next plan, as callers do not wait much longer than that for one step. Where
	// a request runs for longer, that is the time.
	drainTime = HeartbeatInterval
)

// serviceView sums up what the nodes of one service told.
type serviceView struct {
	// lost tells that all its upstreams fell silent.
	lost bool
	// slots is the number of requests that its upstreams can work on at once, see
	// usableSlots, and backlog the slots that it takes to work off the queue in
	// drainTime.
	slots, backlog float64
	// most is the slots for requests that may fail, see room, and faults the mean
	// share of runs that fail there.
	most, faults float64
	// calls is the number of requests that run or wait, places the number of them
	// that may run.
	calls, places float64
	runs          float64
	// firsts and repeats sum up those of the heartbeats.
	firsts, repeats float64
	busy            map[uint32]float64
	visited         map[uint32]float64
}

// viewServices sums up the fresh heartbeats by service.
func (n *Node) viewServices(now time.Duration) map[string]*serviceView {
	views := map[string]*serviceView{}
	n.registry.Services(func(name string, list []*registry.Upstream) {
		v := &serviceView{lost: len(list) > 0, busy: map[uint32]float64{}, visited: map[uint32]float64{}}
		var offers []offer
		for _, u := range list {
			if b, ok := n.freshBeat(now, u.Instance); ok && b.Service == name && !u.Draining {
				v.add(b)
				offers = append(offers, offer{float64(b.Load.Limit), float64(b.Faults)})
			}
			v.lost = v.lost && n.fellSilent(now, u.Instance)
		}
		v.slots, v.most = usableSlots(offers, directShare*n.budget.bounds.Ratio)
		v.faults = meanFaults(offers)
		views[name] = v
	})
	return views
}

// freshBeat returns the newest heartbeat of an instance, its own among them.
func (n *Node) freshBeat(now time.Duration, instance string) (Heartbeat, bool) {
	if instance == n.cfg.Instance {
		return n.Heartbeat(now), true
	}
	p := n.peers[instance]
	if p == nil || p.beatAt == 0 || p.silent(now) || p.outlier.Ejected() {
		return Heartbeat{}, false
	}
	return p.beat, true
}

// fellSilent tells whether an instance was heard of, but not of late.
func (n *Node) fellSilent(now time.Duration, instance string) bool {
	p := n.peers[instance]
	return instance != n.cfg.Instance && p != nil && p.silent(now)
}

func (v *serviceView) add(b Heartbeat) {
	v.calls += float64(b.Load.Running + b.Load.Queued)
	v.places += float64(b.Load.Limit)
	v.firsts += float64(b.Firsts)
	v.repeats += float64(b.Repeats)
	busy, runs := 0.0, 0.0
	for _, s := range b.Roots {
		v.busy[s.Root] += float64(s.Busy)
		v.visited[s.Root] += float64(s.Runs)
		busy += float64(s.Busy)
		runs += float64(s.Runs)
	}
	v.runs += runs
	if runs > 0 {
		mean := busy / runs
		v.backlog += float64(b.Load.Queued) * mean / max(drainTime.Seconds(), mean)
	}
}

// fleetDemand is what callers of all nodes ask for on one route.
type fleetDemand struct {
	id                        uint32
	priority                  int
	repeatable                bool
	offered, admitted, served float64
}

// viewDemand sums up the demand that all nodes told, by route, the most
// important first.
func (n *Node) viewDemand(now time.Duration) []fleetDemand {
	sums := map[uint32]*fleetDemand{}
	for _, instance := range n.fleet(now) {
		b, ok := n.freshBeat(now, instance)
		if !ok {
			continue
		}
		for _, s := range b.Demand {
			d := sums[s.Root]
			if d == nil {
				d = &fleetDemand{id: s.Root, priority: int(s.Priority), repeatable: s.Repeatable}
				sums[s.Root] = d
			}
			d.offered += float64(s.Offered)
			d.admitted += float64(s.Admitted)
			d.served += float64(s.Served)
		}
	}
	list := make([]fleetDemand, 0, len(sums))
	for _, d := range sums {
		list = append(list, *d)
	}
	slices.SortFunc(list, func(a, b fleetDemand) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.id, b.id))
	})
	return list
}
