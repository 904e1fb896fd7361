package engine

import (
	"strings"

	"github.com/shallotspool/shallotspool/core/document"
)

// maxTree bounds what is counted of a call tree.
const maxTree = 1 << 20

// treeSizes holds the size of each route's call tree, as the document states
// it, for one document.
type treeSizes struct {
	doc   *document.Document
	sizes map[*document.Route]int
}

// treeSize returns the number of calls in the tree below a call of r, itself
// included.
func (n *Node) treeSize(r *document.Route) int {
	if n.trees.doc != n.doc {
		n.trees = treeSizes{doc: n.doc, sizes: map[*document.Route]int{}}
	}
	return n.trees.of(r)
}

func (t *treeSizes) of(r *document.Route) int {
	if size, ok := t.sizes[r]; ok {
		return size
	}
	// A route that is met again below itself counts as too large to repeat.
	t.sizes[r] = maxTree
	size := 1
	for _, name := range r.Calls {
		if child := t.route(name); child != nil {
			size = min(size+t.of(child), maxTree)
		}
	}
	t.sizes[r] = size
	return size
}

// route finds a route by its "service.route" name.
func (t *treeSizes) route(name string) *document.Route {
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
