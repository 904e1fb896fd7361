// Package route defines the routing table that operators publish: virtual hosts
// with their routes, the services that the routes lead to, and the limits of
// callers.
package route

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Version orders tables: a node replaces its table only by one of a higher version.
type Version uint64

// Table is one version of the routing configuration. It must not be changed after
// Table.BuildIndex; its other methods are then safe for concurrent use.
type Table struct {
	Version  Version
	Routes   []*Route
	Services map[string]Service
	Limits   Limits

	// routesByHost is keyed by the host in lower case and holds the longest prefix
	// first.
	routesByHost map[string][]*Route
}

// Route applies to the requests for a host whose path begins with a prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent allows a request to run more than once.
	Idempotent bool
	// Timeout is the longest time that a caller waits for an answer, 0 if only the
	// caller's own deadline applies.
	Timeout time.Duration
	// Goal is the latency up to which an answer has its full value to the
	// caller, 0 if not stated.
	Goal time.Duration
	// Priority is the priority of the requests, 0 being the most important.
	Priority int
	// MaxAttempts is the highest number of upstreams that one request is sent to.
	MaxAttempts int
	// Split divides the requests among services. It has one element if the route
	// leads to a single service.
	Split []WeightedService
}

// WeightedService is a service that gets part of a route's requests. The part is
// the ratio of Weight to the sum of the weights in the split.
type WeightedService struct {
	Service string
	Weight  int
}

// Service holds the settings of one service.
type Service struct {
	Name string
	// HealthPath is the path at which its upstreams answer health checks.
	HealthPath string
	// MaxConnections is the number of connections that one upstream accepts from
	// all callers together, 0 if not stated.
	MaxConnections int
}

// Limits holds the bounds on the requests and the connections of a caller.
type Limits struct {
	// HeaderBytes and BodyBytes are the maximum sizes of a header and a body.
	HeaderBytes int
	BodyBytes   int
	// HeaderTime is the longest time that a caller may take to send a header, and
	// IdleTime the longest time that a connection may stay open without a request.
	HeaderTime time.Duration
	IdleTime   time.Duration
}

// BuildIndex builds the index that Table.Lookup uses. It must be called once,
// before any look-up.
func (t *Table) BuildIndex() {
	t.routesByHost = map[string][]*Route{}
	for _, r := range t.Routes {
		host := strings.ToLower(r.Host)
		t.routesByHost[host] = append(t.routesByHost[host], r)
	}
	for _, routes := range t.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int {
			return cmp.Compare(len(b.Prefix), len(a.Prefix))
		})
	}
}

// Lookup returns the route of host with the longest prefix that path begins with,
// or nil. It ignores the case of host, a port in host and a query in path.
func (t *Table) Lookup(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	path, _, _ = strings.Cut(path, "?")
	for _, r := range t.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Lists reports whether the table lists a service.
func (t *Table) Lists(service string) bool {
	_, listed := t.Services[service]
	return listed
}

// Key identifies the route across versions of the table.
func (r *Route) Key() string { return r.Host + r.Prefix }

// ServiceNames returns the names of the services that the route leads to, sorted. Those with weight 0
// are left out.
func (r *Route) ServiceNames() []string {
	var names []string
	for _, s := range r.Split {
		if s.Weight > 0 {
			names = append(names, s.Service)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}
