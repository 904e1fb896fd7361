package mesh

import "time"

const (
	// defaultWait stands for the deadline of a request that states none and
	// whose route has no timeout.
	defaultWait = 30 * time.Second
	// maxSends bounds the nodes that one request is sent to, those that had no
	// room among them.
	maxSends = 4
)

// Arrive takes a request where it enters. The step refuses it, or sends it to
// its first target.
func (n *Node) Arrive(now time.Duration, a Arrival) (*Call, Step) {
	if n.table == nil {
		return nil, Step{Kind: StepRefuse, Reason: ReasonNoTable, RetryAfter: retryNoTable}
	}
	r := n.table.Lookup(a.Host, a.Path)
	if r == nil {
		return nil, Step{Kind: StepUnknownRoute, Reason: ReasonNoRoute}
	}
	c := &Call{
		ID: a.ID, print: a.Print, Route: r, RouteID: RouteID(r), Version: n.table.Version, Arrived: now,
		Deadline: now + defaultWait,
	}
	if a.Wait > 0 {
		c.Deadline = now + a.Wait
	}
	if r.Timeout > 0 {
		c.Deadline = min(c.Deadline, now+r.Timeout)
	}
	c.Rank = Rank{Priority: r.Priority, Root: c.RouteID}
	n.inherit(now, c, a.Parent)
	if n.crasher(now, a.Print) {
		return c, c.conclude(Step{Kind: StepFail, Reason: ReasonCrasher}, false)
	}
	c.Service = n.splitter.Choose(r)
	c.Returned = !c.Inner && n.returns.back(now, a)
	if !n.enters(c) {
		n.returns.refused(now, a)
		return c, Step{Kind: StepRefuse, Reason: ReasonEntry, RetryAfter: n.retryAfter(c)}
	}
	return c, c.conclude(n.send(now, c), false)
}

// send chooses the next target of c, or refuses it.
func (n *Node) send(now time.Duration, c *Call) Step {
	u, p := n.pick(now, c)
	if u == nil {
		return n.refuse(c, ReasonNoUpstream)
	}
	load, age := n.utilisation(p), now-p.heardAt
	c.attempt = &attempt{upstream: u, peer: p, started: now}
	if len(c.tried) == 0 {
		n.budget.sent(now, c)
	}
	c.tried = append(c.tried, u.Instance)
	p.inFlight++
	p.outlier.Started(now)
	t := Target{Upstream: u.ID, Instance: u.Instance, Load: load, LoadAge: age}
	if u.Instance == n.cfg.Instance {
		t.Instance = ""
	}
	return Step{Kind: StepSend, Target: t}
}
