package balancer

import (
	"time"

	"github.com/shallotspool/shallotspool/core/outlier"
	"github.com/shallotspool/shallotspool/core/slowstart"
	"github.com/shallotspool/shallotspool/core/wire"
)

const (
	// levelLifetime is the time for which a reported admission level is valid after
	// the target was last heard.
	levelLifetime = time.Second
	// defaultLimit is assumed for a target that has not reported its limit, in
	// calls.
	defaultLimit = 20
	// connectCost is the cost of having to open a connection first, in calls in
	// flight.
	connectCost = 1
	// assumeWarmTime is how long after this node's own start a target whose
	// incarnation becomes known for the first time is assumed to be warm: most
	// targets have been running before.
	assumeWarmTime = 5 * time.Second
)

// target is the state of one target that this node tracks in addition to what its
// peer reports.
type target struct {
	group *group
	// inFlight is the number of this node's attempts in flight to the target.
	inFlight int
	// load is the load last reported, heardAt when the target last answered or
	// reported a different load, and inFlightAtReport the value of inFlight when
	// the load was reported.
	load             wire.Load
	heardAt          time.Duration
	inFlightAtReport int

	// incarnation, 0 if unknown, and linked are what the peer last reported.
	incarnation uint64
	linked      bool
	// cold is true from a restart or readmission at coldSince until slow start is
	// over.
	cold      bool
	coldSince time.Duration
	outlier   outlier.Target
}

// Result says how an attempt ended, as far as that shows the health of the target.
type Result uint8

// The results.
const (
	// ResultOK is a complete answer.
	ResultOK Result = iota + 1
	// ResultRefused is a refusal by a healthy target.
	ResultRefused
	// ResultFailed is a missing or an invalid answer.
	ResultFailed
	// ResultTimeout is a missing answer at the deadline. It counts as a failure
	// only if the target was not heard during the attempt, because a healthy target
	// may be waiting for other services.
	ResultTimeout
	// ResultCancelled shows nothing about the target.
	ResultCancelled
)

// AttemptStarted records the start of an attempt to the named target.
func (b *Balancer) AttemptStarted(now time.Duration, name string) {
	t := b.targets[name]
	if t == nil {
		t = &target{}
		b.targets[name] = t
	}
	t.inFlight++
	t.outlier.RecordStart(now)
}

// AttemptFinished records the end of an attempt to the named target that started at
// startedAt.
func (b *Balancer) AttemptFinished(now time.Duration, name string, startedAt time.Duration, r Result) {
	t := b.targets[name]
	if t == nil {
		return
	}
	t.inFlight--
	if t.group == nil {
		b.deleteIfUnused(name, t)
		return
	}
	if r == ResultTimeout && t.heardAt >= startedAt {
		r = ResultCancelled
	}
	switch r {
	case ResultOK, ResultRefused:
		t.heardAt = now
		if t.outlier.RecordSuccess(now, &t.group.outliers) {
			t.markCold(now)
		}
	case ResultFailed, ResultTimeout:
		t.outlier.RecordFailure(now, &t.group.outliers)
	default:
		t.outlier.RecordInconclusive()
	}
}

// deleteIfUnused deletes a target that belongs to no group and has no attempt in
// flight.
func (b *Balancer) deleteIfUnused(name string, t *target) {
	if t.inFlight == 0 && t.group == nil {
		delete(b.targets, name)
	}
}

// refresh applies what the peer has reported since the previous call. A target
// that restarted is readmitted and cold; one whose link was lost is ejected.
func (b *Balancer) refresh(c *candidate, now time.Duration) {
	p, t := c.peer, c.target
	if t.load != p.Load {
		t.load, t.heardAt, t.inFlightAtReport = p.Load, now, t.inFlight
	}
	if t.incarnation != p.Incarnation {
		if t.incarnation != 0 || now >= b.startedAt+assumeWarmTime {
			t.outlier.Readmit(&t.group.outliers)
			t.markCold(now)
		}
		t.incarnation = p.Incarnation
	}
	if t.linked && !p.Linked && b.cfg.EjectOutliers {
		t.outlier.Eject(now, &t.group.outliers)
	}
	t.linked = p.Linked
}

func (t *target) markCold(now time.Duration) { t.cold, t.coldSince = true, now }

// admits reports whether the target admits a call of the rank, by the admission
// level that it last reported. Without a report, or if the level has expired, it
// admits any rank.
func (t *target) admits(o *Options) bool {
	return t.load.Limit == 0 || o.Rank <= t.load.AdmissionLevel || o.Now >= t.heardAt+levelLifetime
}

// utilisation returns the share of the target's limit that would be in use with
// one more call. The attempts that this node has added since the load was reported
// count in addition to that load.
func (b *Balancer) utilisation(c *candidate, o *Options) float64 {
	t := c.target
	load, added := t.load, t.inFlight-t.inFlightAtReport
	if c.peer.Target == b.cfg.SelfTarget {
		load, added = o.SelfLoad, 0
	}
	calls := max(int(load.InFlight)+added, t.inFlight) + 1
	if !c.peer.Linked && c.peer.Target != b.cfg.SelfTarget {
		calls += connectCost
	}
	limit := float64(load.Limit)
	if load.Limit == 0 {
		limit = defaultLimit
	}
	return float64(calls) / (limit * b.rampShare(t, o.Now))
}

// rampShare returns the share of its limit that t may use at now: less than 1
// while t is cold. It ends the cold state once the share is 1.
func (b *Balancer) rampShare(t *target, now time.Duration) float64 {
	if !b.cfg.SlowStart || !t.cold {
		return 1
	}
	share := slowstart.Share(now, t.coldSince)
	t.cold = share < 1
	return share
}
