package engine

import (
	"time"

	"github.com/shallotspool/shallotspool/core/member"
	"github.com/shallotspool/shallotspool/core/wire"
)

// statesPerBeat bounds the heartbeats a node sends in one interval. With more
// links than that each gets its turn, and is told when the next one is due.
const statesPerBeat = 16

// openLinks asks for the links that this node should have and has not.
func (n *Node) openLinks() {
	for _, p := range n.view.Links(n.now, n.callees) {
		n.emit(&OpenLink{Target: p.Target})
	}
}

// linkChanged takes the opening or closing of a link.
func (n *Node) linkChanged(ev *LinkChanged) {
	if p := n.view.LinkChanged(n.now, ev.Peer, ev.Up); p != nil {
		n.welcome(p)
	}
	n.noteStamp(ev.Peer.Target, wire.Stamp{Incarnation: ev.Peer.Incarnation})
	if ev.Up {
		n.greet(ev.Peer)
	}
}

// welcome tells a newly linked node all it should know of this one.
func (n *Node) welcome(p *member.Peer) {
	n.sendState(p, heartbeatInterval)
	n.emit(&SendFrame{To: p.ID(), Frame: wire.Frame{Member: n.describeSelf()}})
	n.documents.Greet(p)
}

func (n *Node) describeSelf() *wire.Member {
	return n.view.Describe(n.view.Peer(n.cfg.Self.Target))
}

// sendStates sends the heartbeats that are due.
func (n *Node) sendStates() {
	linked := n.view.Linked()
	if len(linked) == 0 {
		return
	}
	rounds := (len(linked) + statesPerBeat - 1) / statesPerBeat
	next := time.Duration(rounds) * heartbeatInterval
	for range min(statesPerBeat, len(linked)) {
		n.beat = (n.beat + 1) % len(linked)
		n.sendState(linked[n.beat], next)
	}
}

// announce tells all linked nodes at once that this one's state changed.
func (n *Node) announce() {
	member := n.describeSelf()
	for _, p := range n.view.Linked() {
		n.sendState(p, heartbeatInterval)
		n.emit(&SendFrame{To: p.ID(), Frame: wire.Frame{Member: member}})
	}
}

// sendState sends one heartbeat and promises the next one.
func (n *Node) sendState(p *member.Peer, next time.Duration) {
	state := &wire.State{
		State: n.toldState(), Document: n.documents.Version(), Load: n.load(n.guard.Level()),
		NextMS: uint32(next / time.Millisecond), Stamp: n.stamp(),
	}
	n.emit(&SendFrame{To: p.ID(), Frame: wire.Frame{State: state}})
}

// frame takes a frame of another node; those of an earlier run are ignored.
func (n *Node) frame(ev *FrameReceived) {
	f := &ev.Frame
	if f.Member != nil && f.Member.Node == ev.From {
		// A node that the list does not name yet introduces itself.
		n.memberTold(f.Member)
	}
	if f.Suspect != nil {
		// A crash counts whatever is known of the node that tells it.
		n.suspectHeard(ev.From, f.Suspect)
		return
	}
	p := n.view.Fresh(n.now, ev.From)
	if p == nil {
		return
	}
	switch {
	case f.State != nil:
		n.view.Heartbeat(p, f.State)
		n.noteStamp(p.Target, f.State.Stamp)
		n.documents.Heard(n.now, p, f.State.Document)
	case f.Digest != nil:
		n.documents.Digest(n.now, p, f.Digest)
	case f.Pull != nil:
		n.documents.Pull(n.now, p, f.Pull.Have)
	case f.Document != nil:
		n.documents.Text(n.now, f.Document)
	case f.Member != nil:
		n.memberTold(f.Member)
	case f.Fence != nil:
		n.fenceAsked(ev.From, f.Fence)
	case f.Fenced != nil:
		n.fenced(f.Fenced)
	case f.Cancel != nil:
		if c := n.sends[f.Cancel.Send]; c != nil {
			n.callerGone(c.id)
		}
	}
}
