// Package balancer chooses the target of an attempt: the less loaded of two
// drawn at random from a bounded subset of a service's targets, in the own data
// centre unless that is loaded, and not one that fails. A Balancer is not safe
// for concurrent use; the engine owns it.
package balancer

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/shallotspool/shallotspool/core/member"
	"github.com/shallotspool/shallotspool/core/spill"
	"github.com/shallotspool/shallotspool/core/wire"
)

// Config says who chooses, and by which mechanisms.
type Config struct {
	Seed uint64
	// Self is the chooser's own target name.
	Self       string
	DataCentre string
	// Outliers passes over targets that fail.
	Outliers bool
	// SlowStart gives cold targets a growing share.
	SlowStart bool
	// Spill keeps work in the own data centre and bounds what leaves it.
	Spill bool
}

// Balancer remembers how the targets did that this node sends to.
type Balancer struct {
	cfg     Config
	random  *rand.Rand
	started time.Duration
	targets map[string]*target
	groups  map[string]*group
}

// New returns a Balancer of a node that starts at now.
func New(cfg Config, now time.Duration) *Balancer {
	return &Balancer{
		cfg: cfg, started: now,
		random:  rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		targets: map[string]*target{},
		groups:  map[string]*group{},
	}
}

// Options narrow a choice.
type Options struct {
	// Exclude holds targets already tried.
	Exclude []string
	// Rank is the call's admission rank; targets that refuse it are passed over.
	Rank uint16
	// Repeatable tells that the call can be tried again should this attempt get
	// lost.
	Repeatable bool
	// SelfLoad is the load of the chooser's own upstream.
	SelfLoad wire.Load
	// Now is the chooser's time.
	Now time.Duration
}

// Pick returns one of peers, which are the targets of service. It returns nil
// only when none of them takes work of this rank.
func (b *Balancer) Pick(service string, peers []*member.Peer, o Options) *member.Peer {
	g := b.group(service, peers, o.Now)
	if m := b.probe(g, &o); m != nil {
		return m.peer
	}
	if m := b.choose(g, &o); m != nil {
		return m.peer
	}
	return b.anyOf(g, peers, &o)
}

// probe returns an ejected target that is to be tried again, if there is any.
func (b *Balancer) probe(g *group, o *Options) *candidate {
	if g.outliers.Ejected() == 0 {
		return nil
	}
	for i := range g.all {
		m := &g.all[i]
		if m.target.outlier.ProbeDue(o.Now, o.Repeatable) && b.open(m, o) {
			return m
		}
	}
	return nil
}

func (b *Balancer) choose(g *group, o *Options) *candidate {
	if !b.cfg.Spill {
		m, _ := b.better(g.all, o)
		return m
	}
	g.credit.Chosen()
	if m := g.self; m != nil && b.usable(m, o) && b.utilisation(m, o) < spill.Loaded {
		return m
	}
	here, used := b.better(g.local, o)
	if here != nil && used < spill.Loaded {
		return here
	}
	there, usedThere := b.better(g.remote, o)
	switch {
	case here == nil:
		return there
	case there == nil || !spill.Elsewhere(used, usedThere) || !g.credit.Take():
		return here
	}
	return there
}

// better returns the less utilised of two random candidates, and its
// utilisation; nil if none is usable.
func (b *Balancer) better(list []candidate, o *Options) (*candidate, float64) {
	first := b.draw(list, o, nil)
	if first == nil {
		return nil, 0
	}
	used := b.utilisation(first, o)
	second := b.draw(list, o, first)
	if second == nil {
		return first, used
	}
	if u := b.utilisation(second, o); u < used {
		return second, u
	}
	return first, used
}

func (b *Balancer) draw(list []candidate, o *Options, not *candidate) *candidate {
	if len(list) == 0 {
		return nil
	}
	start := b.random.IntN(len(list))
	for i := range list {
		m := &list[(start+i)%len(list)]
		if m != not && b.usable(m, o) {
			return m
		}
	}
	return nil
}

func (b *Balancer) usable(m *candidate, o *Options) bool {
	return b.open(m, o) && !(b.cfg.Outliers && m.target.outlier.Ejected())
}

// open tells whether m takes the call, for all that it told itself.
func (b *Balancer) open(m *candidate, o *Options) bool {
	if !m.peer.Takes() || slices.Contains(o.Exclude, m.peer.Target) {
		return false
	}
	b.refresh(m, o.Now)
	return m.target.admits(o)
}

// anyOf is the last resort: it takes a target that is ejected or outside the
// subset rather than none.
func (b *Balancer) anyOf(g *group, peers []*member.Peer, o *Options) *member.Peer {
	if len(peers) == 0 {
		return nil
	}
	g.refreshAt = o.Now
	start := b.random.IntN(len(peers))
	for i := range peers {
		p := peers[(start+i)%len(peers)]
		if !p.Takes() || slices.Contains(o.Exclude, p.Target) {
			continue
		}
		if t := b.targets[p.Target]; t == nil || t.admits(o) {
			return p
		}
	}
	return nil
}
