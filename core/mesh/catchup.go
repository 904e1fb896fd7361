package mesh

import (
	"time"

	"github.com/shallotspool/shallotspool/core/registry"
	"github.com/shallotspool/shallotspool/core/route"
)

// StoreState is the content of the store as known to one node, sent to nodes that do not
// read the store themselves. It is encoded by field name.
type StoreState struct {
	// Table is the routing table, nil if the requesting node has it already.
	Table *route.Table
	// Upstreams holds the registrations that changed after the revision known to the
	// requesting node. Their ColdUntil is the remaining time.
	Upstreams []registry.Upstream
	// Present holds the IDs of all registrations.
	Present []string
	// Revision is the store revision up to which the registrations are current. Digest
	// identifies their set; see registryDigest.
	Revision uint64
	Digest   uint32
}

// StoreVersion is the version of the store's content that a node holds.
type StoreVersion struct {
	Version  route.Version
	Revision uint64
}

// StoreVersion returns the version of the store's content that this node holds.
func (n *Node) StoreVersion() StoreVersion {
	known := StoreVersion{Revision: n.registry.Revision()}
	if n.table != nil {
		known.Version = n.table.Version
	}
	return known
}

// StateSince returns the part of this node's store state that is newer than known.
func (n *Node) StateSince(now time.Duration, known StoreVersion) StoreState {
	state := StoreState{Revision: n.registry.Revision(), Digest: registryDigest(n.registry)}
	if n.table != nil && n.table.Version > known.Version {
		state.Table = n.table
	}
	n.registry.ForEach(func(u *registry.Upstream) {
		state.Present = append(state.Present, u.ID)
		if u.Revision <= known.Revision {
			return
		}
		changed := *u
		changed.ColdUntil = max(u.ColdUntil-now, 0)
		state.Upstreams = append(state.Upstreams, changed)
	})
	return state
}

// NewerPeer returns the instance whose store state this node should fetch. ok is false if
// this node takes its state from the store itself or no instance has a newer one.
func (n *Node) NewerPeer(now time.Duration) (instance string, ok bool) {
	if !n.learnsFromPeers() {
		return "", false
	}
	newest := n.StoreVersion()
	for _, p := range n.peers {
		alive := p.heartbeatAt > 0 && !p.silent(now) && !p.heartbeat.Leaving
		newer := p.heartbeat.Version > newest.Version || p.heartbeat.Version == newest.Version && p.heartbeat.Revision > newest.Revision
		if alive && newer {
			instance, newest.Version, newest.Revision = p.instance, p.heartbeat.Version, p.heartbeat.Revision
		}
	}
	if reader := n.firstPrecedingReader(now); instance == "" && reader != nil && reader.heartbeat.Revision >= newest.Revision && reader.heartbeat.RegistryDigest != n.adoptedDigest {
		// The reader has removed a registration that did not return after an outage.
		// This changes the digest but not the revision.
		instance = reader.instance
	}
	return instance, instance != ""
}

// StateChanges holds the changes that a node applied from the state of another.
type StateChanges struct {
	// Table is the new routing table, nil if the table in force did not change.
	Table     *route.Table
	Upstreams []registry.Change
}

// ApplyState applies the parts of another node's store state that are newer than this
// node's and returns the changes.
func (n *Node) ApplyState(now time.Duration, state StoreState) (changes StateChanges) {
	if !n.learnsFromPeers() {
		return changes
	}
	if state.Table != nil && n.SetTable(now, state.Table) {
		changes.Table = state.Table
	}
	known := n.registry.Revision()
	if state.Revision < known || state.Revision == known && state.Digest == n.adoptedDigest {
		return changes
	}
	n.adoptedDigest = state.Digest
	for i := range state.Upstreams {
		u := state.Upstreams[i]
		if u.ColdUntil > 0 {
			u.ColdUntil += now
		}
		changes.Upstreams = append(changes.Upstreams, registry.Change{ID: u.ID, Revision: u.Revision, Upstream: &u})
	}
	for _, id := range n.registry.MergePeerState(now, changes.Upstreams, state.Present, state.Revision) {
		changes.Upstreams = append(changes.Upstreams, registry.Change{ID: id, Revision: state.Revision, Removed: true})
	}
	n.RegistryChanged()
	return changes
}
