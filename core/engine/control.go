package engine

import (
	"time"

	"github.com/shallotspool/shallotspool/core/document"
	"github.com/shallotspool/shallotspool/core/wire"
)

// readInterval is how often a node reads the platform.
const readInterval = 2 * time.Second

func (n *Node) tick() {
	n.expire()
	n.guard.Tick(n.now)
	n.drainQueue()
	n.forgetOld()
	if n.now >= n.readAt {
		n.readAt = n.now + readInterval
		n.emit(&ReadPlatform{Resource: ResourceMembers})
		n.emit(&ReadPlatform{Resource: ResourceDocument})
	}
	if n.now >= n.heartbeat {
		n.heartbeat = n.now + heartbeatInterval
		n.sendStates()
	}
	n.checkStopped()
}

func (n *Node) sendStates() {
	state := &wire.State{State: n.state, Load: n.Load(), Stamp: n.stamp()}
	if n.doc != nil {
		state.Document = uint64(n.doc.Version)
	}
	for _, p := range n.view.Linked() {
		to := wire.NodeID{Target: p.Target, Incarnation: p.Incarnation}
		n.emit(&SendFrame{To: to, Frame: wire.Frame{State: state}})
	}
}

func (n *Node) frame(ev *FrameReceived) {
	p := n.view.Peer(ev.From.Target)
	if p == nil || ev.From.Incarnation < p.Incarnation {
		return
	}
	p.Incarnation = ev.From.Incarnation
	switch f := ev.Frame; {
	case f.State != nil:
		p.State, p.Load = f.State.State, f.State.Load
		n.hear(ev.From.Target, f.State.Stamp)
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
		n.hear(ev.Peer.Target, wire.Stamp{Incarnation: ev.Peer.Incarnation})
		if ev.Up {
			n.greet(ev.Peer)
		}
	}
}

func (n *Node) documentSeen(ev *DocumentSeen) {
	if n.doc != nil && ev.Version <= n.doc.Version && !n.faults().OlderDocument {
		return
	}
	doc, err := document.Parse(ev.Text)
	if err != nil {
		n.emit(&Log{Level: LogError, Message: "document refused", Fields: []Field{{"reason", err.Error()}}})
		return
	}
	before := n.doc
	n.checkNewer(before, doc)
	n.doc = doc
	n.followDocument(before)
}

func (n *Node) membersSeen(ev *MembersSeen) {
	n.view.Merge(ev.List)
	for _, inst := range ev.List {
		if p := n.view.Peer(inst.Target); !p.Linked && p.Target != n.cfg.Self.Target {
			n.emit(&OpenLink{Target: inst.Target})
		}
	}
}

func (n *Node) stop() {
	if n.state < wire.NodeLeaving {
		n.state = wire.NodeLeaving
		n.leftAt = n.now
		n.sendStates()
		n.refuseQueued(ReasonLeaving)
	}
	n.checkStopped()
}

func (n *Node) checkStopped() {
	if n.faults().WorkWhileLeaving && n.now-n.leftAt < 2*leavingBound {
		return
	}
	if n.state == wire.NodeLeaving && (len(n.calls) == 0 || n.faults().CutOnStop) {
		n.checkNothingOpen()
		n.state = wire.NodeLeft
		n.sendStates()
		n.emit(&Stopped{})
	}
}
