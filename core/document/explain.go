package document

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrNoRoute means that no route of the document fits a request.
var ErrNoRoute = errors.New("no route fits")

// Explanation is what a document says of one request.
type Explanation struct {
	Service    string
	Route      string
	Class      string
	Idempotent bool
	Wait       time.Duration
	// Attempts is the number of attempts that a call entering here makes at
	// most, over its whole chain: the first of each call and all retries.
	Attempts int
	Retries  int
	// RetryLost tells whether an attempt that may have run is repeated.
	RetryLost bool
	// Depth is the number of services in the longest chain of calls.
	Depth int
	// Why says in one sentence each where the values come from.
	Why []string
}

// Explain tells what d says of a request to a service; its error is ErrNoRoute
// when nothing fits.
func Explain(d *Document, service, method, path string) (*Explanation, error) {
	s := d.Service(service)
	if s == nil {
		return nil, errors.Wrapf(ErrNoRoute, "unknown service %q", service)
	}
	r := s.Resolve(method, path)
	if r == nil {
		return nil, errors.Wrapf(ErrNoRoute, "%s %s at %s", method, path, service)
	}
	calls, depth := d.span(r, map[*Route]span{})
	e := &Explanation{
		Service: service, Route: r.Name, Class: d.ClassName(r.Class), Idempotent: r.Idempotent, Wait: r.Wait,
		Attempts: calls + r.Retries, Retries: r.Retries, RetryLost: r.RetryLost, Depth: depth,
	}
	e.Why = []string{
		fmt.Sprintf("%s %s is route %s by its path pattern %s", method, path, r.Name, r.Path),
		fmt.Sprintf("class %s is number %d of %d, the first is refused last", e.Class, r.Class+1, len(d.Classes)),
		fmt.Sprintf("%d calls in a chain %d deep and %d retries for all of them together", calls, depth, r.Retries),
		retryRule(r),
	}
	return e, nil
}

func retryRule(r *Route) string {
	switch {
	case !r.Idempotent:
		return "not idempotent: an attempt is repeated only if it certainly did not run, and the key runs at most once"
	case r.RetryLost:
		return "idempotent: an attempt whose answer was lost is repeated too"
	}
	return "retry_on is not_run: an attempt whose answer was lost is not repeated"
}

// maxCalls is where the counting of calls ends.
const maxCalls = 1_000_000

// span is what one run of a route leads to.
type span struct{ calls, depth int }

// span counts the calls that one run of r leads to without retries, r's own
// included and at most maxCalls, and the services in the longest chain. known
// holds the routes already counted.
func (d *Document) span(r *Route, known map[*Route]span) (calls, depth int) {
	if s, ok := known[r]; ok {
		return s.calls, s.depth
	}
	calls = 1
	for _, name := range r.Calls {
		callee := d.Route(name)
		if callee == nil {
			continue
		}
		more, below := d.span(callee, known)
		calls = min(calls+more, maxCalls)
		depth = max(depth, below)
	}
	known[r] = span{calls, depth + 1}
	return calls, depth + 1
}
