package mesh

import (
	"cmp"
	"slices"
	"time"
)

// ServiceReport is the state of one service as of the last plan.
type ServiceReport struct {
	Service string
	// Slots is the usable number of slots of the service's upstreams, SlotsInUse the number
	// in use, and Backlog the number reserved for requests in their queues.
	Slots, SlotsInUse, Backlog float64
}

// ShareReport is the fraction of one route's requests that is admitted.
type ShareReport struct {
	Route uint32
	Share float64
}

// DemandReport is the demand of callers for one route at all nodes as of the last plan, with
// the loads from which the plan computed the route's share.
type DemandReport struct {
	Route uint32
	// Offered is the rate of all requests, Admitted of those admitted, and Served of those
	// that succeeded, per second.
	Offered, Admitted, Served float64
	// Loads holds the services that the requests use, sorted by name.
	Loads []LoadReport
}

// LoadReport is the load of a service per request of a route: the mean number of slots that
// one request per second keeps in use.
type LoadReport struct {
	Service string
	Load    float64
}

// PlanReport returns the inputs and results of the last plan. Routes with a share of 1
// are omitted.
func (n *Node) PlanReport() (services []ServiceReport, shares []ShareReport) {
	for name, view := range n.admission.services {
		r := ServiceReport{Service: name, Slots: view.slots, Backlog: view.backlog}
		for _, slotsInUse := range view.slotsInUse {
			r.SlotsInUse += slotsInUse
		}
		services = append(services, r)
	}
	for id, d := range n.admission.demand {
		if d.share < 1 {
			shares = append(shares, ShareReport{Route: id, Share: d.share})
		}
	}
	slices.SortFunc(services, func(a, b ServiceReport) int { return cmp.Compare(a.Service, b.Service) })
	slices.SortFunc(shares, func(a, b ShareReport) int { return cmp.Compare(a.Route, b.Route) })
	return services, shares
}

// DemandReports returns the demand from which the last plan was made, by falling rate of
// offered requests. Routes that are hardly used are omitted.
func (n *Node) DemandReports() (out []DemandReport) {
	for _, d := range n.admission.fleetDemand {
		if d.offered < minLoadRate {
			continue
		}
		out = append(out, DemandReport{Route: d.root, Offered: d.offered, Admitted: d.admitted, Served: d.served, Loads: n.admission.loadReports(d.root)})
	}
	slices.SortFunc(out, func(a, b DemandReport) int {
		return cmp.Or(cmp.Compare(b.Offered, a.Offered), cmp.Compare(a.Route, b.Route))
	})
	return out[:min(len(out), MaxHeartbeatRoutes)]
}

func (a *admission) loadReports(root uint32) (out []LoadReport) {
	for name, l := range a.loads[root] {
		if load := l.perRequest.get(); load > 0 && a.services[name] != nil {
			out = append(out, LoadReport{name, load})
		}
	}
	slices.SortFunc(out, func(a, b LoadReport) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// RouteName returns the name of the route with this ID in the table in force, empty if
// there is none.
func (n *Node) RouteName(id uint32) string {
	if n.table == nil {
		return ""
	}
	for _, r := range n.table.Routes {
		if RouteID(r) == id {
			return r.Name
		}
	}
	return ""
}

// PeerReport is the observed state of another instance.
type PeerReport struct {
	Instance string
	Load     Load
	// HeartbeatAge is the time since the last heartbeat of the instance.
	HeartbeatAge time.Duration
	// FaultShare is the fault share of its upstream.
	FaultShare      float64
	Ejected, Silent bool
}

// PeerReports returns the observed state of all instances from which heartbeats arrived.
func (n *Node) PeerReports(now time.Duration) (out []PeerReport) {
	for _, instance := range n.knownInstances() {
		if instance == n.cfg.Instance {
			continue
		}
		p := n.peers[instance]
		out = append(out, PeerReport{
			Instance: instance, Load: p.load, HeartbeatAge: now - p.heartbeatAt, FaultShare: n.faultShare(p),
			Ejected: p.outlier.Ejected(), Silent: p.silent(now),
		})
	}
	return out
}

// RetryReport is the state of one service's bound on retries.
type RetryReport struct {
	Service string
	// Arrived is the number of retries of all nodes within the window, and Allowed the
	// bound on it. Left is the number of retries that this node may still make.
	Arrived, Allowed, Left float64
}

// RetryReports returns the state of the bounds on retries of all services.
func (n *Node) RetryReports(now time.Duration) (out []RetryReport) {
	bounds := n.budget.bounds
	for name, view := range n.admission.services {
		out = append(out, RetryReport{
			Service: name, Arrived: view.retries, Allowed: bounds.Ratio*view.firstRuns + bounds.Slack,
			Left: max(n.directAllowance(now, name)-n.budget.service(name).direct.sum(now, bounds.Window), 0),
		})
	}
	slices.SortFunc(out, func(a, b RetryReport) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// CrashReport is the state of the records of requests that ran when upstreams crashed.
type CrashReport struct {
	// Held is the number of requests with a record, and Blocked the number of those that
	// are not run any more. Reported is the number of records in this node's heartbeats.
	Held, Blocked, Reported int
}

// CrashReport returns the state of the crash records.
func (n *Node) CrashReport(now time.Duration) CrashReport {
	r := CrashReport{Reported: len(n.suspects.Reports(now))}
	r.Held, r.Blocked = n.suspects.Len()
	return r
}

// TableAndStoreAge returns the time since the routing table came into force and since
// the store last answered this node. The first is negative if there is no table, the
// second if the store does not answer or this node does not read it.
func (n *Node) TableAndStoreAge(now time.Duration) (table, store time.Duration) {
	table, store = -1, -1
	if n.table != nil {
		table = now - n.tableAt
	}
	if n.storeAnsweredAt > 0 {
		store = now - n.storeAnsweredAt
	}
	return table, store
}

// RelayReport is the state of the exchange between nodes.
type RelayReport struct {
	// Collecting is set if this node gets the heartbeats of all nodes of its data centre.
	Collecting bool
	// OwnNodes and OtherNodes are the numbers of nodes of the own data centre and of all
	// others whose state the last plan is based on.
	OwnNodes, OtherNodes int
	// RoundAge is the time since a relay of the own data centre sent a round.
	RoundAge time.Duration
}

// RelayReport returns the state of the exchange between nodes.
func (n *Node) RelayReport(now time.Duration) RelayReport {
	known := n.fleetSums(now)
	return RelayReport{
		Collecting: n.relay.collecting, OwnNodes: known.own.nodes, OtherNodes: known.others.nodes, RoundAge: now - n.relay.roundAt,
	}
}
