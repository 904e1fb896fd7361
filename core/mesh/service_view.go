package mesh

import (
	"cmp"
	"slices"
	"time"

	"github.com/shallotspool/shallotspool/core/registry"
)

const (
	// queueDrainTime is the target time to work off the queue of a service. It equals the
	// interval between plans, because callers do not wait much longer than that for a
	// single call. For requests that run for longer, their run time is used instead.
	queueDrainTime = HeartbeatInterval
)

// serviceView aggregates the heartbeats of the nodes of one service.
type serviceView struct {
	// allSilent is set if the nodes beside all upstreams of the service are silent.
	allSilent bool
	// slots is the number of slots that all requests may use; see usableSlots. backlog
	// is the number of slots needed to work off the queues in queueDrainTime.
	slots, backlog float64
	// bestEffortSlots is the number of slots for requests that may use faulty upstreams;
	// see usableSlots. faultShare is the mean fault share.
	bestEffortSlots, faultShare float64
	// requests is the number of running and queued requests, and limit the sum of the
	// nodes' concurrency limits, including those of faulty upstreams.
	requests, limit float64
	// runRate is the number of runs per second.
	runRate float64
	// firstRuns and retries are the sums of the counts in the heartbeats.
	firstRuns, retries float64
	// slotsInUse holds the slots in use and runRates the runs per second, by root route.
	slotsInUse map[uint32]float64
	runRates   map[uint32]float64
}

// viewServices aggregates the current heartbeats by service.
func (n *Node) viewServices(now time.Duration) map[string]*serviceView {
	views := map[string]*serviceView{}
	n.registry.ForEachService(func(name string, list []*registry.Upstream) {
		view := &serviceView{allSilent: len(list) > 0, slotsInUse: map[uint32]float64{}, runRates: map[uint32]float64{}}
		var capacities []upstreamCapacity
		for _, u := range list {
			if h, ok := n.freshHeartbeat(now, u.Instance); ok && h.Service == name && !u.Draining {
				view.add(h)
				capacities = append(capacities, upstreamCapacity{float64(h.Load.Limit), float64(h.FaultShare)})
			}
			view.allSilent = view.allSilent && n.instanceSilent(now, u.Instance)
		}
		view.slots, view.bestEffortSlots = usableSlots(capacities, directShare*n.budget.bounds.Ratio)
		view.faultShare = meanFaultShare(capacities)
		views[name] = view
	})
	return views
}

// freshHeartbeat returns the last heartbeat of an instance, or the current one of this
// node. It reports false if the instance is unknown, silent or ejected.
func (n *Node) freshHeartbeat(now time.Duration, instance string) (Heartbeat, bool) {
	if instance == n.cfg.Instance {
		return n.Heartbeat(now), true
	}
	p := n.peers[instance]
	if p == nil || p.heartbeatAt == 0 || p.silent(now) || p.outlier.Ejected() {
		return Heartbeat{}, false
	}
	return p.heartbeat, true
}

// instanceSilent reports whether another instance that sent heartbeats has stopped
// sending them.
func (n *Node) instanceSilent(now time.Duration, instance string) bool {
	p := n.peers[instance]
	return instance != n.cfg.Instance && p != nil && p.silent(now)
}

// add adds the heartbeat of one node.
func (v *serviceView) add(h Heartbeat) {
	v.requests += float64(h.Load.Running + h.Load.Queued)
	v.limit += float64(h.Load.Limit)
	v.firstRuns += float64(h.FirstRuns)
	v.retries += float64(h.Retries)
	slotsInUse, runs := 0.0, 0.0
	for _, s := range h.Roots {
		v.slotsInUse[s.Root] += float64(s.SlotsInUse)
		v.runRates[s.Root] += float64(s.RunRate)
		slotsInUse += float64(s.SlotsInUse)
		runs += float64(s.RunRate)
	}
	v.runRate += runs
	if runs > 0 {
		meanRunTime := slotsInUse / runs // in seconds
		v.backlog += float64(h.Load.Queued) * meanRunTime / max(queueDrainTime.Seconds(), meanRunTime)
	}
}

// fleetDemand is the demand of callers at all nodes for one route. The rates are in
// requests per second.
type fleetDemand struct {
	root                                uint32
	priority                            int
	idempotent                          bool
	offered, admitted, served, returned float64
}

// viewDemand aggregates the demand reported by all nodes by route, the most important
// first.
func (n *Node) viewDemand(now time.Duration) []fleetDemand {
	sums := map[uint32]*fleetDemand{}
	for _, instance := range n.fleet(now) {
		h, ok := n.freshHeartbeat(now, instance)
		if !ok {
			continue
		}
		for _, s := range h.Demand {
			d := sums[s.Root]
			if d == nil {
				d = &fleetDemand{root: s.Root, priority: int(s.Priority), idempotent: s.Idempotent}
				sums[s.Root] = d
			}
			d.offered += float64(s.Offered)
			d.admitted += float64(s.Admitted)
			d.served += float64(s.Served)
			d.returned += float64(s.Offered) * float64(s.ReturnedPercent) / 100
		}
	}
	list := make([]fleetDemand, 0, len(sums))
	for _, d := range sums {
		list = append(list, *d)
	}
	slices.SortFunc(list, func(a, b fleetDemand) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.root, b.root))
	})
	return list
}
