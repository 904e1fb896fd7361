// Package member keeps a node's view of the other nodes: what the platform's
// lagging list says, corrected by what the nodes say of themselves. A View is
// not safe for concurrent use; the engine owns it.
package member

import (
	"slices"
	"strings"

	"github.com/shallotspool/shallotspool/core/wire"
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

// Peer is what a node knows of another.
type Peer struct {
	Instance
	// Incarnation is 0 until the node was heard.
	Incarnation uint64
	State       wire.NodeState
	Load        wire.Load
	Linked      bool
}

// View is the set of known nodes, by target name.
type View struct {
	peers    map[string]*Peer
	services map[string][]*Peer
}

// NewView returns an empty view.
func NewView() *View {
	return &View{peers: map[string]*Peer{}, services: map[string][]*Peer{}}
}

// Merge takes the platform's list in.
func (v *View) Merge(list []Instance) {
	for _, inst := range list {
		p := v.peers[inst.Target]
		if p == nil {
			p = &Peer{State: wire.NodeServing}
			v.peers[inst.Target] = p
			v.services[inst.Service] = append(v.services[inst.Service], p)
		}
		p.Instance = inst
	}
}

// Peer returns the named node, or nil.
func (v *View) Peer(target string) *Peer { return v.peers[target] }

// Service returns the known nodes of a service, in a fixed order. The caller
// must not change the slice.
func (v *View) Service(name string) []*Peer { return v.services[name] }

// Takes tells whether p is given new work.
func (p *Peer) Takes() bool { return !p.Leaving && p.State == wire.NodeServing }

// All returns the known nodes, by target name.
func (v *View) All() []*Peer {
	all := make([]*Peer, 0, len(v.peers))
	for _, p := range v.peers {
		all = append(all, p)
	}
	slices.SortFunc(all, func(a, b *Peer) int { return strings.Compare(a.Target, b.Target) })
	return all
}

// Linked returns the nodes this one has a link to, in a fixed order.
func (v *View) Linked() []*Peer {
	var linked []*Peer
	for _, p := range v.peers {
		if p.Linked {
			linked = append(linked, p)
		}
	}
	slices.SortFunc(linked, func(a, b *Peer) int { return strings.Compare(a.Target, b.Target) })
	return linked
}
