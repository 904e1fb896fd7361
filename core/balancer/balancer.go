// Package balancer chooses the target of an attempt: the less loaded of two
// drawn at random. A Balancer is not safe for concurrent use; the engine owns
// it.
package balancer

import (
	"math/rand/v2"
	"time"

	"github.com/shallotspool/shallotspool/core/member"
)

// Balancer remembers what this node has in flight at each target.
type Balancer struct {
	random   *rand.Rand
	inFlight map[string]int
}

// New returns a Balancer that draws from seed.
func New(seed uint64) *Balancer {
	return &Balancer{
		random:   rand.New(rand.NewPCG(seed, seed)),
		inFlight: map[string]int{},
	}
}

// Result is how an attempt ended, as far as it tells of the target's health.
type Result uint8

// The results.
const (
	// ResultOK is a whole answer.
	ResultOK Result = iota + 1
	// ResultRefused is a refusal for overload: a healthy target that is full.
	ResultRefused
	// ResultFailed is no answer, or a broken one.
	ResultFailed
	// ResultCancelled says nothing of the target.
	ResultCancelled
)

// Options narrow a choice.
type Options struct {
	// Exclude holds targets already tried.
	Exclude []string
	// Rank is the call's admission rank; targets that refuse it are passed over.
	Rank uint16
	// DataCentre is the chooser's own.
	DataCentre string
	// Now is the chooser's time.
	Now time.Duration
}

// Pick returns one of peers, or nil when none takes work.
func (b *Balancer) Pick(peers []*member.Peer, o Options) *member.Peer {
	first := b.draw(peers, o, nil)
	if first == nil {
		return nil
	}
	second := b.draw(peers, o, first)
	if second != nil && b.cost(second) < b.cost(first) {
		return second
	}
	return first
}

func (b *Balancer) draw(peers []*member.Peer, o Options, not *member.Peer) *member.Peer {
	if len(peers) == 0 {
		return nil
	}
	start := b.random.IntN(len(peers))
	for i := range peers {
		p := peers[(start+i)%len(peers)]
		if p != not && p.Takes() && !contains(o.Exclude, p.Target) {
			return p
		}
	}
	return nil
}

func (b *Balancer) cost(p *member.Peer) int {
	return max(b.inFlight[p.Target], int(p.Load.InFlight))
}

// Started tells that an attempt at target began.
func (b *Balancer) Started(target string) { b.inFlight[target]++ }

// Finished tells that an attempt at target ended.
func (b *Balancer) Finished(now time.Duration, target string, r Result) { b.inFlight[target]-- }

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}
