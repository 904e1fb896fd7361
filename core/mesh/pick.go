package mesh

import (
	"slices"
	"time"

	"github.com/shallotspool/shallotspool/core/outlier"
	"github.com/shallotspool/shallotspool/core/registry"
)

const (
	// remotePenalty is what another data centre has to be better by, as a share:
	// traffic between data centres costs time and money.
	remotePenalty = 1.5
	// queueingFrom is the utilisation from which a target counts as slower.
	queueingFrom = 0.5
	// queueingCost is how much slower a full target counts than an idle one.
	queueingCost = 2
	// faultCost is how much slower an upstream counts that fails every second
	// call: a failed call takes a repeat, which are few, or the whole request that
	// it is made for with it. A caller's own request takes only itself along, so
	// that counts soleFaultCost.
	faultCost     = 4
	soleFaultCost = 1
	// retestShare is the share of repeatable calls that go to a faulty upstream all
	// the same, so that its recovery is seen within a second or two.
	retestShare = 0.05
	// retestSlowest is how many times the mean run time of its service such an
	// upstream may take.
	retestSlowest = 1.5
	// coldCost is how much slower an upstream counts that has just started.
	coldCost = 2
	// unknownSlots stands for the limit of an instance that has not told its own.
	unknownSlots = 16
	// faultyFrom is the share of faults from which more targets are compared: well
	// above the few percent that occur in any fleet.
	faultyFrom = 0.1
	// draws is the number of sound targets with room compared in each data centre.
	draws = 2
)

// group counts the ejected upstreams of one service.
type group struct{ outliers outlier.Group }

func (n *Node) group(service string) *group {
	g := n.groups[service]
	if g == nil {
		g = &group{}
		n.groups[service] = g
	}
	g.outliers.Size = len(n.registry.Service(service))
	return g
}

// pick chooses the upstream of the next attempt at c, nil if there is none.
func (n *Node) pick(now time.Duration, c *Call) (*registry.Upstream, *peer) {
	list := n.registry.Service(c.Service)
	if u, p := n.probe(now, c, list); u != nil {
		return u, p
	}
	if u, p := n.retest(now, c, list); u != nil {
		return u, p
	}
	var best choice
	for _, accept := range []func(*registry.Upstream, *peer) bool{
		func(u *registry.Upstream, p *peer) bool { return n.healthy(now, c, u, p) },
		func(u *registry.Upstream, p *peer) bool { return n.usable(now, c, u, p) },
	} {
		best = n.best(now, c, list, accept)
		if best.upstream != nil {
			break
		}
	}
	return best.upstream, best.peer
}

// choice is one candidate with its cost.
type choice struct {
	upstream *registry.Upstream
	peer     *peer
	cost     float64
}

// best compares random candidates of each data centre until some of them have
// room and are sound.
func (n *Node) best(now time.Duration, c *Call, list []*registry.Upstream, accept func(*registry.Upstream, *peer) bool) choice {
	var best choice
	if len(list) == 0 {
		return best
	}
	local, remote := draws, draws
	start := n.random.IntN(len(list))
	for i := range list {
		u := list[(start+i)%len(list)]
		left := &remote
		if u.DataCentre == n.cfg.DataCentre {
			left = &local
		}
		if *left == 0 {
			continue
		}
		p := n.peer(u.Instance)
		if !accept(u, p) {
			continue
		}
		if n.utilisation(p) <= 1 && n.faultShare(p) < faultyFrom {
			*left--
		}
		if cost := n.cost(now, c, u, p); best.upstream == nil || cost < best.cost {
			best = choice{u, p, cost}
		}
	}
	return best
}

// probe returns an ejected upstream that is due for another try.
func (n *Node) probe(now time.Duration, c *Call, list []*registry.Upstream) (*registry.Upstream, *peer) {
	if n.group(c.Service).outliers.Ejected() == 0 {
		return nil, nil
	}
	for _, u := range list {
		p := n.peer(u.Instance)
		if p.outlier.ProbeDue(now, c.Route.Idempotent) && n.usable(now, c, u, p) {
			return u, p
		}
	}
	return nil, nil
}

// retest returns, for a few calls, an upstream that failed much of late and that
// has room.
func (n *Node) retest(now time.Duration, c *Call, list []*registry.Upstream) (*registry.Upstream, *peer) {
	if len(list) == 0 || !c.Route.Idempotent || len(c.tried) > 0 || n.random.Float64() >= retestShare {
		return nil, nil
	}
	start := n.random.IntN(len(list))
	for i := range list {
		u := list[(start+i)%len(list)]
		p := n.peer(u.Instance)
		f := n.faultShare(p)
		faulty := f >= faultyFrom && f < 1
		if faulty && n.healthy(now, c, u, p) && n.utilisation(p) <= 1 && n.quick(c, p) {
			return u, p
		}
	}
	return nil, nil
}

// quick tells whether an upstream does not take much longer than others of its
// service: a call that it fails then costs little time.
func (n *Node) quick(c *Call, p *peer) bool {
	return n.told(c.RouteID, p) <= time.Duration(retestSlowest*float64(n.meanRun(c.RouteID, c.Service)))
}

// usable tells whether u may get c at all.
func (n *Node) usable(now time.Duration, c *Call, u *registry.Upstream, p *peer) bool {
	return !u.Draining && !p.leaving(now) && !slices.Contains(c.tried, u.Instance)
}

// healthy tells whether nothing speaks against u.
func (n *Node) healthy(now time.Duration, c *Call, u *registry.Upstream, p *peer) bool {
	return n.usable(now, c, u, p) && !p.outlier.Ejected() && !p.silent(now)
}

// cost is the time that c is expected to take at u, in seconds.
func (n *Node) cost(now time.Duration, c *Call, u *registry.Upstream, p *peer) float64 {
	cost := n.runTime(c.RouteID, c.Service, p).Seconds()
	if full := n.utilisation(p); full > queueingFrom {
		cost *= 1 + queueingCost*(full-queueingFrom)
	}
	f := min(n.faultShare(p), mostFaults)
	weight := float64(soleFaultCost)
	if c.Inner {
		weight = faultCost
	}
	cost *= 1 + weight*f/(1-f)
	if now < u.ColdUntil {
		cost *= coldCost
	}
	if u.DataCentre != n.cfg.DataCentre && !n.untried(c, u, p) {
		cost *= 1 + remotePenalty
	}
	return cost
}

// untried tells whether an upstream that was heard of has not run any request of
// c's route yet: it is to get some from everywhere, so that it is known.
func (n *Node) untried(c *Call, u *registry.Upstream, p *peer) bool {
	return p.beatAt > 0 && n.told(c.RouteID, p) == 0
}

// utilisation is the share of the limit in use with one more request.
func (n *Node) utilisation(p *peer) float64 {
	load := p.load
	calls := p.calls()
	if p.instance == n.cfg.Instance {
		load = n.Load()
		calls = load.Running + load.Queued
	}
	limit := load.Limit
	if limit == 0 {
		limit = unknownSlots
	}
	return float64(calls+1) / float64(limit)
}
