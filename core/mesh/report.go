package mesh

import (
	"cmp"
	"slices"
	"time"
)

// ServiceReport is what a node believes of one service.
type ServiceReport struct {
	Service string
	// Slots is the number of requests that the upstreams heard of work on at
	// once, Busy those that they do, and Backlog the slots set aside for their
	// queues.
	Slots, Busy, Backlog float64
}

// ShareReport is the part of one route's requests that is let in.
type ShareReport struct {
	Route uint32
	Share float64
	// Offered is the rate of requests at this node, per second.
	Offered float64
}

// Report returns what the last plan was made from and what came of it; shares of
// 1 are left out.
func (n *Node) Report() (services []ServiceReport, shares []ShareReport) {
	for name, v := range n.entry.services {
		r := ServiceReport{Service: name, Slots: v.slots, Backlog: v.backlog}
		for _, busy := range v.busy {
			r.Busy += busy
		}
		services = append(services, r)
	}
	for id, d := range n.entry.roots {
		if d.share < 1 {
			shares = append(shares, ShareReport{Route: id, Share: d.share, Offered: d.offeredRate})
		}
	}
	slices.SortFunc(services, func(a, b ServiceReport) int { return cmp.Compare(a.Service, b.Service) })
	slices.SortFunc(shares, func(a, b ShareReport) int { return cmp.Compare(a.Route, b.Route) })
	return services, shares
}

// RouteName returns the name of a route of the table in force, empty if it has
// none with this id.
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

// PeerReport is what a node believes of another instance.
type PeerReport struct {
	Instance string
	Load     Load
	// BeatAge is the time since its last heartbeat, Faults the share of runs that
	// its upstream fails.
	BeatAge         time.Duration
	Faults          float64
	Ejected, Silent bool
}

// Peers returns what this node believes of the instances it heard of.
func (n *Node) Peers(now time.Duration) (out []PeerReport) {
	for _, instance := range n.known() {
		if instance == n.cfg.Instance {
			continue
		}
		p := n.peers[instance]
		out = append(out, PeerReport{
			Instance: instance, Load: p.load, BeatAge: now - p.beatAt, Faults: n.faultShare(p),
			Ejected: p.outlier.Ejected(), Silent: p.silent(now),
		})
	}
	return out
}

// RepeatsReport is where a service's bound on repeats stands.
type RepeatsReport struct {
	Service string
	// Arrived and Allowed are the repeats within the window, of all nodes; Left is
	// how many this node may still make.
	Arrived, Allowed, Left float64
}

// Repeats returns the bounds on repeats of all services.
func (n *Node) Repeats(now time.Duration) (out []RepeatsReport) {
	b := n.budget.bounds
	for name, v := range n.entry.services {
		out = append(out, RepeatsReport{
			Service: name, Arrived: v.repeats, Allowed: b.Ratio*v.firsts + b.Slack,
			Left: max(n.direct(now, name)-n.budget.service(name).direct.sum(now, b.Window), 0),
		})
	}
	slices.SortFunc(out, func(a, b RepeatsReport) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// Ages returns the time since the table came into force and since the store last
// answered this node; either is negative if it never was.
func (n *Node) Ages(now time.Duration) (table, store time.Duration) {
	table, store = -1, -1
	if n.table != nil {
		table = now - n.tableAt
	}
	if n.storeAt > 0 {
		store = now - n.storeAt
	}
	return table, store
}
