// Package loop runs the engine: it gives it one event at a time under one lock
// and hands each action to a Performer. Nothing blocks while the lock is held,
// so actions reach the Performer in the order the engine decided them.
package loop

import (
	"sync"
	"time"

	"github.com/shallotspool/shallotspool/core/engine"
	"github.com/shallotspool/shallotspool/core/status"
)

// Performer carries out actions. Perform is called with the loop's lock held:
// it must return at once and must not call the Loop. Work that may block is
// returned, to be run without the lock; nil means that there is none.
type Performer interface {
	Perform(n *engine.Node, a engine.Action) (work func())
}

// Loop is one running engine. Its methods may be called from any goroutine.
type Loop struct {
	mu        sync.Mutex
	node      *engine.Node
	performer Performer
	spawn     func(work func())
	start     time.Time
	nextCall  engine.CallID
	calls     map[engine.CallID]*Call
	closed    bool
}

// Call is one call that waits for its reply.
type Call struct {
	ID    engine.CallID
	done  chan struct{}
	reply engine.Reply
	work  func()
}

// Work runs what the arrival of the call led to, if anything: usually its first
// attempt. Whoever called Arrive calls it once; that saves two switches between
// goroutines for each call.
func (c *Call) Work() {
	if c.work != nil {
		c.work()
	}
}

// Done is closed when the reply is there.
func (c *Call) Done() <-chan struct{} { return c.done }

// Reply returns the reply; it is only valid after Done.
func (c *Call) Reply() engine.Reply { return c.reply }

// New returns a Loop over a new engine. start is the moment the engine counts
// its time from; it must carry a monotonic reading. spawn runs work that may
// block in a goroutine of its own.
func New(cfg engine.Config, start time.Time, p Performer, spawn func(work func())) *Loop {
	return &Loop{
		node: engine.New(cfg, time.Since(start)), performer: p, spawn: spawn, start: start,
		calls: map[engine.CallID]*Call{},
	}
}

// Step gives the engine one event and carries out what it decides.
func (l *Loop) Step(ev engine.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.step(ev, l.spawn)
}

// Arrive gives the engine a new call, whose ID it sets.
func (l *Loop) Arrive(ev *engine.CallArrived) *Call {
	c := &Call{done: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nextCall++
	c.ID = l.nextCall
	ev.ID = c.ID
	l.calls[c.ID] = c
	l.step(ev, func(work func()) {
		if c.work != nil {
			l.spawn(work)
			return
		}
		c.work = work
	})
	return c
}

func (l *Loop) step(ev engine.Event, run func(work func())) {
	if l.closed {
		return
	}
	for _, a := range l.node.Step(time.Since(l.start), ev) {
		if reply, ok := a.(*engine.ReplyCall); ok {
			l.reply(reply)
			continue
		}
		if work := l.performer.Perform(l.node, a); work != nil {
			run(work)
		}
	}
}

func (l *Loop) reply(a *engine.ReplyCall) {
	c := l.calls[a.ID]
	if c == nil {
		return
	}
	delete(l.calls, a.ID)
	c.reply = a.Reply
	close(c.done)
}

// IssueKey returns a new key that this node owns.
func (l *Loop) IssueKey() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.node.IssueKey()
}

// Open returns the number of calls that wait for their reply.
func (l *Loop) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.calls)
}

// Close ends the engine: it gets no more events, and calls that wait get no
// reply.
func (l *Loop) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	clear(l.calls)
}

// Status returns what the engine tells operators.
func (l *Loop) Status() status.Node {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.node.Status()
}
