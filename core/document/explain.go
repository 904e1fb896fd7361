package document

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrNoRoute is returned for a request that matches no route of the document.
var ErrNoRoute = errors.New("no route fits")

// Explanation describes how a document applies to one request.
type Explanation struct {
	Service    string
	Route      string
	Class      string
	Idempotent bool
	Timeout    time.Duration
	// MaxAttempts is the maximum number of attempts in the whole call tree of a
	// request that enters by this route: the first attempt of each call and all
	// retries.
	MaxAttempts int
	// RetryBudget is the retry budget of the whole call tree.
	RetryBudget int
	// RetryOnLost reports whether an attempt that may have run is retried.
	RetryOnLost bool
	// Depth is the number of routes in the longest chain of calls.
	Depth int
	// Reasons explains the values above, one sentence per entry.
	Reasons []string
}

// Explain returns how d applies to a request to a service. The error is ErrNoRoute
// if no route matches.
func Explain(d *Document, service, method, path string) (*Explanation, error) {
	s := d.Service(service)
	if s == nil {
		return nil, errors.Wrapf(ErrNoRoute, "unknown service %q", service)
	}
	r := s.MatchRoute(method, path)
	if r == nil {
		return nil, errors.Wrapf(ErrNoRoute, "%s %s at %s", method, path, service)
	}
	calls, depth := d.measureCallTree(r, map[*Route]callTree{})
	e := &Explanation{
		Service: service, Route: r.Name, Class: d.ClassName(r.Class), Idempotent: r.Idempotent, Timeout: r.Timeout,
		MaxAttempts: calls + r.RetryBudget, RetryBudget: r.RetryBudget, RetryOnLost: r.RetryOnLost, Depth: depth,
	}
	e.Reasons = []string{
		fmt.Sprintf("%s %s is route %s by its path pattern %s", method, path, r.Name, r.Path),
		fmt.Sprintf("class %s is number %d of %d, the first is refused last", e.Class, r.Class+1, len(d.Classes)),
		fmt.Sprintf("%d calls in a chain %d deep and %d retries for all of them together", calls, depth, r.RetryBudget),
		explainRetries(r),
	}
	return e, nil
}

// explainRetries returns a sentence on which attempts of r are retried.
func explainRetries(r *Route) string {
	switch {
	case !r.Idempotent:
		return "not idempotent: an attempt is repeated only if it certainly did not run, and the key runs at most once"
	case r.RetryOnLost:
		return "idempotent: an attempt whose response was lost is repeated too"
	}
	return "retry_on is not_run: an attempt whose response was lost is not repeated"
}

// maxCountedCalls caps the count of calls: in a graph where routes share callees,
// the size of the call tree grows exponentially with the depth.
const maxCountedCalls = 1_000_000

// callTree is the size of the tree of calls that one execution of a route causes.
type callTree struct{ calls, depth int }

// measureCallTree returns the number of calls that one execution of r causes
// without retries, including the call of r itself and capped at maxCountedCalls,
// and the number of routes in the longest chain. memo holds the results for the
// routes already visited.
func (d *Document) measureCallTree(r *Route, memo map[*Route]callTree) (calls, depth int) {
	if tree, ok := memo[r]; ok {
		return tree.calls, tree.depth
	}
	calls = 1
	for _, name := range r.Callees {
		callee := d.Route(name)
		if callee == nil {
			continue
		}
		calleeCalls, calleeDepth := d.measureCallTree(callee, memo)
		calls = min(calls+calleeCalls, maxCountedCalls)
		depth = max(depth, calleeDepth)
	}
	memo[r] = callTree{calls, depth + 1}
	return calls, depth + 1
}
