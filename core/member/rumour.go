package member

import (
	"time"

	"github.com/shallotspool/shallotspool/core/wire"
)

// Told takes what another node passed on about a node, and reports whether it
// was news: a run nobody told of yet, or a later state of the run told of. News
// are worth passing on, once, also when the node itself was heard before.
func (v *View) Told(now time.Duration, m *wire.Member) bool {
	if m.Node.Target == v.cfg.Self.Target {
		return false
	}
	p := v.peers[m.Node.Target]
	if p == nil {
		if p = v.add(instanceOf(m)); p == nil {
			return false
		}
		p.heard = now
	}
	if m.Node.Incarnation < p.Incarnation {
		return false
	}
	news := m.Node.Incarnation > p.toldRun || m.Node.Incarnation == p.toldRun && m.State > p.toldState
	if m.Node.Incarnation > p.Incarnation {
		v.move(p, instanceOf(m))
	}
	v.restart(p, m.Node.Incarnation)
	v.setState(p, m.State)
	if news {
		p.toldRun, p.toldState = m.Node.Incarnation, m.State
		p.heard, p.gone = now, false
	}
	return news
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
