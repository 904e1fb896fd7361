package mesh

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/shallotspool/shallotspool/core/route"
)

const (
	// rateWeight is the weight of the newest interval in exponentially smoothed
	// request rates.
	rateWeight = 0.4
	// maxRoots bounds the number of root routes for which demand and usage are tracked.
	maxRoots = 512
	// maxCredit is the number of admissions that a route can save up, so that a short
	// burst of a few requests is not refused while the share of the route falls.
	maxCredit = 2
)

// routeDemand is the demand of callers at this node for one route.
type routeDemand struct {
	priority   int
	idempotent bool
	// offered, returned, admitted and served count requests in the current interval;
	// returned are those offered that were refused before. The rates are smoothed and in
	// requests per second.
	offered, returned, admitted, served                 int
	offeredRate, returnedRate, admittedRate, servedRate float64
	// share is the fraction of the requests that is admitted. Each request adds share
	// to credit, and each admission takes 1 from it.
	share  float64
	credit float64
	// minimum is the part of share that is admitted in any case. Each request adds it to
	// minimumCredit, and each admission that claims it takes 1.
	minimum       float64
	minimumCredit float64
}

// admission decides which requests of callers are admitted: as many as the services
// they use have capacity for, the most important first.
type admission struct {
	demand map[uint32]*routeDemand
	// loads holds, by root route, the loads of its requests at the services that they use.
	loads map[uint32]routeLoads
	// services is the view of each service as of the last plan.
	services map[string]*serviceView
	// fleetDemand is the demand at all nodes as of the last plan.
	fleetDemand []fleetDemand
	lastPlanAt  time.Duration
}

func newAdmission() admission {
	return admission{
		demand: map[uint32]*routeDemand{}, loads: map[uint32]routeLoads{},
		services: map[string]*serviceView{},
	}
}

// demandFor returns the demand for a route. It is nil if too many routes are tracked.
func (a *admission) demandFor(root uint32, r *route.Route) *routeDemand {
	d := a.demand[root]
	if d == nil && len(a.demand) < maxRoots {
		d = &routeDemand{share: 1, credit: 1}
		a.demand[root] = d
	}
	if d != nil {
		d.priority, d.idempotent = r.Priority, r.Idempotent
	}
	return d
}

// admit decides whether a request is admitted. Calls made by upstreams always are,
// because work was already done for the requests that they belong to.
func (n *Node) admit(c *Call) bool {
	if c.FromUpstream {
		return true
	}
	d := n.admission.demandFor(c.Rank.Root, c.Route)
	if d == nil {
		return true
	}
	d.offered++
	d.credit = min(d.credit+d.share, maxCredit)
	d.minimumCredit = min(d.minimumCredit+d.minimum, maxCredit)
	minCredit := 1.0
	if c.CallerRetry {
		d.returned++
		minCredit = minReturnCredit
	}
	if d.credit < minCredit {
		return false
	}
	d.credit--
	d.admitted++
	c.demand = d
	if d.claimMinimum() {
		c.Rank.Priority = highestPriority
	}
	return true
}

// UpdatePlan makes a new plan: it evaluates the heartbeats of all nodes and sets the
// fraction of each route's requests that is admitted. It must be called once per
// HeartbeatInterval.
func (n *Node) UpdatePlan(now time.Duration) {
	elapsed := (now - n.admission.lastPlanAt).Seconds()
	if elapsed <= 0 {
		return
	}
	n.admission.lastPlanAt = now
	for root, d := range n.admission.demand {
		d.offeredRate += rateWeight * (float64(d.offered)/elapsed - d.offeredRate)
		d.returnedRate += rateWeight * (float64(d.returned)/elapsed - d.returnedRate)
		d.admittedRate += rateWeight * (float64(d.admitted)/elapsed - d.admittedRate)
		d.servedRate += rateWeight * (float64(d.served)/elapsed - d.servedRate)
		d.offered, d.returned, d.admitted, d.served = 0, 0, 0, 0
		if d.offeredRate < minTrackedRate {
			delete(n.admission.demand, root)
		}
	}
	n.usage.endInterval(now)
	n.faults.endInterval()
	known := n.viewFleet(now)
	n.admission.updateLoads(n.admission.fleetDemand)
	n.setShares()
	n.notePlan(known.own)
	n.recordPeerChanges(now)
}

// Replan makes a new plan from the rates of the last one if relays have told news for which
// it should not wait.
func (n *Node) Replan(now time.Duration) {
	if n.planStale {
		n.viewFleet(now)
		n.setShares()
	}
}

// viewFleet evaluates what is known of all nodes.
func (n *Node) viewFleet(now time.Duration) *fleetSums {
	known := n.fleetSums(now)
	n.admission.services = n.viewServices(now, known)
	n.admission.fleetDemand = n.viewDemand(now, known)
	n.planStale = false
	return known
}

func (n *Node) setShares() {
	n.admission.setShares(n.admission.fleetDemand)
	n.nearCapacity = n.admission.nearCapacity()
}

// nearCapacity reports whether the requests at a service reach a large part of its
// concurrency limits, or a part of a route's requests is refused admission.
func (a *admission) nearCapacity() bool {
	for _, v := range a.services {
		if v.requests > nearCapacityThreshold*v.limit {
			return true
		}
	}
	for _, d := range a.demand {
		if d.share < 1 {
			return true
		}
	}
	return false
}

// minTrackedRate is the rate, in requests per second, below which a route is no longer
// tracked.
const minTrackedRate = 0.001

// stats returns the demand at this node for its heartbeat: the MaxHeartbeatRoutes routes
// with the highest rates of offered requests, sorted by falling rate.
func (a *admission) stats() []DemandStat {
	out := make([]DemandStat, 0, len(a.demand))
	for root, d := range a.demand {
		out = append(out, DemandStat{
			Root: root, Priority: int32(d.priority), Idempotent: d.idempotent, Offered: float32(d.offeredRate), Admitted: float32(d.admittedRate),
			Served: float32(d.servedRate), ReturnedPercent: d.returnedPercent(),
		})
	}
	slices.SortFunc(out, func(x, y DemandStat) int {
		return cmp.Or(cmp.Compare(y.Offered, x.Offered), cmp.Compare(x.Root, y.Root))
	})
	return out[:min(len(out), MaxHeartbeatRoutes)]
}

// returnedPercent returns the part of the offered requests that came back, in percent.
func (d *routeDemand) returnedPercent() uint8 {
	return returnedPercent(d.returnedRate, d.offeredRate)
}

func returnedPercent(returned, offered float64) uint8 {
	if offered <= 0 {
		return 0
	}
	return uint8(math.Round(100 * min(returned/offered, 1)))
}

// MaxHeartbeatRoutes bounds the routes of each list in one heartbeat, so that it fits in a datagram.
const MaxHeartbeatRoutes = 22
