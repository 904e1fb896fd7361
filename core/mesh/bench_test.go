package mesh

import (
	"fmt"
	"testing"
	"time"

	"github.com/shallotspool/shallotspool/core/registry"
	"github.com/shallotspool/shallotspool/core/route"
)

// largeFleetNode returns a node that knows a fleet of the long-run size: 4,300 instances of 800
// services in 14 data centres, and 64 routes of callers that use four services each.
func largeFleetNode() *Node {
	const instances, services, dataCentres, routes, servicesOfRoute = 4300, 800, 14, 64, 4
	n := New(Config{Instance: "10.0.0.0", Incarnation: 1, Service: "s0", DataCentre: "dc0", Seed: 1, RetryBounds: testRetryBounds})
	var entries []registry.Change
	for i := range instances {
		ip := fmt.Sprintf("10.%d.%d.%d", i/62500, i/250%250, i%250)
		entries = append(entries, registry.Change{ID: "i-" + ip, Revision: uint64(i + 1), Upstream: &registry.Upstream{
			ID: "i-" + ip, Service: fmt.Sprint("s", i%services), Address: ip + ":80", Instance: ip,
			DataCentre: fmt.Sprint("dc", i%dataCentres), Slots: 20, Revision: uint64(i + 1),
		}})
	}
	table := &route.Table{Version: 1}
	for i := range routes {
		r := testRoute(fmt.Sprint("s", i), true)
		table.Routes = append(table.Routes, r)
	}
	table.BuildIndex()
	n.SetTable(0, table)
	n.Registry().Replace(0, entries, registry.Position{Revision: instances})
	n.RegistryChanged()
	// The own data centre and all others, as relays tell them in their messages.
	for _, covered := range [][]string{nil, {"dc1", "dc2"}} {
		m := Message{Version: 1, Incarnation: 1, DataCentre: "dc0", Round: 1, Nodes: 4000, Covered: covered}
		for i := range services {
			sum := ServiceSum{Service: fmt.Sprint("s", i), Requests: 50, Limit: 90, Capacities: []CapacityStat{{Slots: 90}}}
			for r := range routes {
				if r%services/servicesOfRoute == i/servicesOfRoute {
					sum.Roots = append(sum.Roots, RootStat{Root: RouteID(table.Routes[r]), SlotsInUse: 10, RunRate: 50})
				}
			}
			m.Services = append(m.Services, sum)
		}
		for _, r := range table.Routes {
			m.Demand = append(m.Demand, DemandStat{Root: RouteID(r), Offered: 100, Admitted: 90, Served: 80})
		}
		n.relay.sources["dc0"] = &relaySource{instance: "10.0.0.14", heardAt: 0, incarnation: 1}
		n.ReceiveMessage(0, "10.0.0.14", m)
	}
	return n
}

// BenchmarkPlan measures a plan at the long-run size. It is made every HeartbeatInterval.
func BenchmarkPlan(b *testing.B) {
	n := largeFleetNode()
	for i := range b.N {
		n.relay.own.nodesAt, n.relay.others.nodesAt = 0, 0
		n.UpdatePlan(time.Duration(i+1) * time.Microsecond)
	}
}

// BenchmarkDueMessages measures what a node does every ExchangeInterval at the long-run size if
// it is no relay.
func BenchmarkDueMessages(b *testing.B) {
	n := largeFleetNode()
	for i := range b.N {
		n.DueMessages(time.Duration(i+1) * time.Microsecond)
	}
}
