package engine

import (
	"github.com/shallotspool/shallotspool/core/wire"
)

func (n *Node) sendStates() {
	state := &wire.State{State: n.state, Load: n.load(n.guard.Level()), Stamp: n.stamp()}
	if n.doc != nil {
		state.Document = uint64(n.doc.Version)
	}
	for _, p := range n.view.Linked() {
		to := wire.NodeID{Target: p.Target, Incarnation: p.Incarnation}
		n.emit(&SendFrame{To: to, Frame: wire.Frame{State: state}})
	}
}

// frame takes a frame of another node; those of an earlier run are ignored.
func (n *Node) frame(ev *FrameReceived) {
	p := n.view.Peer(ev.From.Target)
	if p == nil || ev.From.Incarnation < p.Incarnation {
		return
	}
	p.Incarnation = ev.From.Incarnation
	switch f := ev.Frame; {
	case f.State != nil:
		p.State, p.Load = f.State.State, f.State.Load
		n.noteStamp(ev.From.Target, f.State.Stamp)
	case f.Fence != nil:
		n.fenceAsked(ev.From, f.Fence)
	case f.Fenced != nil:
		n.fenced(f.Fenced)
	case f.Suspect != nil:
		n.suspectHeard(ev.From, f.Suspect)
	case f.Cancel != nil:
		if c := n.sends[f.Cancel.Send]; c != nil {
			n.callerGone(c.id)
		}
	}
}

func (n *Node) linkChanged(ev *LinkChanged) {
	if p := n.view.Peer(ev.Peer.Target); p != nil {
		p.Linked = ev.Up
		p.Incarnation = max(p.Incarnation, ev.Peer.Incarnation)
		n.noteStamp(ev.Peer.Target, wire.Stamp{Incarnation: ev.Peer.Incarnation})
		if ev.Up {
			n.greet(ev.Peer)
		}
	}
}
