// Package loop runs the engine. It passes events to the engine one at a time, under
// a lock. It completes calls itself and passes every other resulting action to an
// ActionHandler, in the order in which the engine returned them. Nothing blocks while
// the lock is held.
package loop

import (
	"sync"
	"time"

	"github.com/shallotspool/shallotspool/core/engine"
	"github.com/shallotspool/shallotspool/core/status"
)

// ActionHandler executes the engine's actions. HandleAction is called with the
// loop's lock held, so it must not block and must not call the Loop. It returns
// work that may block, which is run without the lock, or nil if there is none.
type ActionHandler interface {
	HandleAction(n *engine.Node, a engine.Action) (work func())
}

// Loop runs one engine. Its methods may be called from any goroutine.
type Loop struct {
	mu         sync.Mutex
	node       *engine.Node
	handler    ActionHandler
	runAsync   func(work func())
	startTime  time.Time
	lastCallID engine.CallID
	calls      map[engine.CallID]*Call
	closed     bool
}

// Call is a call that waits for its reply.
type Call struct {
	ID          engine.CallID
	done        chan struct{}
	reply       engine.Reply
	pendingWork func()
}

// RunPendingWork runs the first piece of work that the arrival of the call caused,
// if any: usually the first attempt. Further pieces run in new goroutines. The
// caller of Loop.StartCall calls it once, on its own goroutine, which saves two
// goroutine switches for each call.
func (c *Call) RunPendingWork() {
	if c.pendingWork != nil {
		c.pendingWork()
	}
}

// Done returns a channel that is closed when the reply is available.
func (c *Call) Done() <-chan struct{} { return c.done }

// Reply returns the reply. It may only be called after the channel of Done is
// closed.
func (c *Call) Reply() engine.Reply { return c.reply }

// New returns a Loop with a new engine. startTime is the zero of the engine's
// clock and must have a monotonic clock reading. runAsync runs work that may
// block in a new goroutine.
func New(cfg engine.Config, startTime time.Time, handler ActionHandler, runAsync func(work func())) *Loop {
	return &Loop{
		node: engine.New(cfg, time.Since(startTime)), handler: handler, runAsync: runAsync, startTime: startTime,
		calls: map[engine.CallID]*Call{},
	}
}

// Step passes one event to the engine and executes the resulting actions.
func (l *Loop) Step(ev engine.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stepLocked(ev, l.runAsync)
}

// StartCall assigns an ID to a new call and passes the call to the engine. The
// caller then calls Call.RunPendingWork and waits for Call.Done.
func (l *Loop) StartCall(ev *engine.CallArrived) *Call {
	c := &Call{done: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastCallID++
	c.ID = l.lastCallID
	ev.ID = c.ID
	l.calls[c.ID] = c
	l.stepLocked(ev, func(work func()) {
		if c.pendingWork != nil {
			l.runAsync(work)
			return
		}
		c.pendingWork = work
	})
	return c
}

// stepLocked passes one event to the engine and executes the resulting actions. It
// hands work that may block to schedule, which must not block. l.mu must be held.
func (l *Loop) stepLocked(ev engine.Event, schedule func(work func())) {
	if l.closed {
		return
	}
	for _, a := range l.node.Step(time.Since(l.startTime), ev) {
		if reply, ok := a.(*engine.ReplyCall); ok {
			l.completeCall(reply)
			continue
		}
		if work := l.handler.HandleAction(l.node, a); work != nil {
			schedule(work)
		}
	}
}

// completeCall hands the reply to the waiting call, if it is still open.
func (l *Loop) completeCall(a *engine.ReplyCall) {
	c := l.calls[a.ID]
	if c == nil {
		return
	}
	delete(l.calls, a.ID)
	c.reply = a.Reply
	close(c.done)
}

// IssueKey returns a new idempotency key that this node owns.
func (l *Loop) IssueKey() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.node.IssueKey()
}

// OpenCalls returns the number of calls that wait for a reply.
func (l *Loop) OpenCalls() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.calls)
}

// Close stops the engine: it gets no further events. Waiting calls, and calls that
// are started later, get no reply.
func (l *Loop) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	clear(l.calls)
}

// Status returns the status that the engine reports to operators.
func (l *Loop) Status() status.Node {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.node.Status()
}
