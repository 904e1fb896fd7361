package mesh

import "time"

// lineage is what calls of the own upstream inherit from the request on whose
// behalf they are made.
type lineage struct {
	rank  Rank
	since time.Duration
	// open and failed count the calls made for it.
	open, failed int
}

// maxOpenWork bounds the requests whose calls are recognised; see guard's queue.
const maxOpenWork = 8192

// open remembers a request that the own upstream has, by its id.
func (n *Node) open(now time.Duration, w Work) {
	if w.Name == "" || len(n.working) >= maxOpenWork {
		return
	}
	n.working[w.Name] = &lineage{rank: w.Rank, since: now - w.Rank.Age}
}

// inherit gives a call the rank of the request it is made for, if that is one
// that the own upstream has now. Anything else is a request of a caller.
func (n *Node) inherit(now time.Duration, c *Call, parent string) {
	l, known := n.working[parent]
	if parent == "" || !known {
		return
	}
	l.open++
	c.origin, c.Inner = l, true
	c.Rank = l.rank
	c.Rank.Age = now - l.since
}

// conclude passes s on; if it is the last step of c, the request that c was made
// for takes note, or the demand that it is a part of. ok tells that c succeeded.
func (c *Call) conclude(s Step, ok bool) Step {
	if s.Kind != StepSend && c.demand != nil && ok {
		c.demand.served++
		c.demand = nil
	}
	if s.Kind != StepSend && c.origin != nil {
		c.origin.open--
		if !ok {
			c.origin.failed++
		}
		c.origin = nil
	}
	return s
}
