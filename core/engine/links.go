package engine

import (
	"time"

	"github.com/shallotspool/shallotspool/core/membership"
	"github.com/shallotspool/shallotspool/core/wire"
)

// heartbeatInterval is how often a node sends its state to linked nodes.
const heartbeatInterval = 250 * time.Millisecond

// maxHeartbeatsPerInterval bounds the heartbeats that a node sends in one
// interval. If it has more links, it serves them round-robin and announces in
// each heartbeat when the next one is due.
const maxHeartbeatsPerInterval = 16

// openLinks requests the links that this node should have but lacks.
func (n *Node) openLinks() {
	for _, p := range n.view.LinksToOpen(n.now, n.callees) {
		n.emit(&OpenLink{Target: p.Target})
	}
}

// linkChanged processes the opening or closing of a link.
func (n *Node) linkChanged(ev *LinkChanged) {
	if p := n.view.LinkChanged(n.now, ev.Peer, ev.Up); p != nil {
		n.introduceSelf(p)
	}
	// After a restart of the peer, its earlier stamp is obsolete.
	n.recordStamp(ev.Peer.Target, wire.Stamp{Incarnation: ev.Peer.Incarnation})
	if ev.Up {
		n.sendSuspects(ev.Peer)
	}
}

// introduceSelf sends this node's state, membership record and document version
// to a newly linked node.
func (n *Node) introduceSelf(p *membership.Peer) {
	n.sendHeartbeat(p, heartbeatInterval)
	n.emit(&SendFrame{To: p.ID(), Frame: wire.Frame{Member: n.describeSelf()}})
	n.documents.SendDigest(p)
}

// describeSelf returns this node's membership record.
func (n *Node) describeSelf() *wire.Member {
	return n.view.WireMember(n.view.Peer(n.cfg.Self.Target))
}

// sendHeartbeats sends the heartbeats of one interval.
func (n *Node) sendHeartbeats() {
	linked := n.view.LinkedPeers()
	if len(linked) == 0 {
		return
	}
	rounds := (len(linked) + maxHeartbeatsPerInterval - 1) / maxHeartbeatsPerInterval
	next := time.Duration(rounds) * heartbeatInterval
	for range min(maxHeartbeatsPerInterval, len(linked)) {
		n.heartbeatCursor = (n.heartbeatCursor + 1) % len(linked)
		n.sendHeartbeat(linked[n.heartbeatCursor], next)
	}
}

// announce tells all linked nodes at once that this node's state has changed.
func (n *Node) announce() {
	record := n.describeSelf()
	for _, p := range n.view.LinkedPeers() {
		n.sendHeartbeat(p, heartbeatInterval)
		n.emit(&SendFrame{To: p.ID(), Frame: wire.Frame{Member: record}})
	}
}

// sendHeartbeat sends one heartbeat, which states that the next one is due
// after the duration next.
func (n *Node) sendHeartbeat(p *membership.Peer, next time.Duration) {
	heartbeat := &wire.Heartbeat{
		State: n.publishedState(), DocumentVersion: n.documents.Version(), Load: n.loadWithLevel(n.admissionControl.Level()),
		NextHeartbeatMS: uint32(next / time.Millisecond), Stamp: n.stamp(),
	}
	n.emit(&SendFrame{To: p.ID(), Frame: wire.Frame{Heartbeat: heartbeat}})
}

// frameReceived processes a frame from another node. Frames from an unknown
// node or an earlier run of a node are ignored, except for a node's record of
// itself and for suspects.
func (n *Node) frameReceived(ev *FrameReceived) {
	f := &ev.Frame
	if f.Member != nil && f.Member.Node == ev.From {
		// A node that the platform's list does not contain yet introduces
		// itself.
		n.memberReceived(f.Member)
	}
	if f.Suspect != nil {
		// Crash reports count even from nodes that are not known.
		n.suspectReceived(ev.From, f.Suspect)
		return
	}
	p := n.view.RecordFrame(n.now, ev.From)
	if p == nil {
		return
	}
	switch {
	case f.Heartbeat != nil:
		n.view.HandleHeartbeat(p, f.Heartbeat)
		n.recordStamp(p.Target, f.Heartbeat.Stamp)
		n.documents.HandlePeerVersion(n.now, p, f.Heartbeat.DocumentVersion)
	case f.Digest != nil:
		n.documents.HandleDigest(n.now, p, f.Digest)
	case f.DocumentRequest != nil:
		n.documents.HandleDocumentRequest(n.now, p, f.DocumentRequest.KnownVersion)
	case f.Document != nil:
		n.documents.HandleDocument(n.now, f.Document)
	case f.Member != nil:
		n.memberReceived(f.Member)
	case f.Fence != nil:
		n.fenceReceived(ev.From, f.Fence)
	case f.FenceReply != nil:
		n.fenceAnswered(f.FenceReply)
	case f.Cancel != nil:
		if c := n.callsBySend[f.Cancel.Send]; c != nil {
			n.callerGone(c.id)
		}
	}
}
