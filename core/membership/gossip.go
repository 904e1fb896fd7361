package membership

import (
	"time"

	"github.com/shallotspool/shallotspool/core/wire"
)

// MergeGossip applies what another node reported about a node and returns whether
// to forward it: only once, and only if others may not know it from the list.
func (v *View) MergeGossip(now time.Duration, m *wire.Member) bool {
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
	isNew := m.Node.Incarnation > p.gossipIncarnation || m.Node.Incarnation == p.gossipIncarnation && m.State > p.gossipState
	worthForwarding := unknown || m.State >= wire.NodeLeaving || v.isReplacement(p, m, inst)
	if m.Node.Incarnation > p.Incarnation {
		v.overrideInstance(p, inst)
	}
	v.startIncarnation(p, m.Node.Incarnation)
	v.setState(p, m.State)
	if isNew {
		p.gossipIncarnation, p.gossipState = m.Node.Incarnation, m.State
		p.lastHeard, p.dropped = now, false
	}
	return isNew && worthForwarding
}

// isReplacement reports whether m describes a new run of p, or p with another
// service, data centre or address than is known. The first start of a listed
// instance does not count as a new run: if it did, a fleet that starts all at once
// would gossip about every node.
func (v *View) isReplacement(p *Peer, m *wire.Member, inst Instance) bool {
	if m.Node.Incarnation > p.Incarnation && p.Incarnation != 0 {
		return true
	}
	inst.Leaving = p.Leaving
	return inst != p.Instance
}

// overrideInstance adopts service, data centre and addresses of a new run, which
// the list may not contain yet.
func (v *View) overrideInstance(p *Peer, inst Instance) {
	inst.Leaving = p.Leaving
	if p.Instance == inst {
		return
	}
	p.instanceOverridden = true
	v.removeFromService(p)
	p.Instance = inst
	v.addToService(p)
	v.invalidate()
}

func instanceOf(m *wire.Member) Instance {
	return Instance{
		Target: m.Node.Target, Service: m.Service, DataCentre: m.DataCentre,
		PeerAddress: m.PeerAddress, LinkAddress: m.LinkAddress,
	}
}

// WireMember returns the message that announces p to other nodes.
func (v *View) WireMember(p *Peer) *wire.Member {
	return &wire.Member{
		Node: p.ID(), Service: p.Service, DataCentre: p.DataCentre,
		PeerAddress: p.PeerAddress, LinkAddress: p.LinkAddress, State: p.State,
	}
}
