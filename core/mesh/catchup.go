package mesh

import (
	"time"

	"github.com/shallotspool/shallotspool/core/registry"
	"github.com/shallotspool/shallotspool/core/route"
)

// State is what a node knows from the store, for nodes that cannot reach it.
type State struct {
	Table     *route.Table
	Upstreams []registry.Upstream
	// Revision is the store's, up to which the upstreams are current.
	Revision uint64
}

// Snapshot returns what this node knows from the store.
func (n *Node) Snapshot() State {
	s := State{Table: n.table, Revision: n.registry.Revision()}
	n.registry.Services(func(_ string, list []*registry.Upstream) {
		for _, u := range list {
			told := *u
			told.ColdUntil = 0
			s.Upstreams = append(s.Upstreams, told)
		}
	})
	return s
}

// AskPeer returns an instance that knows more of the store than this node, which
// cannot reach it; ok is false if there is none, or no need.
func (n *Node) AskPeer(now time.Duration) (instance string, ok bool) {
	if !n.registry.InOutage() {
		return "", false
	}
	version, revision := route.Version(0), n.registry.Revision()
	if n.table != nil {
		version = n.table.Version
	}
	for _, p := range n.peers {
		heard := p.beatAt > 0 && !p.silent(now) && !p.beat.Leaving
		newer := p.beat.Version > version || p.beat.Version == version && p.beat.Revision > revision
		if heard && newer {
			instance, version, revision = p.instance, p.beat.Version, p.beat.Revision
		}
	}
	return instance, instance != ""
}

// CatchUp takes in what another node knows of the store, as far as it is newer,
// and reports whether any of it was.
func (n *Node) CatchUp(now time.Duration, s State) bool {
	if !n.registry.InOutage() {
		return false
	}
	newer := s.Table != nil && n.SetTable(s.Table)
	if s.Revision <= n.registry.Revision() {
		return newer
	}
	list := make([]registry.Change, len(s.Upstreams))
	for i := range s.Upstreams {
		u := s.Upstreams[i]
		list[i] = registry.Change{ID: u.ID, Revision: u.Revision, Upstream: &u}
	}
	n.registry.Adopt(now, list, s.Revision)
	n.Registered()
	return true
}
