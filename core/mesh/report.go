package mesh

import (
	"cmp"
	"slices"
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
