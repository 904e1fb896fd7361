// Package balancer chooses the target of an attempt. From a bounded subset of the
// targets of a service it draws two at random and takes the less utilised one. It
// prefers the own data centre unless the targets there are loaded, and avoids
// targets that fail.
package balancer

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/shallotspool/shallotspool/core/membership"
	"github.com/shallotspool/shallotspool/core/spillover"
	"github.com/shallotspool/shallotspool/core/wire"
)

// Config identifies the node that chooses targets and enables the mechanisms that
// it applies.
type Config struct {
	Seed uint64
	// SelfTarget is the target name of the node's own upstream.
	SelfTarget string
	DataCentre string
	// EjectOutliers avoids targets that fail.
	EjectOutliers bool
	// SlowStart gives cold targets a growing share of the work.
	SlowStart bool
	// Spill keeps work in the own data centre and bounds the share that leaves it
	// because the targets there are loaded.
	Spill bool
}

// Balancer chooses targets and tracks the load and health of those that this node
// sends to. It is not safe for concurrent use; the engine owns it.
type Balancer struct {
	cfg       Config
	random    *rand.Rand
	startedAt time.Duration
	targets   map[string]*target
	groups    map[string]*group
}

// New returns a Balancer for a node that starts at now.
func New(cfg Config, now time.Duration) *Balancer {
	return &Balancer{
		cfg: cfg, startedAt: now,
		random:  rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		targets: map[string]*target{},
		groups:  map[string]*group{},
	}
}

// Options restrict a choice.
type Options struct {
	// Exclude holds the names of targets already tried.
	Exclude []string
	// Rank is the admission rank of the call; targets that would refuse it are not
	// chosen.
	Rank uint16
	// Retryable is true if the call can be retried should this attempt be lost.
	Retryable bool
	// SelfLoad is the load of the node's own upstream.
	SelfLoad wire.Load
	Now      time.Duration
}

// Pick returns one of peers, which are the targets of service. It returns nil
// only when no peer outside Options.Exclude accepts work of this rank.
func (b *Balancer) Pick(service string, peers []*membership.Peer, o Options) *membership.Peer {
	g := b.currentGroup(service, peers, o.Now)
	if c := b.dueForProbe(g, &o); c != nil {
		return c.peer
	}
	if c := b.choose(g, &o); c != nil {
		return c.peer
	}
	return b.fallback(g, peers, &o)
}

// dueForProbe returns an ejected target that is to be probed now, or nil.
func (b *Balancer) dueForProbe(g *group, o *Options) *candidate {
	if g.outliers.Ejected() == 0 {
		return nil
	}
	for i := range g.all {
		c := &g.all[i]
		if c.target.outlier.ProbeDue(o.Now, o.Retryable) && b.acceptsAfterRefresh(c, o) {
			return c
		}
	}
	return nil
}

// choose returns a usable target of g, or nil. Without Config.Spill, the choice
// depends only on the utilisation. With it, the node's own upstream is chosen
// unless it is loaded; then a local target unless that is loaded; then a remote one
// if it is clearly less loaded and g.remoteCredit, which bounds the share of such
// choices, permits it, or if no local one is usable.
func (b *Balancer) choose(g *group, o *Options) *candidate {
	if !b.cfg.Spill {
		c, _ := b.lessUtilised(g.all, o)
		return c
	}
	g.remoteCredit.RecordChoice()
	if c := g.self; c != nil && b.usableAfterRefresh(c, o) && b.utilisation(c, o) < spillover.LoadedUtilisation {
		return c
	}
	localBest, localUtilisation := b.lessUtilised(g.local, o)
	if localBest != nil && localUtilisation < spillover.LoadedUtilisation {
		return localBest
	}
	remoteBest, remoteUtilisation := b.lessUtilised(g.remote, o)
	switch {
	case localBest == nil:
		return remoteBest
	case remoteBest == nil || !spillover.PreferRemote(localUtilisation, remoteUtilisation) || !g.remoteCredit.Take():
		return localBest
	}
	return remoteBest
}

// lessUtilised returns the less utilised of two usable candidates drawn at
// random, and its utilisation; nil if none is usable.
func (b *Balancer) lessUtilised(candidates []candidate, o *Options) (*candidate, float64) {
	first := b.draw(candidates, o, nil)
	if first == nil {
		return nil, 0
	}
	firstUtilisation := b.utilisation(first, o)
	second := b.draw(candidates, o, first)
	if second == nil {
		return first, firstUtilisation
	}
	if u := b.utilisation(second, o); u < firstUtilisation {
		return second, u
	}
	return first, firstUtilisation
}

// draw returns a random usable candidate other than exclude, or nil.
func (b *Balancer) draw(candidates []candidate, o *Options, exclude *candidate) *candidate {
	if len(candidates) == 0 {
		return nil
	}
	start := b.random.IntN(len(candidates))
	for i := range candidates {
		c := &candidates[(start+i)%len(candidates)]
		if c != exclude && b.usableAfterRefresh(c, o) {
			return c
		}
	}
	return nil
}

// usableAfterRefresh reports whether c accepts the call and is not ejected. The
// refresh comes first because a new report can eject or readmit the target.
func (b *Balancer) usableAfterRefresh(c *candidate, o *Options) bool {
	return b.acceptsAfterRefresh(c, o) && !(b.cfg.EjectOutliers && c.target.outlier.Ejected())
}

// acceptsAfterRefresh reports whether c was not tried yet and would accept the
// call, by the state and the load that its node reported. Before it evaluates the
// load, it applies a new report to the state of the target.
func (b *Balancer) acceptsAfterRefresh(c *candidate, o *Options) bool {
	if !c.peer.AcceptsWork() || slices.Contains(o.Exclude, c.peer.Target) {
		return false
	}
	b.refresh(c, o.Now)
	return c.target.admits(o)
}

// fallback returns any target that accepts the call, also one that is ejected or
// outside the subset, for the case that nothing else is usable. It also makes the
// next choice reselect the members of g.
func (b *Balancer) fallback(g *group, peers []*membership.Peer, o *Options) *membership.Peer {
	if len(peers) == 0 {
		return nil
	}
	g.reselectAt = o.Now
	start := b.random.IntN(len(peers))
	for i := range peers {
		p := peers[(start+i)%len(peers)]
		if !p.AcceptsWork() || slices.Contains(o.Exclude, p.Target) {
			continue
		}
		if t := b.targets[p.Target]; t == nil || t.admits(o) {
			return p
		}
	}
	return nil
}
