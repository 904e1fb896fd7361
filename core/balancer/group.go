package balancer

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shallotspool/shallotspool/core/membership"
	"github.com/shallotspool/shallotspool/core/outlier"
	"github.com/shallotspool/shallotspool/core/spillover"
)

const (
	// maxLocal and maxRemote are the number of targets of one service that a node
	// sends to, in its own data centre and in all others. A service with fewer
	// local targets has more remote ones.
	maxLocal  = 24
	maxRemote = 8
	// reselectInterval is the time after which the members of a group are reselected.
	reselectInterval = 2 * time.Second
	// maxGroups is the number of groups kept at once, to bound the memory. Before
	// one more is added, all are deleted; those still in use are then built anew.
	maxGroups = 4096
)

// candidate is a target that may be selected: at first as a member of a group, and
// once it is one, for an attempt.
type candidate struct {
	peer *membership.Peer
	// target is set for members only.
	target *target
	// hash orders the candidates for membership.
	hash uint64
}

// group is the subset of the targets of one service that this node sends to. all
// holds all members: first those of local, then those of remote.
type group struct {
	all, local, remote []candidate
	// self is the member for the node's own upstream, if there is one.
	self *candidate
	// peerCount is the number of targets of the service when the members were
	// selected.
	peerCount    int
	reselectAt   time.Duration
	outliers     outlier.Group
	remoteCredit spillover.Credit
}

// currentGroup returns the group of a service. It first reselects the members if
// the number of peers has changed or the group is due for it.
func (b *Balancer) currentGroup(service string, peers []*membership.Peer, now time.Duration) *group {
	g := b.groups[service]
	if g != nil && g.peerCount == len(peers) && now < g.reselectAt {
		return g
	}
	if g == nil {
		if len(b.groups) >= maxGroups {
			b.reset()
		}
		g = &group{}
		b.groups[service] = g
	}
	b.selectMembers(g, peers)
	g.peerCount, g.reselectAt = len(peers), now+reselectInterval
	return g
}

// reset deletes all groups, and all targets without an attempt in flight.
func (b *Balancer) reset() {
	clear(b.groups)
	for name, t := range b.targets {
		t.group = nil
		b.deleteIfUnused(name, t)
	}
}

// selectMembers selects the members of g. Targets that accept work precede
// others. Among equals it selects by rendezvous hashing, so that each node has a
// different subset and a change of peers changes few members.
func (b *Balancer) selectMembers(g *group, peers []*membership.Peer) {
	var local, remote []candidate
	for _, p := range peers {
		c := candidate{peer: p, hash: b.hash(p)}
		if p.DataCentre == b.cfg.DataCentre {
			local = append(local, c)
		} else {
			remote = append(remote, c)
		}
	}
	remoteCount := max(maxRemote, maxLocal+maxRemote-len(local))
	local, remote = takePreferred(local, maxLocal), takePreferred(remote, remoteCount)
	old := g.all
	g.all = append(slices.Clone(local), remote...)
	b.attachTargets(g, old)
	g.local, g.remote, g.self = g.all[:len(local)], g.all[len(local):], nil
	for i := range g.all {
		if g.all[i].peer.Target == b.cfg.SelfTarget {
			g.self = &g.all[i]
		}
	}
}

// hash returns the rendezvous hash of p for this node. It is lowest for the
// node's own upstream, which thereby is the first to be selected if it accepts
// work.
func (b *Balancer) hash(p *membership.Peer) uint64 {
	if p.Target == b.cfg.SelfTarget {
		return 0
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(b.cfg.SelfTarget)
	_, _ = d.WriteString(p.Target)
	return max(d.Sum64(), 1)
}

// takePreferred returns the first n candidates, ordered by whether they accept work
// and then by hash. It sorts candidates in place.
func takePreferred(candidates []candidate, n int) []candidate {
	slices.SortFunc(candidates, func(x, y candidate) int {
		if x.peer.AcceptsWork() != y.peer.AcceptsWork() {
			if x.peer.AcceptsWork() {
				return -1
			}
			return 1
		}
		return cmp.Compare(x.hash, y.hash)
	})
	return candidates[:min(n, len(candidates))]
}

// attachTargets connects the members of g to the state of their targets. The
// targets of old that are no longer members are detached, and deleted unless they
// have an attempt in flight.
func (b *Balancer) attachTargets(g *group, old []candidate) {
	for _, c := range old {
		c.target.group = nil
	}
	g.outliers = outlier.Group{Size: len(g.all)}
	for i := range g.all {
		c := &g.all[i]
		t := b.targets[c.peer.Target]
		if t == nil {
			t = &target{}
			b.targets[c.peer.Target] = t
		}
		// A target without an incarnation takes that of its peer here, because
		// refresh could take the change from 0 for a restart.
		if t.incarnation == 0 {
			t.incarnation, t.linked = c.peer.Incarnation, c.peer.Linked
		}
		c.target, t.group = t, g
		t.outlier.Join(&g.outliers)
	}
	for _, c := range old {
		if c.target.group == nil {
			b.deleteIfUnused(c.peer.Target, c.target)
		}
	}
}

// Ejected returns how many of the targets of service in this node's subset are
// ejected, and the size of the subset.
func (b *Balancer) Ejected(service string) (ejected, size int) {
	g := b.groups[service]
	if g == nil {
		return 0, 0
	}
	return g.outliers.Ejected(), g.outliers.Size
}
