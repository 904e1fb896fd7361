package membership

import (
	"time"

	"github.com/shallotspool/shallotspool/core/wire"
)

const (
	// A node is silent once nothing was heard from it for maxMissedHeartbeats
	// heartbeat intervals and silenceSlack.
	maxMissedHeartbeats = 3
	silenceSlack        = 500 * time.Millisecond
	// pauseThreshold is the gap between two ticks above which this node itself
	// is assumed to have been paused. The pause is not counted as silence of the
	// other nodes.
	pauseThreshold = time.Second
)

// RecordFrame records that a frame from the run id arrived and returns its peer. It
// returns nil for an unknown node and for a run older than the current one.
func (v *View) RecordFrame(now time.Duration, id wire.NodeID) *Peer {
	p := v.peers[id.Target]
	if p == nil || id.Incarnation < p.Incarnation {
		return nil
	}
	v.startIncarnation(p, id.Incarnation)
	p.lastHeard = now
	v.fireLinkEvent(p, eventHeard)
	if p.dropped {
		p.dropped = false
		v.epoch++
	}
	return p
}

// startIncarnation makes incarnation the current run of p and discards what was
// known about an earlier one.
func (v *View) startIncarnation(p *Peer, incarnation uint64) {
	if incarnation == p.Incarnation {
		return
	}
	if p.Incarnation != 0 {
		p.State, p.Load, p.DocumentVersion, p.RejectedVersion = wire.NodeServing, wire.Load{}, 0, 0
	}
	p.Incarnation = incarnation
	p.stateReported = false
	p.link, p.unreachable = linkChart.NewMachine(), false
	v.epoch++
}

// HandleHeartbeat applies what p reports about itself. Within one run the state
// never goes back, so a late frame cannot undo that the node is leaving.
func (v *View) HandleHeartbeat(p *Peer, h *wire.Heartbeat) {
	v.setState(p, h.State)
	p.Load = h.Load
	p.DocumentVersion = max(p.DocumentVersion, h.DocumentVersion)
	p.heartbeatInterval = time.Duration(h.NextHeartbeatMS) * time.Millisecond
}

// setState sets the state of p's current run unless it would go back.
func (v *View) setState(p *Peer, s wire.NodeState) {
	if p.stateReported {
		s = max(s, p.State)
	}
	p.stateReported = true
	if s != p.State {
		p.State = s
		v.epoch++
	}
}

// SetOwnState sets the state of this view's own node.
func (v *View) SetOwnState(s wire.NodeState) { v.setState(v.peers[v.cfg.Self.Target], s) }

// LinkChanged handles the opening or closing of a link. It returns the peer if
// the link is new and the peer must be greeted.
func (v *View) LinkChanged(now time.Duration, id wire.NodeID, up bool) (greet *Peer) {
	p := v.peers[id.Target]
	if p == nil {
		v.recordEarlyLink(id, up)
		return nil
	}
	if id.Incarnation < p.Incarnation || p.Target == v.cfg.Self.Target {
		return nil
	}
	v.startIncarnation(p, id.Incarnation)
	v.setLinked(p, up)
	v.epoch++
	if !up {
		v.fireLinkEvent(p, eventWentDown)
		return nil
	}
	p.lastHeard, p.dropped = now, false
	if v.fireLinkEvent(p, eventOpened) {
		return p
	}
	return nil
}

// maxEarlyLinks limits how many links to unknown nodes are remembered.
const maxEarlyLinks = 256

// recordEarlyLink remembers the open link to a node that neither the list nor
// gossip has named yet, or forgets it once it closes.
func (v *View) recordEarlyLink(id wire.NodeID, up bool) {
	switch {
	case !up:
		delete(v.earlyLinks, id.Target)
	case len(v.earlyLinks) < maxEarlyLinks:
		v.earlyLinks[id.Target] = id
	}
}

// Tick detects linked nodes that fell silent, refreshes the subsets, and removes
// nodes that are neither listed nor heard from. The engine calls it a few times
// each second.
func (v *View) Tick(now time.Duration) {
	gap := now - v.lastTick
	v.lastTick = now
	if gap > pauseThreshold {
		for _, p := range v.linked {
			p.lastHeard += gap
		}
	}
	for _, p := range v.linked {
		if p.heartbeatInterval > 0 && now-p.lastHeard > maxMissedHeartbeats*p.heartbeatInterval+silenceSlack {
			v.fireLinkEvent(p, eventFellSilent)
		}
	}
	v.refreshSubsets()
	v.removeStale(now)
}

// removeStale removes nodes that are neither listed, linked nor heard from. It
// scans all nodes, so it runs only every removalDelay/10.
func (v *View) removeStale(now time.Duration) {
	if now < v.nextRemovalAt {
		return
	}
	v.nextRemovalAt = now + removalDelay/10
	for _, p := range v.All() {
		if !p.listed && !p.Linked && p.Target != v.cfg.Self.Target && now-p.lastHeard > removalDelay {
			v.remove(p)
		}
	}
}
