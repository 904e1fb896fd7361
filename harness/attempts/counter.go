// Package attempts counts the attempts that all nodes together make for each
// request of a caller and compares them with the retry budget of the document.
package attempts

import (
	"slices"
	"strings"

	"github.com/shallotspool/shallotspool/core/document"
)

// Counter counts attempts by request. The key of a call made for a request starts
// with the key of the request and a slash. The zero value is ready for use. A
// Counter is not safe for concurrent use.
type Counter struct {
	// MaxAttempts is the highest number of attempts made for one request.
	MaxAttempts int
	// AttemptBudget is the budget of the request with the most attempts. If there are
	// several such requests, it is the smallest of their budgets.
	AttemptBudget int
	// OverBudget is the number of requests with more attempts than their budget.
	OverBudget int

	requests map[string]*requestAttempts
}

// requestAttempts holds the attempts made for one request, its budget and the entry
// nodes that it was sent to.
type requestAttempts struct {
	attempts int
	budget   int
	entries  []string
}

// Budget returns the number of attempts that the document allows for a request of
// a route at its entry node: one for each call in its call tree, plus its retries.
func Budget(doc *document.Document, route *document.Route) int {
	return callTreeSize(doc, route) + route.RetryBudget
}

// callTreeSize returns the number of calls in the call tree of a route, including
// the request itself.
func callTreeSize(doc *document.Document, route *document.Route) int {
	size := 1
	for _, name := range route.Callees {
		service, child, _ := strings.Cut(name, ".")
		for _, r := range doc.Service(service).Routes {
			if r.Name == child {
				size += callTreeSize(doc, r)
			}
		}
	}
	return size
}

// RecordEntry records that a caller sent a request to an entry node. Each entry
// node grants the budget separately, because entry nodes do not share their
// state.
func (c *Counter) RecordEntry(key, entry string, budget int) {
	if c.requests == nil {
		c.requests = map[string]*requestAttempts{}
	}
	r := c.requests[key]
	if r == nil {
		r = &requestAttempts{}
		c.requests[key] = r
	}
	if !slices.Contains(r.entries, entry) {
		r.entries = append(r.entries, entry)
		r.budget += budget
	}
}

// RecordAttempt records an attempt at a request or at a call made for it. key is
// the key of the request or call.
func (c *Counter) RecordAttempt(key string) {
	root, _, _ := strings.Cut(key, "/")
	r := c.requests[root]
	if r == nil {
		return
	}
	r.attempts++
	if r.attempts == r.budget+1 {
		c.OverBudget++
	}
	if r.attempts > c.MaxAttempts || r.attempts == c.MaxAttempts && r.budget < c.AttemptBudget {
		c.MaxAttempts, c.AttemptBudget = r.attempts, r.budget
	}
}
