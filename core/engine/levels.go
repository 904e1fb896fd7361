package engine

import (
	"time"

	"github.com/shallotspool/shallotspool/core/admission"
	"github.com/shallotspool/shallotspool/core/document"
	"github.com/shallotspool/shallotspool/core/wire"
)

const (
	// levelFresh is how long a level counts as it was told.
	levelFresh = 500 * time.Millisecond
	// levelDrift is the ranks per second by which a stale level rises: with no
	// news the pressure may be gone.
	levelDrift = 2 * admission.Priorities
	// levelCache is how long a worked out level is used again.
	levelCache = TickInterval
	// maxLevelDepth ends the walk over the routes a route calls.
	maxLevelDepth = 16
)

// levels is what a node knows of the levels below which other nodes refuse.
// The level of a route is the highest rank that passes its whole call tree.
type levels struct {
	told   map[levelKey]toldLevel
	cached map[*document.Route]cachedLevel
}

type levelKey struct {
	target string
	route  string
}

type toldLevel struct {
	level admission.Rank
	at    time.Duration
}

type cachedLevel struct {
	level admission.Rank
	until time.Duration
}

func newLevels() levels {
	return levels{told: map[levelKey]toldLevel{}, cached: map[*document.Route]cachedLevel{}}
}

// forgetRoutes drops what refers to routes of a replaced document.
func (l *levels) forgetRoutes() { *l = newLevels() }

// learnLevel takes in the level that came with an answer.
func (n *Node) learnLevel(a *attempt, load wire.Load) {
	if a.local {
		return
	}
	n.levels.told[levelKey{a.target, a.call.route.Name}] = toldLevel{admission.Rank(load.Level), n.now}
}

// refusedAtEntry tells whether c would be refused somewhere in its call tree.
// Only a call that enters the system is held to that: one from deeper in a
// chain carries work already done.
func (n *Node) refusedAtEntry(c *call) bool {
	if !n.cfg.Policy.Levels || c.origin == OriginPeer || c.parent != nil {
		return false
	}
	return n.rankOf(c) > n.routeLevel(c.route, 0)
}

// routeLevel returns the level of a route over all targets of its service: the
// balancer spreads calls evenly, so it is the mean of theirs.
func (n *Node) routeLevel(r *document.Route, depth int) admission.Rank {
	if c, ok := n.levels.cached[r]; ok && n.now < c.until {
		return c.level
	}
	sum, count := 0, 0
	for _, p := range n.view.Service(r.Service) {
		if !p.Takes() {
			continue
		}
		count++
		if p.Target == n.cfg.Self.Target {
			sum += int(n.ownLevel(r, depth))
		} else {
			sum += int(n.toldLevel(p.Target, r, p.Load))
		}
	}
	level := admission.RankAll
	if count > 0 {
		level = admission.Rank(sum / count)
	}
	n.levels.cached[r] = cachedLevel{level, n.now + levelCache}
	return level
}

// ownLevel returns the level of a route on this node: that of its upstream and
// of every route called from there.
func (n *Node) ownLevel(r *document.Route, depth int) admission.Rank {
	level := n.guard.Level()
	if depth >= maxLevelDepth {
		return level
	}
	for _, name := range r.Calls {
		if called := n.doc.Route(name); called != nil {
			level = min(level, n.routeLevel(called, depth+1))
		}
	}
	return level
}

// toldLevel returns what another node last said of a route, or of its upstream
// as a whole when it never answered for the route.
func (n *Node) toldLevel(target string, r *document.Route, load wire.Load) admission.Rank {
	told, ok := n.levels.told[levelKey{target, r.Name}]
	if !ok {
		if load.Limit == 0 {
			return admission.RankAll
		}
		return admission.Rank(load.Level)
	}
	stale := n.now - told.at - levelFresh
	if stale <= 0 {
		return told.level
	}
	drifted := int(told.level) + int(stale.Seconds()*levelDrift)
	return admission.Rank(min(drifted, int(admission.RankAll)))
}

// load returns what the node tells others of its upstream.
func (n *Node) load(level admission.Rank) wire.Load {
	return wire.Load{
		InFlight: uint32(n.guard.InFlight() + n.guard.Queued()),
		Limit:    uint32(n.guard.Limit()),
		Level:    uint16(level),
	}
}

// loadFor is load with the level of one route; r may be nil.
func (n *Node) loadFor(r *document.Route) wire.Load {
	if r == nil || !n.cfg.Policy.Levels {
		return n.load(n.guard.Level())
	}
	return n.load(n.ownLevel(r, 0))
}
