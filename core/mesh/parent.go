package mesh

import "time"

// parentRequest is a request at the local upstream, running or queued. Calls made for it
// inherit its rank.
type parentRequest struct {
	rank      Rank
	enteredAt time.Duration
	// openCalls and failedCalls count the calls made for the request.
	openCalls, failedCalls int
}

// maxOpenWork bounds the requests whose calls are recognised. It exceeds the maximum
// queue length of package concurrency.
const maxOpenWork = 8192

// trackWork records a request at the local upstream, so that calls made for it are
// recognised.
func (n *Node) trackWork(now time.Duration, w Work) {
	if w.RequestID == "" || len(n.openWork) >= maxOpenWork {
		return
	}
	n.openWork[w.RequestID] = &parentRequest{rank: w.Rank, enteredAt: now - w.Rank.Age}
}

// inheritRank gives a call the rank of its parent if the parent is at the local
// upstream now. Otherwise the call counts as a request of a caller.
func (n *Node) inheritRank(now time.Duration, c *Call, parentID string) {
	p, known := n.openWork[parentID]
	if parentID == "" || !known {
		return
	}
	p.openCalls++
	c.parent, c.FromUpstream = p, true
	c.Rank = p.rank
	c.Rank.Age = now - p.enteredAt
}

// recordIfFinal returns step. If step is the last one of c, it first updates the counts
// of the parent request or of the demand for the route. ok states whether c succeeded.
func (c *Call) recordIfFinal(step Step, ok bool) Step {
	if step.Kind != StepSend && c.demand != nil && ok {
		c.demand.served++
		c.demand = nil
	}
	if step.Kind != StepSend && c.parent != nil {
		c.parent.openCalls--
		if !ok {
			c.parent.failedCalls++
		}
		c.parent = nil
	}
	return step
}
