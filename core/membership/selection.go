package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shallotspool/shallotspool/core/wire"
)

// Limits of the links that a node opens.
const (
	// maxFullMesh is the largest fleet in which every node links to every other.
	maxFullMesh = 48
	// In a larger fleet, these limit the links to nodes of the own service, of
	// all called services together, of the own data centre, and of other data
	// centres.
	maxOwnServiceLinks = 8
	maxCalleeLinks     = 32
	maxLocalLinks      = 4
	maxRemoteLinks     = 2
	// minLinksPerCallee is the number of links to each called service that is
	// kept however many services are called.
	minLinksPerCallee = 2
	// linkRetryDelay is the minimum time between two requests for the same link.
	linkRetryDelay = 2 * time.Second
)

// rendezvousScore returns the rendezvous hash of candidate for a selection with the
// given purpose. scope names the node that selects or, if all nodes of a data
// centre must select alike, the data centre. A node that joins or leaves does not
// change the scores of the others, so selections stay stable.
func rendezvousScore(scope, purpose, candidate string) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range [...]string{scope, purpose, candidate} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// topRanked returns the n nodes of list with the highest scores, this node
// excluded.
func (v *View) topRanked(list []*Peer, purpose string, n int) []*Peer {
	type entry struct {
		p     *Peer
		score uint64
	}
	entries := make([]entry, 0, len(list))
	for _, p := range list {
		if p.Target != v.cfg.Self.Target {
			entries = append(entries, entry{p, rendezvousScore(v.cfg.Self.Target, purpose, p.Target)})
		}
	}
	slices.SortFunc(entries, func(a, b entry) int { return cmp.Compare(b.score, a.score) })
	best := make([]*Peer, 0, n)
	for _, e := range entries[:min(n, len(entries))] {
		best = append(best, e.p)
	}
	return best
}

// ServicePeers returns the nodes of a service that calls are balanced over, in a
// fixed order: all nodes of a small service, a stable subset of a large one. The
// caller must not modify the slice.
func (v *View) ServicePeers(name string) []*Peer {
	g := v.services[name]
	if g == nil {
		return nil
	}
	if len(g.all) <= MaxSubset {
		return g.all
	}
	if g.subset == nil {
		g.subset = v.chooseSubset(g.all)
	}
	return g.subset
}

// chooseSubset selects up to MaxSubset nodes to balance over. It takes up to
// MaxSubset/2 from the own data centre, prefers nodes that accept work, and always
// includes this node if it is one of all.
func (v *View) chooseSubset(all []*Peer) []*Peer {
	var local, remote, unavailable []*Peer
	for _, p := range all {
		switch {
		case !p.AcceptsWork():
			unavailable = append(unavailable, p)
		case p.DataCentre == v.cfg.DataCentre:
			local = append(local, p)
		default:
			remote = append(remote, p)
		}
	}
	subset := v.topRanked(local, "service", MaxSubset/2)
	subset = append(subset, v.topRanked(remote, "service", MaxSubset-len(subset))...)
	subset = append(subset, v.topRanked(unavailable, "service", MaxSubset-len(subset))...)
	if self := v.peers[v.cfg.Self.Target]; self != nil && slices.Contains(all, self) {
		subset[len(subset)-1] = self
	}
	slices.SortFunc(subset, byTarget)
	return subset
}

// refreshSubsets discards each subset in which fewer than half of the nodes
// accept work, so that it is selected again.
func (v *View) refreshSubsets() {
	for _, g := range v.services {
		accepting := 0
		for _, p := range g.subset {
			if p.AcceptsWork() {
				accepting++
			}
		}
		if 2*accepting < len(g.subset) {
			g.subset = nil
		}
	}
}

// LinksToOpen returns the nodes to which this one should request a link now,
// sorted by target name, and counts the links as requested at now. callees are the
// services that the own service calls.
func (v *View) LinksToOpen(now time.Duration, callees []string) []*Peer {
	var due []*Peer
	for _, p := range v.wantedLinks(callees) {
		if p.Linked || now-p.linkRequestedAt < linkRetryDelay && p.linkRequestedAt != 0 {
			continue
		}
		p.linkRequestedAt = now
		due = append(due, p)
	}
	slices.SortFunc(due, byTarget)
	return due
}

// wantedLinks returns the nodes that this one should have links to. The
// selection is repeated only after the view or the callees changed.
func (v *View) wantedLinks(callees []string) []*Peer {
	c := &v.linkCache
	if c.valid && c.epoch == v.epoch && slices.Equal(c.callees, callees) {
		return c.wantedLinks
	}
	c.valid, c.epoch, c.callees = true, v.epoch, callees
	c.wantedLinks = v.chooseLinks(callees)
	return c.wantedLinks
}

// cachedLinks holds the selected links for one epoch and set of callees.
type cachedLinks struct {
	valid       bool
	epoch       uint64
	callees     []string
	wantedLinks []*Peer
}

// chooseLinks selects the nodes that this one should have links to.
func (v *View) chooseLinks(callees []string) []*Peer {
	if len(v.peers) <= maxFullMesh {
		return v.otherPeers(v.All())
	}
	var local, remote []*Peer
	for _, p := range v.otherPeers(v.All()) {
		if p.DataCentre == v.cfg.DataCentre {
			local = append(local, p)
		} else {
			remote = append(remote, p)
		}
	}
	selected := v.topRanked(v.otherPeers(v.ServicePeers(v.cfg.Service)), "own", maxOwnServiceLinks)
	perCallee := max(minLinksPerCallee, maxCalleeLinks/max(1, len(callees)))
	for _, name := range callees {
		selected = append(selected, v.topRanked(v.otherPeers(v.ServicePeers(name)), "callee", perCallee)...)
	}
	selected = append(selected, v.topRanked(local, "near", maxLocalLinks)...)
	selected = append(selected, v.topRanked(remote, "far", maxRemoteLinks)...)
	slices.SortFunc(selected, byTarget)
	return slices.Compact(selected)
}

// otherPeers returns the nodes of list without this node and those that are
// dropped.
func (v *View) otherPeers(list []*Peer) []*Peer {
	var others []*Peer
	for _, p := range list {
		if p.Target != v.cfg.Self.Target && !p.dropped {
			others = append(others, p)
		}
	}
	return others
}

// ReaderRank returns how many nodes of the own data centre take precedence over
// this one as readers of the platform.
func (v *View) ReaderRank() int {
	if v.rankCache.valid && v.rankCache.epoch == v.epoch {
		return v.rankCache.rank
	}
	ownScore := rendezvousScore(v.cfg.DataCentre, "reader", v.cfg.Self.Target)
	rank := 0
	for _, p := range v.All() {
		if p.DataCentre != v.cfg.DataCentre || p.Target == v.cfg.Self.Target {
			continue
		}
		if p.isReachable() && !p.isLeaving() && p.State < wire.NodeLeaving && rendezvousScore(v.cfg.DataCentre, "reader", p.Target) > ownScore {
			rank++
		}
	}
	v.rankCache = cachedRank{valid: true, epoch: v.epoch, rank: rank}
	return rank
}

// cachedRank holds the rank for one epoch of the view.
type cachedRank struct {
	valid bool
	epoch uint64
	rank  int
}
