package mesh

import (
	"slices"
	"time"

	"github.com/shallotspool/shallotspool/core/outlier"
	"github.com/shallotspool/shallotspool/core/registry"
)

const (
	// remotePenalty is the relative cost added to targets in other data centres,
	// because traffic between data centres costs time and money.
	remotePenalty = 1.5
	// queueingThreshold is the utilisation above which queueing raises the cost of a
	// target.
	queueingThreshold = 0.5
	// queueingCost is the relative cost added per unit of utilisation above
	// queueingThreshold.
	queueingCost = 2
	// faultCost scales the relative cost added to faulty upstreams: it is the cost
	// added at a fault share of 50 %. A failed call needs one of the few allowed
	// retries, or fails the whole request for which it is made. For requests of
	// callers, where a failure affects nothing else, callerFaultCost is used instead.
	faultCost       = 4
	callerFaultCost = 1
	// retestShare is the share of idempotent calls that are sent to a faulty upstream
	// on purpose, so that its recovery is noticed within a second or two.
	retestShare = 0.05
	// maxRetestSlowdown is the maximum run time of an upstream that is retested, as a
	// multiple of the mean run time of its service.
	maxRetestSlowdown = 1.5
	// coldCost is the factor on the cost of an upstream that has just started.
	coldCost = 2
	// defaultLimit is the assumed concurrency limit of an instance that has not
	// reported one.
	defaultLimit = 16
	// faultyThreshold is the fault share from which an upstream counts as faulty, so
	// that further candidates are compared. It is well above the few percent that
	// occur in any deployment.
	faultyThreshold = 0.1
	// candidatesPerLocality is the number of candidates compared in the local data
	// centre, and again in all others together. Full and faulty ones are not counted.
	candidatesPerLocality = 2
)

// outlierGroup tracks the ejected upstreams of one service.
type outlierGroup struct{ targets outlier.Group }

func (n *Node) outlierGroup(service string) *outlierGroup {
	g := n.outlierGroups[service]
	if g == nil {
		g = &outlierGroup{}
		n.outlierGroups[service] = g
	}
	g.targets.Size = len(n.registry.ServiceUpstreams(service))
	return g
}

// recountEjections counts the ejected upstreams of each service anew, after upstreams have joined or
// left.
func (n *Node) recountEjections() {
	for service, g := range n.outlierGroups {
		list := n.registry.ServiceUpstreams(service)
		g.targets = outlier.Group{Size: len(list)}
		counted := map[*peer]bool{}
		for _, u := range list {
			if p := n.peers[u.Instance]; p != nil && !counted[p] {
				counted[p] = true
				p.outlier.Join(&g.targets)
			}
		}
	}
}

// pickUpstream chooses the upstream for the next attempt of c, nil if there is none. It
// prefers an ejected one that is due for a probe, then for a few calls a faulty one to
// retest, then the cheapest eligible one, then the cheapest usable one.
func (n *Node) pickUpstream(now time.Duration, c *Call) (*registry.Upstream, *peer) {
	list := n.registry.ServiceUpstreams(c.Service)
	if u, p := n.dueProbe(now, c, list); u != nil {
		return u, p
	}
	if u, p := n.retest(now, c, list); u != nil {
		return u, p
	}
	var best candidate
	for _, accept := range []func(*registry.Upstream, *peer) bool{
		func(u *registry.Upstream, p *peer) bool { return n.eligible(now, c, u, p) },
		func(u *registry.Upstream, p *peer) bool { return n.usable(now, c, u, p) },
	} {
		best = n.cheapest(now, c, list, accept)
		if best.upstream != nil {
			break
		}
	}
	return best.upstream, best.peer
}

// candidate is a possible upstream for an attempt with its expected cost.
type candidate struct {
	upstream *registry.Upstream
	peer     *peer
	cost     float64
}

// cheapest returns the cheapest of the upstreams for which accept returns true. It
// examines them from a random start until candidatesPerLocality of them have room and
// are not faulty, separately for the local data centre and for all others.
func (n *Node) cheapest(now time.Duration, c *Call, list []*registry.Upstream, accept func(*registry.Upstream, *peer) bool) candidate {
	var best candidate
	if len(list) == 0 {
		return best
	}
	local, remote := candidatesPerLocality, candidatesPerLocality
	start := n.random.IntN(len(list))
	for i := range list {
		u := list[(start+i)%len(list)]
		remaining := &remote
		if u.DataCentre == n.cfg.DataCentre {
			remaining = &local
		}
		if *remaining == 0 {
			continue
		}
		p := n.peer(u.Instance)
		if !accept(u, p) {
			continue
		}
		if n.utilisation(p) <= 1 && n.faultShare(p) < faultyThreshold {
			*remaining--
		}
		if cost := n.expectedCost(now, c, u, p); best.upstream == nil || cost < best.cost {
			best = candidate{u, p, cost}
		}
	}
	return best
}

// dueProbe returns an ejected upstream that is due for a probe, nil if there is none.
func (n *Node) dueProbe(now time.Duration, c *Call, list []*registry.Upstream) (*registry.Upstream, *peer) {
	if n.outlierGroup(c.Service).targets.Ejected() == 0 {
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

// retest returns, for a small share of calls, a faulty upstream that has room.
func (n *Node) retest(now time.Duration, c *Call, list []*registry.Upstream) (*registry.Upstream, *peer) {
	if len(list) == 0 || !c.Route.Idempotent || len(c.tried) > 0 || n.random.Float64() >= retestShare {
		return nil, nil
	}
	start := n.random.IntN(len(list))
	for i := range list {
		u := list[(start+i)%len(list)]
		p := n.peer(u.Instance)
		faultShare := n.faultShare(p)
		faulty := faultShare >= faultyThreshold && faultShare < 1
		if faulty && n.eligible(now, c, u, p) && n.utilisation(p) <= 1 && n.isFast(c, p) {
			return u, p
		}
	}
	return nil, nil
}

// isFast reports whether an upstream takes not much longer than the others of its
// service, so that a call that fails there costs little time. One without a run time
// counts as fast.
func (n *Node) isFast(c *Call, p *peer) bool {
	return n.reportedRunTime(c.RouteID, p) <= time.Duration(maxRetestSlowdown*float64(n.meanRunTime(c.RouteID, c.Service)))
}

// usable reports whether c may be sent to u at all: neither u nor its node is about to
// stop, and c was not sent there before.
func (n *Node) usable(now time.Duration, c *Call, u *registry.Upstream, p *peer) bool {
	return !u.Draining && !p.leaving(now) && !slices.Contains(c.tried, u.Instance)
}

// eligible reports whether u is usable, not ejected and not silent.
func (n *Node) eligible(now time.Duration, c *Call, u *registry.Upstream, p *peer) bool {
	return n.usable(now, c, u, p) && !p.outlier.Ejected() && !p.silent(now)
}

// expectedCost returns the expected time for c at u, in seconds, with penalties for
// queueing, faults, cold starts and other data centres.
func (n *Node) expectedCost(now time.Duration, c *Call, u *registry.Upstream, p *peer) float64 {
	cost := n.runTime(c.RouteID, c.Service, p).Seconds()
	if used := n.utilisation(p); used > queueingThreshold {
		cost *= 1 + queueingCost*(used-queueingThreshold)
	}
	faultShare := min(n.faultShare(p), maxFaultShare)
	weight := float64(callerFaultCost)
	if c.FromUpstream {
		weight = faultCost
	}
	cost *= 1 + weight*faultShare/(1-faultShare)
	if now < u.ColdUntil {
		cost *= coldCost
	}
	// For a call of another request a faulty upstream gets the penalty wherever it is: that it
	// is near is no reason to risk the request there rather than at a sound one.
	if c.FromUpstream && faultShare >= faultyThreshold || u.DataCentre != n.cfg.DataCentre && !n.unmeasured(c, u, p) {
		cost *= 1 + remotePenalty
	}
	return cost
}

// unmeasured reports whether an instance has sent heartbeats but no run time for the
// route of c. It gets requests from all data centres until it has.
func (n *Node) unmeasured(c *Call, u *registry.Upstream, p *peer) bool {
	return p.heartbeatAt > 0 && n.reportedRunTime(c.RouteID, p) == 0
}

// utilisation returns the share of an instance's limit that is in use if one more
// request is sent there. It exceeds 1 if that request would have to wait.
func (n *Node) utilisation(p *peer) float64 {
	load := p.load
	requests := p.requests()
	if p.instance == n.cfg.Instance {
		load = n.Load()
		requests = load.Running + load.Queued
	}
	limit := load.Limit
	if limit == 0 {
		limit = defaultLimit
	}
	return float64(requests+1) / float64(limit)
}
