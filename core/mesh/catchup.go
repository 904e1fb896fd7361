package mesh

import (
	"time"

	"github.com/shallotspool/shallotspool/core/registry"
	"github.com/shallotspool/shallotspool/core/route"
)

// State is what a node knows from the store, for nodes that do not read it.
type State struct {
	// Table is nil if the asking node has it.
	Table *route.Table
	// Upstreams are those that changed since what the asking node knows; their
	// ColdUntil is the time that is left.
	Upstreams []registry.Upstream
	// Present are the IDs of all upstreams.
	Present []string
	// Revision is the store's, up to which the upstreams are current, and Digest
	// names the set of them.
	Revision uint64
	Digest   uint32
}

// Known is what a node that asks for a State knows already.
type Known struct {
	Version  route.Version
	Revision uint64
}

// Known returns what this node knows from the store.
func (n *Node) Known() Known {
	k := Known{Revision: n.registry.Revision()}
	if n.table != nil {
		k.Version = n.table.Version
	}
	return k
}

// Snapshot returns what this node knows from the store and another does not.
func (n *Node) Snapshot(now time.Duration, k Known) State {
	s := State{Revision: n.registry.Revision(), Digest: digestOf(n.registry)}
	if n.table != nil && n.table.Version > k.Version {
		s.Table = n.table
	}
	n.registry.Each(func(u *registry.Upstream) {
		s.Present = append(s.Present, u.ID)
		if u.Revision <= k.Revision {
			return
		}
		told := *u
		told.ColdUntil = max(u.ColdUntil-now, 0)
		s.Upstreams = append(s.Upstreams, told)
	})
	return s
}

// AskPeer returns an instance that knows more of the store than this node, which
// does not read it; ok is false if there is none, or no need.
func (n *Node) AskPeer(now time.Duration) (instance string, ok bool) {
	if !n.learnsFromPeers() {
		return "", false
	}
	k := n.Known()
	for _, p := range n.peers {
		heard := p.beatAt > 0 && !p.silent(now) && !p.beat.Leaving
		newer := p.beat.Version > k.Version || p.beat.Version == k.Version && p.beat.Revision > k.Revision
		if heard && newer {
			instance, k.Version, k.Revision = p.instance, p.beat.Version, p.beat.Revision
		}
	}
	if lead := n.lead(now); instance == "" && lead != nil && lead.beat.Revision >= k.Revision && lead.beat.Digest != n.followed {
		// The reader gave an upstream up that did not come back after an outage.
		instance = lead.instance
	}
	return instance, instance != ""
}

// News is what a node took in from another.
type News struct {
	// Table is nil if none came into force.
	Table     *route.Table
	Upstreams []registry.Change
}

// CatchUp takes in what another node knows of the store, as far as it is newer,
// and returns what that was.
func (n *Node) CatchUp(now time.Duration, s State) (news News) {
	if !n.learnsFromPeers() {
		return news
	}
	if s.Table != nil && n.SetTable(now, s.Table) {
		news.Table = s.Table
	}
	known := n.registry.Revision()
	if s.Revision < known || s.Revision == known && s.Digest == n.followed {
		return news
	}
	n.followed = s.Digest
	for i := range s.Upstreams {
		u := s.Upstreams[i]
		if u.ColdUntil > 0 {
			u.ColdUntil += now
		}
		news.Upstreams = append(news.Upstreams, registry.Change{ID: u.ID, Revision: u.Revision, Upstream: &u})
	}
	for _, id := range n.registry.Adopt(now, news.Upstreams, s.Present, s.Revision) {
		news.Upstreams = append(news.Upstreams, registry.Change{ID: id, Revision: s.Revision, Removed: true})
	}
	n.Registered()
	return news
}
