package engine

import (
	"strings"

	"github.com/shallotspool/shallotspool/core/document"
)

// maxTreeSize is the upper bound of a computed call tree size.
const maxTreeSize = 1 << 20

// treeSizes caches the size of each route's call tree for one document.
type treeSizes struct {
	doc   *document.Document
	sizes map[*document.Route]int
}

// treeSize returns the number of calls in the call tree of r, including the
// call of r itself.
func (n *Node) treeSize(r *document.Route) int {
	if n.treeSizes.doc != n.doc {
		n.treeSizes = treeSizes{doc: n.doc, sizes: map[*document.Route]int{}}
	}
	return n.treeSizes.sizeOf(r)
}

// sizeOf computes the size of the call tree of r or returns the cached one.
func (t *treeSizes) sizeOf(r *document.Route) int {
	if size, ok := t.sizes[r]; ok {
		return size
	}
	// A route that calls itself, directly or indirectly, counts as too large to
	// retry.
	t.sizes[r] = maxTreeSize
	size := 1
	for _, name := range r.Callees {
		if child := t.findRoute(name); child != nil {
			size = min(size+t.sizeOf(child), maxTreeSize)
		}
	}
	t.sizes[r] = size
	return size
}

// findRoute returns the route with the given "service.route" name, or nil.
func (t *treeSizes) findRoute(name string) *document.Route {
	service, route, _ := strings.Cut(name, ".")
	s := t.doc.Service(service)
	if s == nil {
		return nil
	}
	for _, r := range s.Routes {
		if r.Name == route {
			return r
		}
	}
	return nil
}
