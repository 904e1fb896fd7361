// Package attempts counts the attempts that all nodes together make for one
// request of a caller, and holds them against what its document allows.
package attempts

import (
	"slices"
	"strings"

	"github.com/shallotspool/shallotspool/core/document"
)

// Counter counts attempts by request. The key of a call made for a request is
// the request's own, a slash and more. The zero value is ready for use; it is
// not safe for concurrent use.
type Counter struct {
	// Max is the highest number of attempts made for one request, and MaxBudget
	// what that request could have.
	Max       int
	MaxBudget int
	// Over is the number of requests that had more attempts than they could.
	Over int

	requests map[string]*request
}

type request struct {
	attempts int
	budget   int
	entries  []string
}

// Budget is the number of attempts the document allows a request that enters by
// route: one for each call of its tree, and its retries.
func Budget(doc *document.Document, route *document.Route) int {
	return treeSize(doc, route) + route.Retries
}

func treeSize(doc *document.Document, route *document.Route) int {
	size := 1
	for _, name := range route.Calls {
		service, child, _ := strings.Cut(name, ".")
		for _, r := range doc.Service(service).Routes {
			if r.Name == child {
				size += treeSize(doc, r)
			}
		}
	}
	return size
}

// Entered tells that a caller sent a request to an entry node. A request has its
// budget once for each node it is sent to: one entry knows nothing of another's.
func (c *Counter) Entered(key, entry string, budget int) {
	if c.requests == nil {
		c.requests = map[string]*request{}
	}
	r := c.requests[key]
	if r == nil {
		r = &request{}
		c.requests[key] = r
	}
	if !slices.Contains(r.entries, entry) {
		r.entries = append(r.entries, entry)
		r.budget += budget
	}
}

// Attempted counts an attempt at a request or at any call made for it.
func (c *Counter) Attempted(key string) {
	root, _, _ := strings.Cut(key, "/")
	r := c.requests[root]
	if r == nil {
		return
	}
	r.attempts++
	if r.attempts == r.budget+1 {
		c.Over++
	}
	if r.attempts > c.Max || r.attempts == c.Max && r.budget < c.MaxBudget {
		c.Max, c.MaxBudget = r.attempts, r.budget
	}
}
