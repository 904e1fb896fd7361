// Package admission decides which calls a node lets through to its own
// upstream, which wait, and which are refused. It judges by what the node sees
// of the upstream's work, never by what the upstream claims. A Controller is
// not safe for concurrent use; the engine owns it.
package admission

import (
	"slices"
	"time"
)

const (
	// minQueueTime is the time an item may wait behind a quick upstream.
	minQueueTime = 100 * time.Millisecond
	// queueRuns is the time an item may wait, in own times of the upstream.
	queueRuns = 2
)

// Item is one call that asks to run.
type Item struct {
	ID   uint64
	Rank Rank
	// Depth is how deep in its chain the call is, 0 being the entry.
	Depth    int
	Deadline time.Duration

	queued   time.Duration
	sequence uint64
}

// Decision is what becomes of an offered item.
type Decision uint8

// The decisions.
const (
	Run Decision = iota + 1
	Wait
	Refuse
)

// Sample is what one finished run taught.
type Sample struct {
	// ID is the item's.
	ID uint64
	// Own is the time the upstream spent on it, without its calls to others.
	Own time.Duration
	// OK is false when the run ended without a whole answer.
	OK bool
}

// Config bounds a Controller and switches its mechanisms on.
type Config struct {
	// Initial, Min and Max bound the concurrency limit, in calls.
	Initial, Min, Max int
	// MaxQueue is the number of calls that may wait.
	MaxQueue int
	// Adaptive learns the limit; otherwise it stays at Initial.
	Adaptive bool
	// Ranked orders the queue by rank; otherwise first come, first served.
	Ranked bool
	// Timed bounds the queue in time and refuses what cannot meet its deadline.
	Timed bool
}

// Controller is the guard of one upstream.
type Controller struct {
	cfg     Config
	limiter limiter
	level   leveller
	queue   queue
	running map[uint64]run
	// refused holds items that gave way and wait to be told by Next.
	refused []Item
}

// run is one running item.
type run struct {
	started time.Duration
	// light tells that it began while few were running.
	light bool
}

// New returns a Controller.
func New(cfg Config) *Controller {
	return &Controller{cfg: cfg, limiter: newLimiter(cfg), level: newLeveller(), running: map[uint64]run{}}
}

// Offer decides on a new item. Refused items are forgotten at once. An item
// that waits may push another out, which Next then returns.
func (c *Controller) Offer(now time.Duration, item Item) Decision {
	c.level.offered(item.Rank)
	if !c.cfg.Ranked {
		item.Rank, item.Depth = 0, 0
	}
	if item.Deadline <= now {
		return Refuse
	}
	if c.queue.len() == 0 && len(c.running) < c.Limit() {
		c.start(now, item.ID)
		return Run
	}
	c.level.busy = true
	c.limiter.full()
	if c.hopeless(now, item) {
		return Refuse
	}
	if c.queue.len() < c.maxQueue() {
		c.wait(now, item)
		return Wait
	}
	if item.Rank >= c.queue.worst().Rank {
		return Refuse
	}
	c.refused = append(c.refused, c.queue.popWorst())
	c.wait(now, item)
	return Wait
}

func (c *Controller) start(now time.Duration, id uint64) {
	inFlight := len(c.running) + 1
	c.running[id] = run{started: now, light: c.limiter.isLight(inFlight)}
	c.limiter.started(now, inFlight)
}

func (c *Controller) wait(now time.Duration, item Item) {
	item.queued = now
	c.queue.push(item)
}

// hopeless tells whether item cannot be answered before its deadline.
func (c *Controller) hopeless(now time.Duration, item Item) bool {
	return c.cfg.Timed && item.Deadline-now < seconds(c.limiter.base)
}

// maxQueue returns the number of items that the upstream takes within the
// queue time.
func (c *Controller) maxQueue() int {
	if !c.cfg.Timed {
		return c.cfg.MaxQueue
	}
	inTime := int(c.level.rate * c.queueTime().Seconds())
	return min(max(inTime, c.Limit(), 1), c.cfg.MaxQueue)
}

// queueTime returns the longest time that an item waits.
func (c *Controller) queueTime() time.Duration {
	return max(minQueueTime, queueRuns*seconds(c.limiter.base))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Done takes in the end of a run and frees its place.
func (c *Controller) Done(now time.Duration, s Sample) {
	r, found := c.running[s.ID]
	if !found {
		return
	}
	delete(c.running, s.ID)
	if !s.OK {
		return
	}
	c.level.done++
	if c.cfg.Adaptive {
		c.limiter.done(now, s.Own, now-r.started, r.light)
	}
}

// Withdraw removes a waiting item; it does nothing if there is no such item.
func (c *Controller) Withdraw(id uint64) {
	c.queue.remove(id)
	c.refused = slices.DeleteFunc(c.refused, func(i Item) bool { return i.ID == id })
}

// Next returns the waiting item to run now, or to refuse because it gave way or
// its time has run out; ok is false when there is none. It is called until ok
// is false after each Offer, each Done and on each tick.
func (c *Controller) Next(now time.Duration) (item Item, d Decision, ok bool) {
	if len(c.refused) > 0 {
		item = c.refused[0]
		c.refused = c.refused[1:]
		return item, Refuse, true
	}
	if c.queue.len() == 0 {
		return Item{}, 0, false
	}
	if head := c.queue.best(); head.Deadline <= now || c.hopeless(now, head) {
		return c.queue.popBest(), Refuse, true
	}
	if len(c.running) >= c.Limit() {
		return Item{}, 0, false
	}
	item = c.queue.popBest()
	c.start(now, item.ID)
	return item, Run, true
}

// SetClasses tells how many classes the document has.
func (c *Controller) SetClasses(count int) { c.level.classes = min(max(count, 1), MaxClasses) }

// Tick passes time.
func (c *Controller) Tick(now time.Duration) {
	if c.cfg.Timed {
		c.refused = append(c.refused, c.queue.takeOld(now, c.queueTime())...)
	}
	if c.cfg.Adaptive {
		c.limiter.tick(now, c.queue.len() > 0)
	}
	c.level.tick(now, c.queue.len())
}

// InFlight returns the number of running calls.
func (c *Controller) InFlight() int { return len(c.running) }

// Queued returns the number of waiting calls.
func (c *Controller) Queued() int { return c.queue.len() }

// Limit returns the number of calls that may run at once now.
func (c *Controller) Limit() int {
	if c.cfg.Adaptive {
		return c.limiter.current()
	}
	return c.cfg.Initial
}

// Level returns the highest rank that is admitted now.
func (c *Controller) Level() Rank { return c.level.level }
