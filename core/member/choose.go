package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shallotspool/shallotspool/core/wire"
)

// The links that a node opens in a large fleet.
const (
	// meshUpTo is the fleet in which every node links to every other.
	meshUpTo = 48
	// maxOwn, maxCallees, maxNear and maxFar bound the links to the own service,
	// to the services called, to the own data centre and to the others.
	maxOwn     = 8
	maxCallees = 32
	maxNear    = 4
	maxFar     = 2
	// minPerCallee is kept for each service called, however many there are.
	minPerCallee = 2
	// retryLink is how long a link that did not open is left alone.
	retryLink = 2 * time.Second
)

// score ranks other for a purpose of the node self: rendezvous hashing, so one
// node's coming and going moves no other choice.
func score(self, purpose, other string) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range [...]string{self, purpose, other} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// ranked returns the n nodes of list with the highest scores.
func (v *View) ranked(list []*Peer, purpose string, n int) []*Peer {
	type entry struct {
		p     *Peer
		score uint64
	}
	entries := make([]entry, 0, len(list))
	for _, p := range list {
		if p.Target != v.cfg.Self.Target {
			entries = append(entries, entry{p, score(v.cfg.Self.Target, purpose, p.Target)})
		}
	}
	slices.SortFunc(entries, func(a, b entry) int { return cmp.Compare(b.score, a.score) })
	best := make([]*Peer, 0, n)
	for _, e := range entries[:min(n, len(entries))] {
		best = append(best, e.p)
	}
	return best
}

// Service returns the nodes of a service that calls are divided over, in a
// fixed order: all of a small service, a stable subset of a large one. The
// caller must not change the slice.
func (v *View) Service(name string) []*Peer {
	g := v.services[name]
	if g == nil {
		return nil
	}
	if len(g.all) <= MaxSubset {
		return g.all
	}
	if g.subset == nil {
		g.subset = v.choose(g.all)
	}
	return g.subset
}

// choose takes half of the subset from the own data centre, if it has as many,
// and prefers nodes that take work.
func (v *View) choose(all []*Peer) []*Peer {
	var near, far, rest []*Peer
	for _, p := range all {
		switch {
		case !p.Takes():
			rest = append(rest, p)
		case p.DataCentre == v.cfg.DataCentre:
			near = append(near, p)
		default:
			far = append(far, p)
		}
	}
	subset := v.ranked(near, "service", MaxSubset/2)
	subset = append(subset, v.ranked(far, "service", MaxSubset-len(subset))...)
	subset = append(subset, v.ranked(rest, "service", MaxSubset-len(subset))...)
	if self := v.peers[v.cfg.Self.Target]; self != nil && slices.Contains(all, self) {
		subset[len(subset)-1] = self
	}
	slices.SortFunc(subset, byTarget)
	return subset
}

// refreshSubsets lets a subset be chosen anew in which half take no work.
func (v *View) refreshSubsets() {
	for _, g := range v.services {
		taking := 0
		for _, p := range g.subset {
			if p.Takes() {
				taking++
			}
		}
		if 2*taking < len(g.subset) {
			g.subset = nil
		}
	}
}

// Links returns the nodes that this one should ask for a link now, by target
// name. callees are the services that the own service calls.
func (v *View) Links(now time.Duration, callees []string) []*Peer {
	var ask []*Peer
	for _, p := range v.wanted(callees) {
		if p.Linked || now-p.asked < retryLink && p.asked != 0 {
			continue
		}
		p.asked = now
		ask = append(ask, p)
	}
	slices.SortFunc(ask, byTarget)
	return ask
}

// wanted returns the nodes that this one keeps links to; it is chosen again
// only after the view or the callees changed.
func (v *View) wanted(callees []string) []*Peer {
	c := &v.links
	if c.chosen && c.epoch == v.epoch && slices.Equal(c.callees, callees) {
		return c.wanted
	}
	c.chosen, c.epoch, c.callees = true, v.epoch, callees
	c.wanted = v.chooseLinks(callees)
	return c.wanted
}

// linkChoice caches the links that were chosen.
type linkChoice struct {
	chosen  bool
	epoch   uint64
	callees []string
	wanted  []*Peer
}

func (v *View) chooseLinks(callees []string) []*Peer {
	if len(v.peers) <= meshUpTo {
		return v.others(v.All())
	}
	var near, far []*Peer
	for _, p := range v.others(v.All()) {
		if p.DataCentre == v.cfg.DataCentre {
			near = append(near, p)
		} else {
			far = append(far, p)
		}
	}
	chosen := v.ranked(v.others(v.Service(v.cfg.Service)), "own", maxOwn)
	perCallee := max(minPerCallee, maxCallees/max(1, len(callees)))
	for _, name := range callees {
		chosen = append(chosen, v.ranked(v.others(v.Service(name)), "callee", perCallee)...)
	}
	chosen = append(chosen, v.ranked(near, "near", maxNear)...)
	chosen = append(chosen, v.ranked(far, "far", maxFar)...)
	slices.SortFunc(chosen, byTarget)
	return slices.Compact(chosen)
}

// others leaves out the own node and those that are gone.
func (v *View) others(list []*Peer) []*Peer {
	var others []*Peer
	for _, p := range list {
		if p.Target != v.cfg.Self.Target && !p.gone {
			others = append(others, p)
		}
	}
	return others
}

// Rank returns how many nodes of the own data centre come before this one as
// readers of the platform.
func (v *View) Rank() int {
	if v.rank.known && v.rank.epoch == v.epoch {
		return v.rank.value
	}
	own := score(v.cfg.DataCentre, "reader", v.cfg.Self.Target)
	before := 0
	for _, p := range v.All() {
		if p.DataCentre != v.cfg.DataCentre || p.Target == v.cfg.Self.Target {
			continue
		}
		if p.reachable() && !p.leaving() && p.State < wire.NodeLeaving && score(v.cfg.DataCentre, "reader", p.Target) > own {
			before++
		}
	}
	v.rank = rankCache{known: true, epoch: v.epoch, value: before}
	return before
}

// rankCache holds the rank as of one epoch of the view.
type rankCache struct {
	known bool
	epoch uint64
	value int
}
