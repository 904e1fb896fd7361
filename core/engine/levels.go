package engine

import (
	"math"
	"time"

	"github.com/shallotspool/shallotspool/core/admission"
	"github.com/shallotspool/shallotspool/core/document"
	"github.com/shallotspool/shallotspool/core/wire"
)

const (
	// levelFresh is how long a level counts as it was told.
	levelFresh = 500 * time.Millisecond
	// levelMemory is the time in which an answer's weight fades to a third.
	levelMemory = 250 * time.Millisecond
	// maxTold bounds the levels remembered.
	maxTold = 1 << 14
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
	// answers is the weight of the target at the time at.
	answers float64
	at      time.Duration
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
	if !a.local {
		n.levels.tell(n.now, levelKey{a.target, a.call.route.Name}, admission.Rank(load.Level))
	}
}

// tell takes in a level; each one adds to the weight of its target.
func (l *levels) tell(now time.Duration, key levelKey, level admission.Rank) {
	if len(l.told) >= maxTold {
		clear(l.told)
	}
	l.told[key] = toldLevel{level, l.told[key].weight(now) + 1, now}
}

// weight is the share of recent calls that went to a target: the number of its
// answers, each fading with time.
func (t toldLevel) weight(now time.Duration) float64 {
	return t.answers * math.Exp(-(now-t.at).Seconds()/levelMemory.Seconds())
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
// mean of theirs, weighted by the calls that go to each.
func (n *Node) routeLevel(r *document.Route, depth int) admission.Rank {
	if c, ok := n.levels.cached[r]; ok && n.now < c.until {
		return c.level
	}
	worst := admission.RankOf(uint8(n.classes()-1), admission.Priorities-1)
	sum, weights, heard := 0.0, 0.0, time.Duration(0)
	for _, p := range n.view.Service(r.Service) {
		told, ok := n.levels.told[levelKey{p.Target, r.Name}]
		if !ok || !p.Takes() {
			continue
		}
		if p.Target == n.cfg.Self.Target {
			told.level = n.ownLevel(r, depth)
		}
		weight := told.weight(n.now)
		sum += weight * float64(min(told.level, worst))
		weights += weight
		heard = max(heard, told.at)
	}
	level := admission.RankAll
	if weights > 0 {
		level = n.drifted(sum/weights, heard, worst)
	}
	n.levels.cached[r] = cachedLevel{level, n.now + levelCache}
	return level
}

// drifted is a mean level that was last heard of at heard; the highest one there
// is admits everything.
func (n *Node) drifted(mean float64, heard time.Duration, worst admission.Rank) admission.Rank {
	stale := max(0, n.now-heard-levelFresh)
	mean += stale.Seconds() * levelDrift
	if mean >= float64(worst) {
		return admission.RankAll
	}
	return admission.Rank(mean)
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
