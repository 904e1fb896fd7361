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
	// Unusable holds the IDs of registrations that RemoveInvalid took out of Upstreams. It is
	// not sent.
	Unusable []string `cbor:"-"`
	// Present holds the IDs of all registrations, and Lapsed those of them that are gone from the
	// store but may return.
	Present []string
	Lapsed  []registry.Lapse
	// Removals holds the registrations that were removed recently. It is sent to a node
	// whose state is of another era of the store.
	Removals []registry.Upstream
	// Era and Revision are the position of the store up to which the registrations are
	// current. Digest identifies their set; see registryDigest.
	Era      uint64
	Revision uint64
	Digest   uint32
}

// Position returns the position of the store up to which the registrations are current.
func (s StoreState) Position() registry.Position {
	return registry.Position{Era: s.Era, Revision: s.Revision}
}

// StoreVersion is the version of the store's content that a node holds.
type StoreVersion struct {
	Version  route.Version
	Position registry.Position
}

// StoreVersion returns the version of the store's content that this node holds.
func (n *Node) StoreVersion() StoreVersion {
	known := StoreVersion{Position: n.registry.Position()}
	if n.table != nil {
		known.Version = n.table.Version
	}
	return known
}

// StateSince returns the part of this node's store state that is newer than known. If
// known is of another era, that is all of it.
func (n *Node) StateSince(now time.Duration, known StoreVersion) StoreState {
	position := n.registry.Position()
	state := StoreState{Era: position.Era, Revision: position.Revision, Digest: registryDigest(n.registry), Lapsed: n.registry.Lapses(now)}
	if n.table != nil && n.table.Version > known.Version {
		state.Table = n.table
	}
	if position.Era != known.Position.Era {
		state.Removals = n.registry.Removals()
	}
	n.registry.ForEach(func(u *registry.Upstream) {
		state.Present = append(state.Present, u.ID)
		if u.Era == known.Position.Era && u.Revision <= known.Position.Revision {
			return
		}
		changed := *u
		changed.ColdUntil = max(u.ColdUntil-now, 0)
		state.Upstreams = append(state.Upstreams, changed)
	})
	return state
}

// newerStateDelay is how long a node that reads the store waits for a table or registrations
// from there that another node already has.
const newerStateDelay = 500 * time.Millisecond

const (
	// stateRetryDelay is how long a node does not fetch the state of an instance again after
	// that failed, so that it turns to others.
	stateRetryDelay = time.Second
	// catchUpPatience is how long a node relies on others while it cannot fetch their state.
	// Then it reads the store itself.
	catchUpPatience = 500 * time.Millisecond
)

// StateFetchFailed records that the store state of an instance could not be fetched or used.
func (n *Node) StateFetchFailed(now time.Duration, instance string) {
	if n.fetchFailingSince == 0 {
		n.fetchFailingSince = now
	}
	if p := n.peers[instance]; p != nil {
		p.stateRetryAt = now + stateRetryDelay
	}
}

// cannotCatchUp reports whether this node knows of newer state that it fails to fetch.
func (n *Node) cannotCatchUp(now time.Duration) bool {
	return n.CatchUpFailingFor(now) >= catchUpPatience
}

// CatchUpFailingFor returns since how long this node fails to fetch the state of other nodes, 0
// if it does not.
func (n *Node) CatchUpFailingFor(now time.Duration) time.Duration {
	if n.fetchFailingSince == 0 {
		return 0
	}
	return now - n.fetchFailingSince
}

// NewerPeer returns the instance whose store state this node should fetch. ok is false if
// there is none. A node that takes its state from the store itself needs it only if it does not
// get it from there: its watch may be on a connection that is silent, and a store that was
// restored from a copy may lack the newest table.
func (n *Node) NewerPeer(now time.Duration) (instance string, ok bool) {
	known := n.StoreVersion()
	instance, newest := n.newestPeer(now, known)
	if !n.learnsFromPeers() {
		if newest.Version <= known.Version && !laterInEra(newest.Position, known.Position) {
			n.behindSince = 0
			return "", false
		}
		if n.behindSince == 0 {
			n.behindSince = now
		}
		return instance, now >= n.behindSince+newerStateDelay
	}
	reader := n.firstPrecedingReader(now)
	if instance == "" && reader != nil && now >= reader.stateRetryAt && !newest.Position.After(reader.heartbeat.Position()) && reader.heartbeat.RegistryDigest != n.adoptedDigest {
		// The reader has removed a registration that did not return after an outage.
		// This changes the digest but not the position.
		instance = reader.instance
	}
	return instance, instance != ""
}

// laterInEra reports whether position a is after b in the same era. What another node knows at such
// a position is newer, whether or not it is in touch with the store. In another era the store may
// have been restored.
func laterInEra(a, b registry.Position) bool { return a.Era == b.Era && a.After(b) }

// newestPeer returns the live instance with the newest store state after known that may be
// fetched, and that state's version. It returns known if there is none.
func (n *Node) newestPeer(now time.Duration, known StoreVersion) (instance string, newest StoreVersion) {
	newest = known
	for _, p := range n.peers {
		alive := p.heartbeatAt > 0 && !p.silent(now) && !p.heartbeat.Leaving && now >= p.stateRetryAt
		newer := p.heartbeat.Version > newest.Version || p.heartbeat.Version == newest.Version && p.heartbeat.Position().After(newest.Position)
		if alive && newer {
			instance, newest = p.instance, StoreVersion{p.heartbeat.Version, p.heartbeat.Position()}
		}
	}
	return instance, newest
}

// StateChanges holds the changes that a node applied from the state of another.
type StateChanges struct {
	// Table is the new routing table, nil if the table in force did not change.
	Table     *route.Table
	Upstreams []registry.Change
}

// ApplyState applies the parts of another node's store state that are newer than this
// node's and returns the changes. A node that takes its state from the store itself
// applies only a newer table, and registrations of a later position in the same era.
func (n *Node) ApplyState(now time.Duration, state StoreState) (changes StateChanges) {
	n.fetchFailingSince = 0
	if state.Table != nil && n.SetTable(now, state.Table) {
		changes.Table = state.Table
	}
	if !n.learnsFromPeers() && !laterInEra(state.Position(), n.registry.Position()) {
		return changes
	}
	order := state.Position().Compare(n.registry.Position())
	if order < 0 || order == 0 && state.Digest == n.adoptedDigest {
		return changes
	}
	n.adoptedDigest = state.Digest
	n.registry.LearnRemovals(now, state.Removals)
	for i := range state.Upstreams {
		u := state.Upstreams[i]
		if u.ColdUntil > 0 {
			u.ColdUntil += now
		}
		changes.Upstreams = append(changes.Upstreams, registry.Change{ID: u.ID, Era: u.Era, Revision: u.Revision, Upstream: &u})
	}
	for _, id := range state.Unusable {
		changes.Upstreams = append(changes.Upstreams, registry.Change{ID: id, Era: state.Era, Revision: state.Revision})
	}
	for _, id := range n.registry.MergePeerState(now, changes.Upstreams, state.Present, state.Lapsed, state.Position()) {
		changes.Upstreams = append(changes.Upstreams, registry.Change{ID: id, Era: state.Era, Revision: state.Revision, Removed: true})
	}
	n.RegistryChanged()
	return changes
}
