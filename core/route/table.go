// Package route holds the routing table that operators publish: virtual hosts
// with their routes, the services behind them and the limits of callers. A
// Table is immutable once indexed; its methods may be called from any goroutine.
package route

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Version orders tables; a node never replaces a table by an older one.
type Version uint64

// Table is one version of the configuration.
type Table struct {
	Version  Version
	Routes   []*Route
	Services map[string]Service
	Limits   Limits

	hosts map[string][]*Route
}

// Route is one kind of request, chosen by host and path prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent allows a request to run more than once.
	Idempotent bool
	// Timeout is the longest time that a caller is kept waiting, 0 if there is
	// no bound but the caller's own deadline.
	Timeout time.Duration
	// Goal is the latency within which an answer is worth most, 0 if not stated.
	Goal time.Duration
	// Priority ranks requests, 0 being the most important.
	Priority int
	// MaxAttempts is the number of upstreams that one request may reach.
	MaxAttempts int
	// Split divides the requests among services; a route to one service has one
	// share.
	Split []Share
}

// Share is the part of a route's requests that goes to one service.
type Share struct {
	Service string
	Weight  int
}

// Service is what the table states of one service.
type Service struct {
	Name string
	// HealthPath is where its upstreams answer health checks.
	HealthPath string
	// MaxConnections is the number of connections one upstream accepts from all
	// callers, 0 if not stated.
	MaxConnections int
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	// HeaderBytes and BodyBytes are the sizes of the largest header and body.
	HeaderBytes int
	BodyBytes   int
	// HeaderTime is how long a caller may take to send a header, and IdleTime
	// how long it may keep an unused connection open.
	HeaderTime time.Duration
	IdleTime   time.Duration
}

// Index prepares the look-ups of t; it is called once before the first use.
func (t *Table) Index() {
	t.hosts = map[string][]*Route{}
	for _, r := range t.Routes {
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int {
			return cmp.Compare(len(b.Prefix), len(a.Prefix))
		})
	}
}

// Lookup returns the route of host with the longest prefix that begins path, or
// nil. A port in host and the query in path are passed over.
func (t *Table) Lookup(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	path, _, _ = strings.Cut(path, "?")
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Key names the route across versions of the table.
func (r *Route) Key() string { return r.Host + r.Prefix }
