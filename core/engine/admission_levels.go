package engine

import (
	"math"
	"time"

	"github.com/shallotspool/shallotspool/core/admission"
	"github.com/shallotspool/shallotspool/core/document"
	"github.com/shallotspool/shallotspool/core/wire"
)

const (
	// levelValidity is how long a reported level is used unchanged.
	levelValidity = 500 * time.Millisecond
	// weightDecay is the time constant of the exponential decay of a reply's
	// weight.
	weightDecay = 250 * time.Millisecond
	// maxReportedLevels bounds the number of levels stored; all are dropped
	// when it is reached.
	maxReportedLevels = 1 << 14
	// staleLevelRise is the number of ranks per second by which a level rises
	// after levelValidity: without new reports the overload may be over.
	staleLevelRise = 2 * admission.Priorities
	// levelCacheTTL is how long a computed level is reused.
	levelCacheTTL = TickInterval
	// maxLevelDepth limits the recursion over the routes that a route calls.
	maxLevelDepth = 16
)

// admissionLevels stores the admission levels that nodes report. A level is the
// highest rank that is still admitted; more important calls have lower ranks.
// The level of a route is the highest rank that is admitted throughout its call
// tree.
type admissionLevels struct {
	reported map[levelKey]reportedLevel
	cached   map[*document.Route]cachedLevel
}

type levelKey struct {
	target string
	route  string
}

type reportedLevel struct {
	level admission.Rank
	// replyWeight is the decayed number of replies from the target, or of
	// dispatches if the target is this node, as of reportedAt.
	replyWeight float64
	reportedAt  time.Duration
}

type cachedLevel struct {
	level admission.Rank
	until time.Duration
}

func newAdmissionLevels() admissionLevels {
	return admissionLevels{reported: map[levelKey]reportedLevel{}, cached: map[*document.Route]cachedLevel{}}
}

// reset drops all levels; they refer to routes of a replaced document.
func (l *admissionLevels) reset() { *l = newAdmissionLevels() }

// recordReplyLevel stores the level that came with a reply from another node.
func (n *Node) recordReplyLevel(a *attempt, load wire.Load) {
	if !a.local {
		n.admissionLevels.record(n.now, levelKey{a.target, a.call.route.Name}, admission.Rank(load.AdmissionLevel))
	}
}

// record stores a reported level and increases the weight of its target.
func (l *admissionLevels) record(now time.Duration, key levelKey, level admission.Rank) {
	if len(l.reported) >= maxReportedLevels {
		clear(l.reported)
	}
	l.reported[key] = reportedLevel{level, l.reported[key].weight(now) + 1, now}
}

// weight returns the target's weight at now, the exponentially decayed number
// of its replies. Its share of all weights approximates its share of recent
// calls.
func (l reportedLevel) weight(now time.Duration) float64 {
	return l.replyWeight * math.Exp(-(now-l.reportedAt).Seconds()/weightDecay.Seconds())
}

// refusedAtEntry reports whether c would be refused somewhere in its call tree.
// It applies only at the entry: refusing a call from deeper in the call tree
// wastes the work already done above it.
func (n *Node) refusedAtEntry(c *call) bool {
	if !n.cfg.Policy.AdmissionLevels || c.origin == OriginPeer || c.parent != nil {
		return false
	}
	return n.rankOf(c) > n.routeLevel(c.route, 0)
}

// routeLevel returns the level of a route for its service as a whole: the mean
// over the service's targets, weighted by the calls that go to each. depth
// counts the recursion through ownLevel.
func (n *Node) routeLevel(r *document.Route, depth int) admission.Rank {
	if c, ok := n.admissionLevels.cached[r]; ok && n.now < c.until {
		return c.level
	}
	maxRank := admission.RankOf(uint8(n.classCount()-1), admission.Priorities-1)
	weightedSum, totalWeight, latest := 0.0, 0.0, time.Duration(0)
	for _, p := range n.view.ServicePeers(r.Service) {
		reported, ok := n.admissionLevels.reported[levelKey{p.Target, r.Name}]
		if !ok || !p.AcceptsWork() {
			continue
		}
		if p.Target == n.cfg.Self.Target {
			reported.level = n.ownLevel(r, depth)
		}
		weight := reported.weight(n.now)
		weightedSum += weight * float64(min(reported.level, maxRank))
		totalWeight += weight
		latest = max(latest, reported.reportedAt)
	}
	level := admission.RankAll
	if totalWeight > 0 {
		level = n.relaxStaleLevel(weightedSum/totalWeight, latest, maxRank)
	}
	n.admissionLevels.cached[r] = cachedLevel{level, n.now + levelCacheTTL}
	return level
}

// relaxStaleLevel raises a mean level according to the age of the latest
// report, which arrived at reportedAt. A level that reaches maxRank, the
// highest rank of a call, admits every call.
func (n *Node) relaxStaleLevel(mean float64, reportedAt time.Duration, maxRank admission.Rank) admission.Rank {
	stale := max(0, n.now-reportedAt-levelValidity)
	mean += stale.Seconds() * staleLevelRise
	if mean >= float64(maxRank) {
		return admission.RankAll
	}
	return admission.Rank(mean)
}

// ownLevel returns the level of a route on this node: the minimum over the
// node's upstream and all routes that the route calls.
func (n *Node) ownLevel(r *document.Route, depth int) admission.Rank {
	level := n.admissionControl.Level()
	if depth >= maxLevelDepth {
		return level
	}
	for _, name := range r.Callees {
		if callee := n.doc.Route(name); callee != nil {
			level = min(level, n.routeLevel(callee, depth+1))
		}
	}
	return level
}

// loadWithLevel returns the load that this node reports, with the given level:
// that of its upstream in heartbeats, that of a route in replies.
func (n *Node) loadWithLevel(level admission.Rank) wire.Load {
	return wire.Load{
		InFlight:       uint32(n.admissionControl.InFlight() + n.admissionControl.Queued()),
		Limit:          uint32(n.admissionControl.Limit()),
		AdmissionLevel: uint16(level),
	}
}

// loadFor returns the load that this node reports, with the level of route r.
// If r is nil, the level is that of the node's upstream alone.
func (n *Node) loadFor(r *document.Route) wire.Load {
	if r == nil || !n.cfg.Policy.AdmissionLevels {
		return n.loadWithLevel(n.admissionControl.Level())
	}
	return n.loadWithLevel(n.ownLevel(r, 0))
}
