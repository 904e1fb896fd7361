// Package admission decides which calls a node lets through to its own
// upstream, which wait, and which are refused. It judges by what the node sees
// of the upstream's work, never by what the upstream claims. A Controller is
// not safe for concurrent use; the engine owns it.
package admission

import "time"

// Rank orders calls: a lower one matters more. The class stands in the high
// byte; within a class, work already invested in deeper layers goes first.
type Rank uint16

// RankOf returns the rank of a call of the given class at the given depth of
// its chain, 0 being the entry.
func RankOf(class uint8, depth int) Rank {
	return Rank(class)<<8 | Rank(maxDepth-min(max(depth, 0), maxDepth))
}

const (
	maxDepth = 255
	// RankAll admits every call.
	RankAll Rank = 0xffff
)

// Item is one call that asks to run.
type Item struct {
	ID       uint64
	Rank     Rank
	Arrived  time.Duration
	Deadline time.Duration
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
	// Started is when the upstream got the call.
	Started time.Duration
	// Own is the time the upstream spent on it, without its calls to others.
	Own time.Duration
	// OK is false when the run ended without a whole answer.
	OK bool
}

// Config bounds a Controller.
type Config struct {
	// Initial, Min and Max bound the concurrency limit, in calls.
	Initial, Min, Max int
	// MaxQueue is the number of calls that may wait.
	MaxQueue int
}

// Controller is the guard of one upstream.
type Controller struct {
	cfg      Config
	inFlight int
	queue    []Item
}

// New returns a Controller.
func New(cfg Config) *Controller { return &Controller{cfg: cfg} }

// Offer decides on a new item. Refused items are forgotten at once.
func (c *Controller) Offer(now time.Duration, item Item) Decision {
	if item.Deadline <= now {
		return Refuse
	}
	if c.inFlight < c.cfg.Initial {
		c.inFlight++
		return Run
	}
	if len(c.queue) >= c.cfg.MaxQueue {
		return Refuse
	}
	c.queue = append(c.queue, item)
	return Wait
}

// Done takes in the end of a run and frees its place.
func (c *Controller) Done(now time.Duration, s Sample) { c.inFlight-- }

// Withdraw removes a waiting item; it does nothing if there is no such item.
func (c *Controller) Withdraw(id uint64) {
	for i := range c.queue {
		if c.queue[i].ID == id {
			c.queue = append(c.queue[:i], c.queue[i+1:]...)
			return
		}
	}
}

// Next returns the waiting item to run now, or to refuse because its time has
// run out; ok is false when there is none. It is called until ok is false after
// each Done and on each tick.
func (c *Controller) Next(now time.Duration) (item Item, d Decision, ok bool) {
	if len(c.queue) == 0 {
		return Item{}, 0, false
	}
	head := c.queue[0]
	if head.Deadline <= now {
		c.queue = c.queue[1:]
		return head, Refuse, true
	}
	if c.inFlight >= c.cfg.Initial {
		return Item{}, 0, false
	}
	c.queue = c.queue[1:]
	c.inFlight++
	return head, Run, true
}

// Tick passes time.
func (c *Controller) Tick(now time.Duration) {}

// InFlight returns the number of running calls.
func (c *Controller) InFlight() int { return c.inFlight }

// Queued returns the number of waiting calls.
func (c *Controller) Queued() int { return len(c.queue) }

// Limit returns the number of calls that may run at once now.
func (c *Controller) Limit() int { return c.cfg.Initial }

// Level returns the highest rank that is admitted now.
func (c *Controller) Level() Rank { return RankAll }
