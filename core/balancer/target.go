package balancer

import (
	"time"

	"github.com/shallotspool/shallotspool/core/outlier"
	"github.com/shallotspool/shallotspool/core/slowstart"
	"github.com/shallotspool/shallotspool/core/wire"
)

const (
	// levelLife is how long a published level is believed.
	levelLife = time.Second
	// unknownLimit stands for the limit of a target that has not told its own,
	// in calls.
	unknownLimit = 20
	// newConnection is what a connection that has yet to be made costs, in calls
	// in flight.
	newConnection = 1
	// settleTime is how long after its own start a node takes the targets it
	// gets to know for warm.
	settleTime = 5 * time.Second
)

// target is what this node knows of one target beside what its peer tells.
type target struct {
	group *group
	// inFlight is the number of this node's open attempts at it.
	inFlight int
	// load is the last load it told, heardAt when that was, and base what
	// inFlight was then.
	load    wire.Load
	heardAt time.Duration
	base    int

	incarnation uint64
	linked      bool
	cold        bool
	coldSince   time.Duration
	outlier     outlier.Target
}

// Result is how an attempt ended, as far as it tells of the target's health.
type Result uint8

// The results.
const (
	// ResultOK is a whole answer.
	ResultOK Result = iota + 1
	// ResultRefused is a refusal by a target that works.
	ResultRefused
	// ResultFailed is no answer, or a broken one.
	ResultFailed
	// ResultTimeout is no answer by the deadline; it counts as a failure only if
	// nothing was heard of the target meanwhile, which may wait for others.
	ResultTimeout
	// ResultCancelled says nothing of the target.
	ResultCancelled
)

// Started tells that an attempt at the named target began.
func (b *Balancer) Started(now time.Duration, name string) {
	t := b.targets[name]
	if t == nil {
		t = &target{}
		b.targets[name] = t
	}
	t.inFlight++
	t.outlier.Started(now)
}

// Finished tells that an attempt at the named target, begun at started, ended.
func (b *Balancer) Finished(now time.Duration, name string, started time.Duration, r Result) {
	t := b.targets[name]
	if t == nil {
		return
	}
	t.inFlight--
	if t.group == nil {
		b.dropIdle(name, t)
		return
	}
	if r == ResultTimeout && t.heardAt >= started {
		r = ResultCancelled
	}
	switch r {
	case ResultOK, ResultRefused:
		t.heardAt = now
		if t.outlier.Succeeded(now, &t.group.outliers) {
			t.cool(now)
		}
	case ResultFailed, ResultTimeout:
		t.outlier.Failed(now, &t.group.outliers)
	default:
		t.outlier.Unsure()
	}
}

// dropIdle forgets a target that belongs to no group.
func (b *Balancer) dropIdle(name string, t *target) {
	if t.inFlight == 0 && t.group == nil {
		delete(b.targets, name)
	}
}

// refresh takes in what the peer told since the last look.
func (b *Balancer) refresh(m *candidate, now time.Duration) {
	p, t := m.peer, m.target
	if t.load != p.Load {
		t.load, t.heardAt, t.base = p.Load, now, t.inFlight
	}
	if t.incarnation != p.Incarnation {
		if t.incarnation != 0 || now >= b.started+settleTime {
			t.outlier.Readmit(&t.group.outliers)
			t.cool(now)
		}
		t.incarnation = p.Incarnation
	}
	if t.linked && !p.Linked && b.cfg.Outliers {
		t.outlier.Eject(now, &t.group.outliers)
	}
	t.linked = p.Linked
}

func (t *target) cool(now time.Duration) { t.cold, t.coldSince = true, now }

// admits tells whether the target lets a call of the rank in, for all it said.
func (t *target) admits(o *Options) bool {
	return t.load.Limit == 0 || o.Rank <= t.load.Level || o.Now >= t.heardAt+levelLife
}

// utilisation is the share of the target's limit that would be in use with one
// more call. What this node did since the target told its load counts on top.
func (b *Balancer) utilisation(m *candidate, o *Options) float64 {
	t := m.target
	load, since := t.load, t.inFlight-t.base
	if m.peer.Target == b.cfg.Self {
		load, since = o.SelfLoad, 0
	}
	calls := max(int(load.InFlight)+since, t.inFlight) + 1
	if !m.peer.Linked && m.peer.Target != b.cfg.Self {
		calls += newConnection
	}
	limit := float64(load.Limit)
	if load.Limit == 0 {
		limit = unknownLimit
	}
	return float64(calls) / (limit * b.share(t, o.Now))
}

func (b *Balancer) share(t *target, now time.Duration) float64 {
	if !b.cfg.SlowStart || !t.cold {
		return 1
	}
	share := slowstart.Share(now, t.coldSince)
	t.cold = share < 1
	return share
}
