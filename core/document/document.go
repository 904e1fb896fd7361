// Package document parses, checks and compares the configuration document that
// operators publish for the whole fleet: the request classes by importance, the
// services with their routes, timeouts and retry limits. A Document must not be
// changed once it is in use; then all methods are safe for concurrent use.
package document

import "time"

// Version orders documents. A node never replaces its document by one with a lower
// version.
type Version uint64

// Class identifies a request class by its index in Document.Classes; 0 is the most
// important one.
type Class uint8

// NoClass is the class of a request that matches no route. It is larger than any
// index of a class, see MaxClasses.
const NoClass Class = 0xff

// Document is one configuration document.
type Document struct {
	Version Version
	Name    string
	// Classes are the names of the classes, the most important one first.
	Classes []string
	// ResendWindow is how long a caller may repeat a request with the same
	// idempotency key, counted from the first send.
	ResendWindow time.Duration
	// ResponseCache bounds the responses that the owner of an idempotency key keeps to
	// answer repeated requests.
	ResponseCache ResponseCacheLimits
	// Groups are the caller groups for which metrics are recorded separately.
	Groups   []string
	Services []*Service

	// services and routes are the look-up tables that BuildIndex builds. The keys of
	// routes have the form "service.route".
	services map[string]*Service
	routes   map[string]*Route
}

// ResponseCacheLimits bounds what a node keeps of finished calls that have an
// idempotency key.
type ResponseCacheLimits struct {
	// Bytes is the maximum total size of the kept response bodies, in bytes.
	Bytes int64
	// Keys is the maximum number of idempotency keys remembered at once.
	Keys int
}

// Service is one service and the routes it serves.
type Service struct {
	Name string
	// TargetCount is the number of stable target names, "name-1" to "name-N", over
	// which the idempotency keys are distributed.
	TargetCount int
	Routes      []*Route
}

// Route is one kind of request to a service, selected by method and path.
type Route struct {
	// Name is unique within the service.
	Name    string
	Service string
	Method  string
	// Path is a pattern of literal segments and "{name}" parameters; a parameter
	// matches exactly one segment.
	Path       string
	Class      Class
	Idempotent bool
	// Timeout is how long callers wait for the complete response.
	Timeout time.Duration
	// RetryBudget is the maximum number of retries in the whole call tree of a call
	// that enters the system by this route.
	RetryBudget int
	// RetryOnLost allows a retry after an attempt that may have run, for example
	// because its response was lost. It is false for every route that is not
	// idempotent: there, only attempts that certainly did not run are retried.
	RetryOnLost bool
	// Callees lists the routes that this one calls, as "service.route".
	Callees []string

	// segments is Path, split by BuildIndex.
	segments []string
}

// BuildIndex builds the look-up tables of d and sets Route.Service. Parse calls it; a
// Document that is built in another way needs it before its first use.
func (d *Document) BuildIndex() {
	d.services = make(map[string]*Service, len(d.Services))
	d.routes = map[string]*Route{}
	for _, s := range d.Services {
		d.services[s.Name] = s
		for _, r := range s.Routes {
			r.Service = s.Name
			d.routes[s.Name+"."+r.Name] = r
			r.segments = splitPath(r.Path)
		}
	}
}

// Service returns the named service, or nil if there is none.
func (d *Document) Service(name string) *Service { return d.services[name] }

// Route returns the route with the full name "service.route", or nil if there is
// none.
func (d *Document) Route(name string) *Route { return d.routes[name] }

// ClassName returns the name of c, or "unknown" if the document has no such class.
func (d *Document) ClassName(c Class) string {
	if int(c) >= len(d.Classes) {
		return "unknown"
	}
	return d.Classes[c]
}
