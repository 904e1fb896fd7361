// Package membership maintains a node's view of the other nodes: the platform's
// member list, which lags behind, corrected by what the nodes state about
// themselves. It also selects the nodes that this one keeps links to.
//
// A View is not safe for concurrent use; it belongs to the engine. All times are
// on the engine's clock.
package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/shallotspool/shallotspool/core/statechart"
	"github.com/shallotspool/shallotspool/core/wire"
)

// Limits of a View.
const (
	// MaxInstances limits how many nodes a view holds.
	MaxInstances = 10_000
	// MaxSubset limits how many nodes of one service calls are balanced over.
	MaxSubset = 16
)

// Instance is one entry of the platform's member list.
type Instance struct {
	Target     string
	Service    string
	DataCentre string
	// PeerAddress and LinkAddress have the form IP:port.
	PeerAddress string
	LinkAddress string
	Leaving     bool
}

// Peer is what a node knows about another node or about itself.
type Peer struct {
	Instance
	// Incarnation identifies the run of the node; 0 until the node was heard
	// from.
	Incarnation uint64
	State       wire.NodeState
	Load        wire.Load
	Linked      bool
	// DocumentVersion is the version in force at the node, 0 while unknown.
	DocumentVersion uint64
	// RejectedVersion is the highest version the node reports as rejected, 0 if none.
	RejectedVersion uint64

	// leavingIncarnation is the incarnation known when the list first marked the
	// instance as leaving. A higher incarnation is a new run that the list does
	// not reflect yet.
	leavingIncarnation uint64
	// listed is true if the list contains the node. dropped is set if the node is
	// not linked when it disappears from the list, and cleared once it is listed or
	// heard from again. A dropped node gets neither work nor links.
	listed  bool
	dropped bool
	// link is the state machine of the link. unreachable is true while the link
	// is lost or the node behind it is silent.
	link        statechart.Machine
	unreachable bool
	// lastHeard is when the node was last heard from: by a frame, a new link or new
	// gossip, or when it was first listed. Pauses of this node are added to it while
	// there is a link. heartbeatInterval is the time until the next heartbeat as
	// announced in the last one; 0 until then.
	lastHeard         time.Duration
	heartbeatInterval time.Duration
	// linkRequestedAt is when this node last requested a link, 0 if never.
	linkRequestedAt time.Duration
	// gossipIncarnation and gossipState are the latest incarnation and state
	// received through gossip.
	gossipIncarnation uint64
	gossipState       wire.NodeState
	// instanceOverridden is true while Instance comes from a run that the list does
	// not reflect yet.
	instanceOverridden bool
	// stateReported is true once the current run or gossip has reported its state.
	stateReported bool
}

// AcceptsWork reports whether p may be given new work.
func (p *Peer) AcceptsWork() bool {
	return p.State == wire.NodeServing && !p.isLeaving() && p.isReachable()
}

// isLeaving reports whether the list marks the current run as leaving.
func (p *Peer) isLeaving() bool { return p.Leaving && p.Incarnation <= p.leavingIncarnation }

func (p *Peer) isReachable() bool { return !p.unreachable && !p.dropped }

// ID returns the identity of the current run of the node.
func (p *Peer) ID() wire.NodeID {
	return wire.NodeID{Target: p.Target, Incarnation: p.Incarnation}
}

// Config identifies the node that a View belongs to.
type Config struct {
	Self       wire.NodeID
	Service    string
	DataCentre string
}

// View is the set of known nodes, indexed by target name.
type View struct {
	cfg      Config
	peers    map[string]*Peer
	services map[string]*serviceGroup
	// linked and all are sorted by target name; all is nil if it must be
	// rebuilt.
	linked []*Peer
	all    []*Peer
	// epoch counts the changes of membership and reachability, to invalidate
	// cached selections.
	epoch         uint64
	lastTick      time.Duration
	shrunkList    shrunkList
	nextRemovalAt time.Duration
	linkCache     cachedLinks
	// earlyLinks holds the open links to nodes that are not known yet, by target
	// name.
	earlyLinks map[string]wire.NodeID
	rankCache  cachedRank
}

// serviceGroup is the set of nodes of one service, sorted by target name.
type serviceGroup struct {
	all []*Peer
	// subset is nil if it must be selected again.
	subset []*Peer
}

// NewView returns a view that knows only its own node.
func NewView(cfg Config) *View {
	v := &View{cfg: cfg, peers: map[string]*Peer{}, services: map[string]*serviceGroup{}, earlyLinks: map[string]wire.NodeID{}}
	self := v.add(Instance{Target: cfg.Self.Target, Service: cfg.Service, DataCentre: cfg.DataCentre})
	self.Incarnation = cfg.Self.Incarnation
	return v
}

// Peer returns the node with that target name, or nil.
func (v *View) Peer(target string) *Peer { return v.peers[target] }

// Size returns the number of known nodes, this one included.
func (v *View) Size() int { return len(v.peers) }

// All returns the known nodes sorted by target name. The caller must not modify
// the slice.
func (v *View) All() []*Peer {
	if v.all == nil {
		v.all = make([]*Peer, 0, len(v.peers))
		for _, p := range v.peers {
			v.all = append(v.all, p)
		}
		slices.SortFunc(v.all, byTarget)
	}
	return v.all
}

// LinkedPeers returns the nodes that this one has an open link to, sorted by
// target name. The caller must not modify the slice.
func (v *View) LinkedPeers() []*Peer { return v.linked }

func byTarget(a, b *Peer) int { return strings.Compare(a.Target, b.Target) }

// add inserts an unknown instance. It returns nil if the view is full.
func (v *View) add(inst Instance) *Peer {
	if len(v.peers) >= MaxInstances {
		return nil
	}
	p := &Peer{Instance: inst, State: wire.NodeServing, link: linkChart.NewMachine()}
	v.peers[inst.Target] = p
	v.addToService(p)
	v.invalidate()
	if id, linked := v.earlyLinks[inst.Target]; linked {
		delete(v.earlyLinks, inst.Target)
		p.Incarnation = id.Incarnation
		v.setLinked(p, true)
		v.fireLinkEvent(p, eventOpened)
	}
	return p
}

func (v *View) addToService(p *Peer) {
	g := v.services[p.Service]
	if g == nil {
		g = &serviceGroup{}
		v.services[p.Service] = g
	}
	at, _ := slices.BinarySearchFunc(g.all, p, byTarget)
	// Copy: a caller may still hold the old slice.
	g.all = slices.Insert(slices.Clone(g.all), at, p)
	g.subset = nil
}

func (v *View) removeFromService(p *Peer) {
	g := v.services[p.Service]
	if at, found := slices.BinarySearchFunc(g.all, p, byTarget); found {
		g.all = slices.Delete(slices.Clone(g.all), at, at+1)
		g.subset = nil
	}
	if len(g.all) == 0 {
		delete(v.services, p.Service)
	}
}

// remove deletes p from the view.
func (v *View) remove(p *Peer) {
	v.removeFromService(p)
	delete(v.peers, p.Target)
	v.setLinked(p, false)
	v.invalidate()
}

// invalidate discards cached selections after a change of membership.
func (v *View) invalidate() {
	v.epoch++
	v.all = nil
}

func (v *View) setLinked(p *Peer, up bool) {
	p.Linked = up
	at, found := slices.BinarySearchFunc(v.linked, p, byTarget)
	switch {
	case up && !found:
		v.linked = slices.Insert(slices.Clone(v.linked), at, p)
	case !up && found:
		v.linked = slices.Delete(slices.Clone(v.linked), at, at+1)
	}
}
