// Package admission decides which calls a node admits to its own upstream,
// which wait in a queue, and which are refused. It relies only on what the node
// observes of the upstream's work, never on what the upstream reports.
package admission

import (
	"slices"
	"time"
)

const (
	// minQueueTime is the least bound on the queueing time, whatever the baseline:
	// the self time of a run that does not queue inside the upstream.
	minQueueTime = 100 * time.Millisecond
	// queueTimeRatio is the bound on the queueing time, as a multiple of the
	// baseline.
	queueTimeRatio = 2
)

// Request is one call that asks for admission.
type Request struct {
	ID   uint64
	Rank Rank
	// Depth is the number of calls above this one in its chain, 0 at the entry.
	Depth    int
	Deadline time.Duration

	queuedAt time.Duration
	sequence uint64
}

// Decision says whether an offered call is admitted, queued or refused.
type Decision uint8

// The decisions.
const (
	Admit Decision = iota + 1
	Enqueue
	Refuse
)

// Sample is the measurement of one finished run.
type Sample struct {
	// ID is the identifier of the call that ran.
	ID uint64
	// SelfTime is the self time of the run: the time that the upstream spent on it,
	// without the calls that it made to other services.
	SelfTime time.Duration
	// OK is false when the run ended without a complete answer.
	OK bool
}

// Config sets the bounds of a Controller and enables its mechanisms.
type Config struct {
	// Initial, Min and Max are the first, lowest and highest concurrency limit,
	// in calls.
	Initial, Min, Max int
	// MaxQueue is the highest number of calls that may wait.
	MaxQueue int
	// AdaptiveLimit adjusts the limit to the capacity of the upstream; otherwise
	// the limit stays at its first value.
	AdaptiveLimit bool
	// OrderByRank orders the queue by rank; otherwise it is first in, first out.
	OrderByRank bool
	// LimitQueueTime bounds the queueing time and refuses calls that cannot meet
	// their deadline.
	LimitQueueTime bool
}

// Controller admits calls to one upstream. It is not safe for concurrent use; the
// engine owns it.
type Controller struct {
	cfg             Config
	limiter         limiter
	levelController levelController
	queue           queue
	running         map[uint64]run
	// evicted holds calls that were removed from the queue and whose refusal
	// Controller.NextDecision has yet to return.
	evicted []Request
}

// run is a call that the upstream is working on.
type run struct {
	startedAt time.Duration
	// lowConcurrency is true when few calls were running as it started.
	lowConcurrency bool
}

// New returns a Controller.
func New(cfg Config) *Controller {
	return &Controller{cfg: cfg, limiter: newLimiter(cfg), levelController: newLevelController(), running: map[uint64]run{}}
}

// Offer decides on a new call. A refused call is counted but not kept. A call that
// is queued may evict another, whose refusal Controller.NextDecision then returns.
func (c *Controller) Offer(now time.Duration, req Request) Decision {
	c.levelController.countOffer(req.Rank)
	if !c.cfg.OrderByRank {
		req.Rank, req.Depth = 0, 0
	}
	if req.Deadline <= now {
		return Refuse
	}
	if c.queue.len() == 0 && len(c.running) < c.Limit() {
		c.start(now, req.ID)
		return Admit
	}
	c.levelController.saturated = true
	c.limiter.recordSaturation()
	if c.missesDeadline(now, req) {
		return Refuse
	}
	if c.queue.len() < c.maxQueue() {
		c.enqueue(now, req)
		return Enqueue
	}
	if req.Rank >= c.queue.last().Rank {
		return Refuse
	}
	c.evicted = append(c.evicted, c.queue.popLast())
	c.enqueue(now, req)
	return Enqueue
}

func (c *Controller) start(now time.Duration, id uint64) {
	inFlight := len(c.running) + 1
	c.running[id] = run{startedAt: now, lowConcurrency: c.limiter.isLowConcurrency(inFlight)}
	c.limiter.runStarted(now, inFlight)
}

func (c *Controller) enqueue(now time.Duration, req Request) {
	req.queuedAt = now
	c.queue.push(req)
}

// missesDeadline reports whether req would probably miss its deadline even if it
// ran at once: the time left is shorter than the baseline.
func (c *Controller) missesDeadline(now time.Duration, req Request) bool {
	return c.cfg.LimitQueueTime && req.Deadline-now < seconds(c.limiter.baseline)
}

// maxQueue returns the number of calls that may wait: as many as the upstream can
// start within the longest queueing time, but at least the concurrency limit and
// at most Config.MaxQueue.
func (c *Controller) maxQueue() int {
	if !c.cfg.LimitQueueTime {
		return c.cfg.MaxQueue
	}
	startable := int(c.levelController.completionRate * c.maxQueueTime().Seconds())
	return min(max(startable, c.Limit(), 1), c.cfg.MaxQueue)
}

// maxQueueTime returns the longest time that a call may wait in the queue.
func (c *Controller) maxQueueTime() time.Duration {
	return max(minQueueTime, queueTimeRatio*seconds(c.limiter.baseline))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Done records the end of a run and frees its place.
func (c *Controller) Done(now time.Duration, s Sample) {
	r, found := c.running[s.ID]
	if !found {
		return
	}
	delete(c.running, s.ID)
	if !s.OK {
		return
	}
	c.levelController.completed++
	if c.cfg.AdaptiveLimit {
		c.limiter.runDone(now, s.SelfTime, now-r.startedAt, r.lowConcurrency)
	}
}

// Withdraw removes a call that waits, or that was evicted and has yet to be
// returned; it does nothing for any other call.
func (c *Controller) Withdraw(id uint64) {
	c.queue.remove(id)
	c.evicted = slices.DeleteFunc(c.evicted, func(r Request) bool { return r.ID == id })
}

// NextDecision removes and returns a waiting call that is to be started now, or that
// is refused because it was evicted or cannot meet its deadline; ok is false when
// there is none. A call to be started counts as running from then on. The engine
// repeats NextDecision until ok is false, after each Offer, Done and Tick.
func (c *Controller) NextDecision(now time.Duration) (req Request, d Decision, ok bool) {
	if len(c.evicted) > 0 {
		req = c.evicted[0]
		c.evicted = c.evicted[1:]
		return req, Refuse, true
	}
	if c.queue.len() == 0 {
		return Request{}, 0, false
	}
	if head := c.queue.first(); head.Deadline <= now || c.missesDeadline(now, head) {
		return c.queue.popFirst(), Refuse, true
	}
	if len(c.running) >= c.Limit() {
		return Request{}, 0, false
	}
	req = c.queue.popFirst()
	c.start(now, req.ID)
	return req, Admit, true
}

// SetClassCount sets the number of classes in use, MaxClasses at first.
func (c *Controller) SetClassCount(count int) {
	c.levelController.classes = min(max(count, 1), MaxClasses)
}

// Tick updates the concurrency limit and the admission level. With
// Config.LimitQueueTime, it first evicts calls that have waited too long or whose
// deadline has passed. It is called at regular intervals.
func (c *Controller) Tick(now time.Duration) {
	if c.cfg.LimitQueueTime {
		c.evicted = append(c.evicted, c.queue.removeExpired(now, c.maxQueueTime())...)
	}
	if c.cfg.AdaptiveLimit {
		c.limiter.tick(now, c.queue.len() > 0)
	}
	c.levelController.tick(now, c.queue.len())
}

// InFlight returns the number of running calls.
func (c *Controller) InFlight() int { return len(c.running) }

// Queued returns the number of waiting calls.
func (c *Controller) Queued() int { return c.queue.len() }

// Limit returns the number of calls that may run at once now.
func (c *Controller) Limit() int {
	if c.cfg.AdaptiveLimit {
		return c.limiter.current()
	}
	return c.cfg.Initial
}

// Level returns the admission level: the highest rank that the upstream has
// capacity for now.
func (c *Controller) Level() Rank { return c.levelController.level }
