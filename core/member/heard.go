package member

import (
	"time"

	"github.com/shallotspool/shallotspool/core/wire"
)

const (
	// silentAfter heartbeats missed, and slack on top, make a node silent.
	silentAfter = 3
	silentSlack = 500 * time.Millisecond
	// wakeGap is the time without a tick from which this node was paused: the
	// others may well have been heard meanwhile.
	wakeGap = time.Second
)

// Fresh notes that a frame of the run id came, and returns its peer. It returns
// nil for an unknown node and for a run older than the one known.
func (v *View) Fresh(now time.Duration, id wire.NodeID) *Peer {
	p := v.peers[id.Target]
	if p == nil || id.Incarnation < p.Incarnation {
		return nil
	}
	v.restart(p, id.Incarnation)
	p.heard = now
	v.fire(p, linkHeard)
	if p.gone {
		p.gone = false
		v.epoch++
	}
	return p
}

// restart forgets what was known of an earlier run of p.
func (v *View) restart(p *Peer, incarnation uint64) {
	if incarnation == p.Incarnation {
		return
	}
	if p.Incarnation != 0 {
		p.State, p.Load, p.Document, p.Refused = wire.NodeServing, wire.Load{}, 0, 0
	}
	p.Incarnation = incarnation
	p.said = false
	p.link, p.avoid = linkChart.Start(), false
	v.epoch++
}

// Heartbeat takes what p says of itself. Within one run a state never goes
// back: a late frame cannot undo that the node is leaving.
func (v *View) Heartbeat(p *Peer, s *wire.State) {
	v.setState(p, s.State)
	p.Load = s.Load
	p.Document = max(p.Document, s.Document)
	p.expect = time.Duration(s.NextMS) * time.Millisecond
}

func (v *View) setState(p *Peer, s wire.NodeState) {
	if p.said {
		s = max(s, p.State)
	}
	p.said = true
	if s != p.State {
		p.State = s
		v.epoch++
	}
}

// SetSelf notes the state of this view's own node.
func (v *View) SetSelf(s wire.NodeState) { v.setState(v.peers[v.cfg.Self.Target], s) }

// LinkChanged takes the opening or closing of a link. It returns the peer when
// it is to be greeted: the link is new.
func (v *View) LinkChanged(now time.Duration, id wire.NodeID, up bool) (greet *Peer) {
	p := v.peers[id.Target]
	if p == nil {
		v.linkEarly(id, up)
		return nil
	}
	if id.Incarnation < p.Incarnation || p.Target == v.cfg.Self.Target {
		return nil
	}
	v.restart(p, id.Incarnation)
	v.setLinked(p, up)
	v.epoch++
	if !up {
		v.fire(p, linkWentDown)
		return nil
	}
	p.heard, p.gone = now, false
	if v.fire(p, linkOpened) {
		return p
	}
	return nil
}

// maxEarly bounds the links of unknown nodes that are remembered.
const maxEarly = 256

// linkEarly remembers a link whose other end neither list nor news named yet.
func (v *View) linkEarly(id wire.NodeID, up bool) {
	switch {
	case !up:
		delete(v.early, id.Target)
	case len(v.early) < maxEarly:
		v.early[id.Target] = id
	}
}

// Tick finds linked nodes that fell silent and drops those that are neither
// listed nor heard. The engine calls it a few times each second.
func (v *View) Tick(now time.Duration) {
	gap := now - v.lastTick
	v.lastTick = now
	if gap > wakeGap {
		for _, p := range v.linked {
			p.heard += gap
		}
	}
	for _, p := range v.linked {
		if p.expect > 0 && now-p.heard > silentAfter*p.expect+silentSlack {
			v.fire(p, linkFellSilent)
		}
	}
	v.refreshSubsets()
	v.dropForgotten(now)
}

// dropForgotten looks at all nodes, so it does so rarely.
func (v *View) dropForgotten(now time.Duration) {
	if now < v.dropAt {
		return
	}
	v.dropAt = now + dropAfter/10
	for _, p := range v.All() {
		if !p.listed && !p.Linked && p.Target != v.cfg.Self.Target && now-p.heard > dropAfter {
			v.drop(p)
		}
	}
}
