package balancer

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shallotspool/shallotspool/core/member"
	"github.com/shallotspool/shallotspool/core/outlier"
	"github.com/shallotspool/shallotspool/core/spill"
)

const (
	// maxLocal and maxRemote are the number of targets of one service that a
	// node sends to, in its own data centre and in all others.
	maxLocal  = 24
	maxRemote = 8
	// refreshInterval is how often a group is formed anew.
	refreshInterval = 2 * time.Second
	// maxGroups bounds the services remembered.
	maxGroups = 4096
)

// candidate is a member of a group.
type candidate struct {
	peer   *member.Peer
	target *target
	hash   uint64
}

// group is the subset of one service's targets that this node sends to. all
// holds local and remote.
type group struct {
	all, local, remote []candidate
	self               *candidate
	known              int
	refreshAt          time.Duration
	outliers           outlier.Group
	credit             spill.Credit
}

func (b *Balancer) group(service string, peers []*member.Peer, now time.Duration) *group {
	g := b.groups[service]
	if g != nil && g.known == len(peers) && now < g.refreshAt {
		return g
	}
	if g == nil {
		if len(b.groups) >= maxGroups {
			b.reset()
		}
		g = &group{}
		b.groups[service] = g
	}
	b.form(g, peers)
	g.known, g.refreshAt = len(peers), now+refreshInterval
	return g
}

// reset forgets everything but the attempts in flight.
func (b *Balancer) reset() {
	clear(b.groups)
	for name, t := range b.targets {
		t.group = nil
		b.dropIdle(name, t)
	}
}

// form chooses the members of g: those that take work before others, and among
// them by rendezvous hash, so that each node has a subset of its own and a
// change of the list changes it little.
func (b *Balancer) form(g *group, peers []*member.Peer) {
	var local, remote []candidate
	for _, p := range peers {
		m := candidate{peer: p, hash: b.hash(p)}
		if p.DataCentre == b.cfg.DataCentre {
			local = append(local, m)
		} else {
			remote = append(remote, m)
		}
	}
	local, remote = best(local, maxLocal), best(remote, max(maxRemote, maxLocal+maxRemote-len(local)))
	old := g.all
	g.all = append(slices.Clone(local), remote...)
	b.join(g, old)
	g.local, g.remote, g.self = g.all[:len(local)], g.all[len(local):], nil
	for i := range g.all {
		if g.all[i].peer.Target == b.cfg.Self {
			g.self = &g.all[i]
		}
	}
}

func (b *Balancer) hash(p *member.Peer) uint64 {
	if p.Target == b.cfg.Self {
		return 0
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(b.cfg.Self)
	_, _ = d.WriteString(p.Target)
	return max(d.Sum64(), 1)
}

// best returns the n members that come first.
func best(list []candidate, n int) []candidate {
	slices.SortFunc(list, func(x, y candidate) int {
		if x.peer.Takes() != y.peer.Takes() {
			if x.peer.Takes() {
				return -1
			}
			return 1
		}
		return cmp.Compare(x.hash, y.hash)
	})
	return list[:min(n, len(list))]
}

// join ties the targets of g to it, those of old that are no longer members go.
func (b *Balancer) join(g *group, old []candidate) {
	for _, m := range old {
		m.target.group = nil
	}
	g.outliers = outlier.Group{Size: len(g.all)}
	for i := range g.all {
		m := &g.all[i]
		t := b.targets[m.peer.Target]
		if t == nil {
			t = &target{}
			b.targets[m.peer.Target] = t
		}
		if t.incarnation == 0 {
			t.incarnation, t.linked = m.peer.Incarnation, m.peer.Linked
		}
		m.target, t.group = t, g
		t.outlier.Join(&g.outliers)
	}
	for _, m := range old {
		if m.target.group == nil {
			b.dropIdle(m.peer.Target, m.target)
		}
	}
}

// Ejected returns how many of the targets of service that this node sends to are
// ejected now, and how many there are.
func (b *Balancer) Ejected(service string) (ejected, size int) {
	g := b.groups[service]
	if g == nil {
		return 0, 0
	}
	return g.outliers.Ejected(), g.outliers.Size
}
