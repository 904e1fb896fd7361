package spread

import (
	"fmt"
	"strings"

	"github.com/shallotspool/shallotspool/core/owner"
)

// The shape of the fleets, in the proportions of the two-year target: 4,300
// targets in 800 services, chains up to 12 deep.
const (
	targetNodes    = 4300
	targetServices = 800
	layers         = 12
	fanOut         = 3
	routes         = 3
)

// servicesOf returns the number of services in a fleet of that many nodes.
func servicesOf(nodes int) int { return max(1, nodes*targetServices/targetNodes) }

func serviceName(i int) string { return fmt.Sprintf("service-%d", i) }

// text returns a document for a fleet. Its services stand in layers, and each
// calls a few of the next layer.
func text(nodes, version int) []byte {
	services := servicesOf(nodes)
	var b strings.Builder
	fmt.Fprintf(&b, "version: %d\nname: fleet\nclasses: [payment, booking, lookup, report]\nresend_window: 30s\n", version)
	b.WriteString("answers:\n  bytes: 16777216\n  keys: 100000\ngroups: [shops, agents]\nservices:\n")
	for i := range services {
		fmt.Fprintf(&b, "  %s:\n    targets: %d\n    routes:\n", serviceName(i), targetsOf(nodes, i))
		for r := range routes {
			writeRoute(&b, services, i, r)
		}
	}
	return []byte(b.String())
}

func writeRoute(b *strings.Builder, services, i, r int) {
	layer := i % layers
	fmt.Fprintf(b, "      route-%d:\n        method: GET\n        path: /items-%d/{id}\n        class: lookup\n", r, r)
	fmt.Fprintf(b, "        idempotent: true\n        wait: %dms\n        retries: 2\n", 3000-100*layer)
	var calls []string
	for k := range fanOut {
		callee := i + 1 + k*layers
		if layer < layers-1 && callee < services && callee%layers == layer+1 {
			calls = append(calls, fmt.Sprintf("%s.route-%d", serviceName(callee), r))
		}
	}
	if len(calls) > 0 {
		fmt.Fprintf(b, "        calls: [%s]\n", strings.Join(calls, ", "))
	}
}

// targetsOf returns how many of the nodes belong to service i.
func targetsOf(nodes, i int) int {
	services := servicesOf(nodes)
	n := nodes / services
	if i < nodes%services {
		n++
	}
	return n
}

// place is one node of a fleet.
type place struct{ target, service, centre string }

// places returns the nodes of a fleet, spread over the data centres.
func places(nodes int) []place {
	var list []place
	for i := range servicesOf(nodes) {
		for k := range targetsOf(nodes, i) {
			list = append(list, place{
				target: owner.TargetName(serviceName(i), k+1), service: serviceName(i),
				centre: fmt.Sprintf("dc%02d", len(list)%dataCentres),
			})
		}
	}
	return list
}
