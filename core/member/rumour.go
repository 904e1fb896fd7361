package member

import (
	"time"

	"github.com/shallotspool/shallotspool/core/wire"
)

// Told takes what another node passed on about a node, and reports whether to
// pass it on: once, and only what others may not know from the list.
func (v *View) Told(now time.Duration, m *wire.Member) bool {
	if m.Node.Target == v.cfg.Self.Target {
		return false
	}
	inst := instanceOf(m)
	p := v.peers[m.Node.Target]
	unknown := p == nil
	if unknown {
		if p = v.add(inst); p == nil {
			return false
		}
	}
	if m.Node.Incarnation < p.Incarnation {
		return false
	}
	news := m.Node.Incarnation > p.toldRun || m.Node.Incarnation == p.toldRun && m.State > p.toldState
	matters := unknown || m.State >= wire.NodeLeaving || v.replaces(p, m, inst)
	if m.Node.Incarnation > p.Incarnation {
		v.move(p, inst)
	}
	v.restart(p, m.Node.Incarnation)
	v.setState(p, m.State)
	if news {
		p.toldRun, p.toldState = m.Node.Incarnation, m.State
		p.heard, p.gone = now, false
	}
	return news && matters
}

// replaces tells whether m is a new run of p, or p with other addresses than
// are known. The first start of a listed instance is neither, so that a fleet
// that starts together does not tell everybody of everybody.
func (v *View) replaces(p *Peer, m *wire.Member, inst Instance) bool {
	if m.Node.Incarnation > p.Incarnation && p.Incarnation != 0 {
		return true
	}
	inst.Leaving = p.Leaving
	return inst != p.Instance
}

// move takes the addresses of a new run over; the list may lag behind them.
func (v *View) move(p *Peer, inst Instance) {
	inst.Leaving = p.Leaving
	if p.Instance == inst {
		return
	}
	p.moved = true
	v.part(p)
	p.Instance = inst
	v.join(p)
	v.changed()
}

func instanceOf(m *wire.Member) Instance {
	return Instance{
		Target: m.Node.Target, Service: m.Service, DataCentre: m.DataCentre,
		PeerAddress: m.PeerAddress, LinkAddress: m.LinkAddress,
	}
}

// Describe returns what others should know of p.
func (v *View) Describe(p *Peer) *wire.Member {
	return &wire.Member{
		Node: p.ID(), Service: p.Service, DataCentre: p.DataCentre,
		PeerAddress: p.PeerAddress, LinkAddress: p.LinkAddress, State: p.State,
	}
}
