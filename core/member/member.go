// Package member keeps a node's view of the other nodes: what the platform's
// lagging list says, corrected by what the nodes say of themselves. It also
// chooses the nodes that this one keeps links to. A View is not safe for
// concurrent use; the engine owns it. All times are the engine's own.
package member

import (
	"slices"
	"strings"
	"time"

	"github.com/shallotspool/shallotspool/core/chart"
	"github.com/shallotspool/shallotspool/core/wire"
)

// The limits of a view.
const (
	// MaxInstances bounds the nodes that a view holds.
	MaxInstances = 10_000
	// MaxSubset bounds the nodes of one service that calls are divided over.
	MaxSubset = 16
)

// Instance is one line of the platform's list.
type Instance struct {
	Target     string
	Service    string
	DataCentre string
	// PeerAddress and LinkAddress are IP:port.
	PeerAddress string
	LinkAddress string
	Leaving     bool
}

// Peer is what a node knows of another, or of itself.
type Peer struct {
	Instance
	// Incarnation is 0 until the node was heard.
	Incarnation uint64
	State       wire.NodeState
	Load        wire.Load
	Linked      bool
	// Document is the version in force there, 0 while unknown.
	Document uint64
	// Refused is the highest version refused there, 0 if none was.
	Refused uint64

	// leavingRun is the incarnation that was known when the list began to call
	// the instance leaving; a later one is a new run that the list lags behind.
	leavingRun uint64
	// listed is true while the list names it, gone once it no longer does.
	listed bool
	gone   bool
	// link lives by the chart of links; avoid is true while the node behind it
	// is lost or silent.
	link   chart.Machine
	avoid  bool
	heard  time.Duration
	expect time.Duration
	// asked is when this node last asked for a link.
	asked time.Duration
	// toldRun and toldState are the latest news that came of p.
	toldRun   uint64
	toldState wire.NodeState
	// moved is true while the addresses come from a run that the list lags
	// behind.
	moved bool
	// said is true once the run known has told its state.
	said bool
}

// Takes tells whether p is given new work.
func (p *Peer) Takes() bool {
	return p.State == wire.NodeServing && !p.leaving() && p.reachable()
}

// leaving tells whether the list's word on leaving is about the run known.
func (p *Peer) leaving() bool { return p.Leaving && p.Incarnation <= p.leavingRun }

func (p *Peer) reachable() bool { return !p.avoid && !p.gone }

// ID returns the run of the node that is known.
func (p *Peer) ID() wire.NodeID {
	return wire.NodeID{Target: p.Target, Incarnation: p.Incarnation}
}

// Config is what a view knows of its own node.
type Config struct {
	Self       wire.NodeID
	Service    string
	DataCentre string
}

// View is the set of known nodes, by target name.
type View struct {
	cfg      Config
	peers    map[string]*Peer
	services map[string]*group
	// linked and all are sorted by target; all is nil when it has to be built.
	linked []*Peer
	all    []*Peer
	// epoch counts changes of who is known and who can be reached.
	epoch    uint64
	lastTick time.Duration
	doubt    doubt
	dropAt   time.Duration
	links    linkChoice
	// early holds the links of nodes that are not known yet.
	early map[string]wire.NodeID
	rank  rankCache
}

// group is the nodes of one service, sorted by target.
type group struct {
	all []*Peer
	// subset is nil when it has to be chosen.
	subset []*Peer
}

// NewView returns a view that knows only its own node.
func NewView(cfg Config) *View {
	v := &View{cfg: cfg, peers: map[string]*Peer{}, services: map[string]*group{}, early: map[string]wire.NodeID{}}
	self := v.add(Instance{Target: cfg.Self.Target, Service: cfg.Service, DataCentre: cfg.DataCentre})
	self.Incarnation = cfg.Self.Incarnation
	return v
}

// Peer returns the named node, or nil.
func (v *View) Peer(target string) *Peer { return v.peers[target] }

// Size returns the number of known nodes.
func (v *View) Size() int { return len(v.peers) }

// All returns the known nodes, by target name. The caller must not change the
// slice.
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

// Linked returns the nodes this one has a link to, by target name. The caller
// must not change the slice.
func (v *View) Linked() []*Peer { return v.linked }

func byTarget(a, b *Peer) int { return strings.Compare(a.Target, b.Target) }

// add takes an instance in that was not known; nil when the view is full.
func (v *View) add(inst Instance) *Peer {
	if len(v.peers) >= MaxInstances {
		return nil
	}
	p := &Peer{Instance: inst, State: wire.NodeServing, link: linkChart.Start()}
	v.peers[inst.Target] = p
	v.join(p)
	v.changed()
	if id, linked := v.early[inst.Target]; linked {
		delete(v.early, inst.Target)
		p.Incarnation = id.Incarnation
		v.setLinked(p, true)
		v.fire(p, linkOpened)
	}
	return p
}

func (v *View) join(p *Peer) {
	g := v.services[p.Service]
	if g == nil {
		g = &group{}
		v.services[p.Service] = g
	}
	at, _ := slices.BinarySearchFunc(g.all, p, byTarget)
	// The old slice may still be in a caller's hands.
	g.all = slices.Insert(slices.Clone(g.all), at, p)
	g.subset = nil
}

func (v *View) part(p *Peer) {
	g := v.services[p.Service]
	if at, found := slices.BinarySearchFunc(g.all, p, byTarget); found {
		g.all = slices.Delete(slices.Clone(g.all), at, at+1)
		g.subset = nil
	}
	if len(g.all) == 0 {
		delete(v.services, p.Service)
	}
}

func (v *View) drop(p *Peer) {
	v.part(p)
	delete(v.peers, p.Target)
	v.setLinked(p, false)
	v.changed()
}

func (v *View) changed() {
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
