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

// serviceView is what the plan knows of one service.
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

// viewServices aggregates what is known of the nodes of each service.
func (n *Node) viewServices(now time.Duration, known *fleetSums) map[string]*serviceView {
	views := map[string]*serviceView{}
	n.registry.ForEachService(func(name string, list []*registry.Upstream) {
		sum := ServiceSum{Service: name}
		for _, part := range []*sums{known.own, known.others} {
			if s := part.services[name]; s != nil {
				sum.add(s)
			}
		}
		allSilent := len(list) > 0
		for _, u := range list {
			allSilent = allSilent && n.instanceSilent(now, u.Instance)
			if h, ok := n.freshHeartbeat(now, u.Instance); ok && h.Service == name && !u.Draining && !known.covers(u.DataCentre) {
				sum.addUpstream(h)
			}
		}
		view := newServiceView(&sum, directShare*n.budget.bounds.Ratio)
		view.allSilent = allSilent
		views[name] = view
	})
	return views
}

// newServiceView returns the view of a service with these sums. retries is the number of
// retries allowed per call.
func newServiceView(sum *ServiceSum, retries float64) *serviceView {
	v := &serviceView{
		requests: float64(sum.Requests), limit: float64(sum.Limit), firstRuns: float64(sum.FirstRuns), retries: float64(sum.Retries),
		backlog: float64(sum.Backlog), slotsInUse: map[uint32]float64{}, runRates: map[uint32]float64{},
	}
	var capacities []upstreamCapacity
	for _, c := range sum.Capacities {
		capacities = append(capacities, upstreamCapacity{float64(c.Slots), faultShareOf(c.FaultLevel)})
	}
	v.slots, v.bestEffortSlots = usableSlots(capacities, retries)
	v.faultShare = meanFaultShare(capacities)
	for _, root := range sum.Roots {
		v.slotsInUse[root.Root] += float64(root.SlotsInUse)
		v.runRates[root.Root] += float64(root.RunRate)
		v.runRate += float64(root.RunRate)
	}
	return v
}

// fleetSums holds the sums over the own data centre and over those others that covered names.
type fleetSums struct {
	own, others   *sums
	ownDataCentre string
	covered       []string
}

func (n *Node) fleetSums(now time.Duration) *fleetSums {
	others, covered := n.otherSums(now)
	return &fleetSums{own: n.ownSums(now), others: others, ownDataCentre: n.cfg.DataCentre, covered: covered}
}

// covers reports whether the sums hold the nodes of a data centre.
func (f *fleetSums) covers(dataCentre string) bool {
	return dataCentre == f.ownDataCentre || slices.Contains(f.covered, dataCentre)
}

// freshHeartbeat returns the last heartbeat that came from an instance itself. It reports
// false if there is none or the instance is silent or ejected.
func (n *Node) freshHeartbeat(now time.Duration, instance string) (*Heartbeat, bool) {
	p := n.peers[instance]
	if p == nil || !p.reportsDirectly(now) || p.silent(now) || p.outlier.Ejected() {
		return nil, false
	}
	return &p.heartbeat, true
}

// instanceSilent reports whether another instance that sent heartbeats has stopped
// sending them.
func (n *Node) instanceSilent(now time.Duration, instance string) bool {
	p := n.peers[instance]
	return instance != n.cfg.Instance && p != nil && p.silent(now)
}

// fleetDemand is the demand of callers at all nodes for one route. The rates are in
// requests per second.
type fleetDemand struct {
	root                                uint32
	priority                            int
	idempotent                          bool
	offered, admitted, served, returned float64
}

// viewDemand returns the demand at all nodes by route, the most important first. Nodes of
// data centres that the sums do not hold count with the heartbeats that came from them.
func (n *Node) viewDemand(now time.Duration, known *fleetSums) []fleetDemand {
	total := newSums()
	total.add(known.own)
	total.add(known.others)
	for instance, p := range n.peers {
		dataCentre, registered := n.instances[instance]
		uncovered := registered && !known.covers(dataCentre) || !registered && p.legacyAt > 0
		if h, ok := n.freshHeartbeat(now, instance); ok && uncovered {
			for _, d := range h.Demand {
				total.addDemand(d)
			}
		}
	}
	list := make([]fleetDemand, 0, len(total.demand))
	for root, d := range total.demand {
		list = append(list, fleetDemand{
			root: root, priority: d.priority, idempotent: d.idempotent, offered: d.offered, admitted: d.admitted, served: d.served, returned: d.returned,
		})
	}
	slices.SortFunc(list, func(a, b fleetDemand) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.root, b.root))
	})
	return list
}
