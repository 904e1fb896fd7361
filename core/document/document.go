// Package document holds the operators' document: the classes in their order,
// the services with their routes, and how long callers wait. A Document is
// immutable once built; all methods may be called from any goroutine.
package document

import "time"

// Version orders documents. A node never replaces a document by one with a
// lower or equal version.
type Version uint64

// Class is the rank of a class in the document's order; 0 matters most.
type Class uint8

// NoClass stands for the class of a request that no route fits. No document has
// so many classes.
const NoClass Class = 0xff

// Document is one checked document.
type Document struct {
	Version Version
	Name    string
	// Classes are the class names, the most important one first.
	Classes []string
	// ResendWindow is how long after the first send a caller may send the same
	// key again.
	ResendWindow time.Duration
	// Answers bounds the answers an owner holds for resends.
	Answers AnswerLimits
	// Groups are the caller groups that metrics are kept for.
	Groups   []string
	Services []*Service

	services map[string]*Service
	routes   map[string]*Route
}

// AnswerLimits bounds what a node keeps of finished calls.
type AnswerLimits struct {
	// Bytes is the sum of the bodies held, in bytes.
	Bytes int64
	// Keys is the number of keys remembered within the resend window.
	Keys int
}

// Service is one service of the call graph.
type Service struct {
	Name string
	// Targets is the number of stable target names, "name-1" to "name-N", that
	// keys are divided over.
	Targets int
	Routes  []*Route
}

// Route is one kind of request to a service.
type Route struct {
	// Name is unique in its service.
	Name    string
	Service string
	Method  string
	// Path is a pattern: literal segments, and "{name}" for any one segment.
	Path       string
	Class      Class
	Idempotent bool
	// Wait is how long callers wait for the whole answer.
	Wait time.Duration
	// Retries is the number of tokens a call that enters here has for retries,
	// over its whole call chain.
	Retries int
	// RetryLost allows a retry after an attempt that may have run. It is never
	// set for a route that is not idempotent: of such a route only an attempt
	// that certainly did not run is repeated.
	RetryLost bool
	// Calls names the routes, as "service.route", that this one calls.
	Calls []string

	segments []string
}

// Index prepares the look-ups of d. Parse calls it; a Document built by hand
// needs it before its first use.
func (d *Document) Index() {
	d.services = make(map[string]*Service, len(d.Services))
	d.routes = map[string]*Route{}
	for _, s := range d.Services {
		d.services[s.Name] = s
		for _, r := range s.Routes {
			r.Service = s.Name
			d.routes[s.Name+"."+r.Name] = r
			r.segments = split(r.Path)
		}
	}
}

// Service returns the named service, or nil.
func (d *Document) Service(name string) *Service { return d.services[name] }

// Route returns the route of the given name, "service.route", or nil.
func (d *Document) Route(name string) *Route { return d.routes[name] }

// ClassName returns the name of c, or "unknown" when the document has no such
// class.
func (d *Document) ClassName(c Class) string {
	if int(c) >= len(d.Classes) {
		return "unknown"
	}
	return d.Classes[c]
}
