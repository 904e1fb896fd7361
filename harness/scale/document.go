package scale

import (
	"fmt"
	"strings"

	"github.com/shallotspool/shallotspool/core/idempotency"
)

// The shape of the fleets. The ratio of services to nodes is that of the reference
// fleet, the largest to be supported: 4,300 targets in 800 services. Call chains are up
// to 12 services deep.
const (
	referenceNodes     = 4300
	referenceServices  = 800
	layerCount         = 12
	maxCalleesPerRoute = 3
	routesPerService   = 3
)

// serviceCount returns the number of services in a fleet with that many nodes.
func serviceCount(nodes int) int { return max(1, nodes*referenceServices/referenceNodes) }

// serviceName returns the name of service i.
func serviceName(i int) string { return fmt.Sprintf("service-%d", i) }

// documentText returns a version of a fleet's document. Its services are arranged in
// layers; each route calls up to maxCalleesPerRoute routes of the next layer.
func documentText(nodes, version int) []byte {
	services := serviceCount(nodes)
	var b strings.Builder
	fmt.Fprintf(&b, "version: %d\nname: fleet\nclasses: [payment, booking, lookup, report]\nresend_window: 30s\n", version)
	b.WriteString("answers:\n  bytes: 16777216\n  keys: 100000\ngroups: [shops, agents]\nservices:\n")
	for i := range services {
		fmt.Fprintf(&b, "  %s:\n    targets: %d\n    routes:\n", serviceName(i), targetCount(nodes, i))
		for r := range routesPerService {
			writeRoute(&b, services, i, r)
		}
	}
	return []byte(b.String())
}

// writeRoute writes route r of service i.
func writeRoute(b *strings.Builder, services, i, r int) {
	layer := i % layerCount
	fmt.Fprintf(b, "      route-%d:\n        method: GET\n        path: /items-%d/{id}\n        class: lookup\n", r, r)
	fmt.Fprintf(b, "        idempotent: true\n        wait: %dms\n        retries: 2\n", 3000-100*layer)
	var calls []string
	for k := range maxCalleesPerRoute {
		callee := i + 1 + k*layerCount
		if layer < layerCount-1 && callee < services && callee%layerCount == layer+1 {
			calls = append(calls, fmt.Sprintf("%s.route-%d", serviceName(callee), r))
		}
	}
	if len(calls) > 0 {
		fmt.Fprintf(b, "        calls: [%s]\n", strings.Join(calls, ", "))
	}
}

// targetCount returns the number of targets of service i.
func targetCount(nodes, i int) int {
	services := serviceCount(nodes)
	n := nodes / services
	if i < nodes%services {
		n++
	}
	return n
}

// placement says where one node of a fleet runs.
type placement struct{ target, service, dataCentre string }

// placeNodes returns the placements of all nodes, spread evenly over the data centres.
func placeNodes(nodes int) []placement {
	var list []placement
	for i := range serviceCount(nodes) {
		for k := range targetCount(nodes, i) {
			list = append(list, placement{
				target: idempotency.TargetName(serviceName(i), k+1), service: serviceName(i),
				dataCentre: fmt.Sprintf("dc%02d", len(list)%dataCentreCount),
			})
		}
	}
	return list
}
