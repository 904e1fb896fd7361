package mesh

import (
	"fmt"
	"testing"
	"time"

	"github.com/shallotspool/shallotspool/core/concurrency"
)

// upstreamLoad plays requests at the local upstream of one node in virtual time.
type upstreamLoad struct {
	node *Node
	now  time.Duration
	// workTime is how long a run takes unless its deadline cuts it.
	workTime time.Duration
	lastID   uint64
	// offered holds the requests that run or wait, and ends when a run ends.
	offered map[uint64]Work
	ends    map[uint64]time.Duration
	// served and runs count the runs by route.
	served, runs map[uint32]int
}

const loadStep = 10 * time.Millisecond

func newUpstreamLoad(n *Node, workTime time.Duration) *upstreamLoad {
	return &upstreamLoad{
		node: n, workTime: workTime, offered: map[uint64]Work{}, ends: map[uint64]time.Duration{},
		served: map[uint32]int{}, runs: map[uint32]int{},
	}
}

// offers are requests of one route that arrive together, with the time that they have left.
type offers struct {
	route   uint32
	count   int
	timeout time.Duration
}

// play offers the same requests every interval, for a time.
func (l *upstreamLoad) play(d, interval time.Duration, list ...offers) {
	clear(l.served)
	clear(l.runs)
	for end := l.now + d; l.now < end; l.now += loadStep {
		l.endRuns()
		if l.now%interval == 0 {
			for _, o := range list {
				for range o.count {
					l.offer(o.route, o.timeout)
				}
			}
		}
		for _, id := range l.node.ExpireWork(l.now) {
			l.refuse(id)
		}
		l.drainQueue()
	}
}

func (l *upstreamLoad) offer(route uint32, timeout time.Duration) {
	l.lastID++
	w := Work{ID: l.lastID, Route: route, Deadline: l.now + timeout}
	l.offered[w.ID] = w
	switch l.node.OfferWork(l.now, w) {
	case concurrency.Admit:
		l.start(w.ID)
	case concurrency.Refuse:
		l.refuse(w.ID)
	}
}

func (l *upstreamLoad) drainQueue() {
	for id, d, ok := l.node.NextWork(l.now); ok; id, d, ok = l.node.NextWork(l.now) {
		if d == concurrency.Refuse {
			l.refuse(id)
			continue
		}
		l.node.WorkStarted(l.now, l.offered[id])
		l.start(id)
	}
}

func (l *upstreamLoad) refuse(id uint64) {
	l.node.WorkRefused(l.offered[id])
	delete(l.offered, id)
}

func (l *upstreamLoad) start(id uint64) {
	w := l.offered[id]
	w.Started = l.now
	l.offered[id] = w
	l.ends[id] = min(l.now+l.workTime, w.Deadline)
	l.runs[w.Route]++
}

func (l *upstreamLoad) endRuns() {
	for id, end := range l.ends {
		if end > l.now {
			continue
		}
		w, result := l.offered[id], RunSucceeded
		if end-w.Started < l.workTime {
			result = RunTimedOut
		} else {
			l.served[w.Route]++
		}
		l.node.WorkDone(l.now, w, end-w.Started, result)
		delete(l.offered, id)
		delete(l.ends, id)
	}
}

const (
	normalRun = 250 * time.Millisecond
	slowRun   = 3 * time.Second
	// longTimeout is beyond slow runs, and shortTimeout below half of them.
	longTimeout, shortTimeout = 4 * time.Second, time.Second
)

// TestRouteIsServedAgainAfterSlowRuns guards against a route that is refused for good: once half of its
// mean run time exceeds what its requests have left, none runs that could lower the mean.
func TestRouteIsServedAgainAfterSlowRuns(t *testing.T) {
	id := RouteID(testRoute("a", true))
	for name, play := range map[string]func(l *upstreamLoad){
		"slow for a while": func(l *upstreamLoad) {
			l.play(10*time.Second, 500*time.Millisecond, offers{id, 1, longTimeout})
		},
		// The upstream is still slow when the time-out falls.
		"slow under the short time-out": func(l *upstreamLoad) {
			l.play(10*time.Second, 500*time.Millisecond, offers{id, 1, longTimeout})
			l.play(10*time.Second, 500*time.Millisecond, offers{id, 1, shortTimeout})
			if l.runs[id] > 15 {
				t.Errorf("%d requests ran in 10 s that could not be served, want at most one at a time", l.runs[id])
			}
		},
	} {
		l := newUpstreamLoad(newFleet(t, testRoute("a", true))[0], slowRun)
		play(l)
		l.workTime = normalRun
		l.play(5*time.Second, 500*time.Millisecond, offers{id, 1, shortTimeout})
		l.play(10*time.Second, 500*time.Millisecond, offers{id, 1, shortTimeout})
		if l.served[id] < 18 {
			t.Errorf("%s: %d of 20 requests served from 5 s after it, want all", name, l.served[id])
		}
	}
}

// TestWaitingRouteIsServedAgainAfterSlowRuns guards against the same behind a queue: requests have enough
// time left when they arrive, and no longer once they have waited.
func TestWaitingRouteIsServedAgainAfterSlowRuns(t *testing.T) {
	id, other := RouteID(testRoute("a", true)), RouteID(testRoute("b", true))
	n := newFleet(t, testRoute("a", true), testRoute("b", true))[0]
	l := newUpstreamLoad(n, slowRun)
	l.play(20*time.Second, 2*time.Second, offers{id, 1, longTimeout})
	l.workTime = normalRun
	// The other route takes all slots whenever they are free.
	requests := []offers{{other, n.Load().Limit, longTimeout}, {id, 1, slowRun/2 + loadStep}}
	l.play(10*time.Second, 2*normalRun, requests...)
	l.play(10*time.Second, 2*normalRun, requests...)
	if l.served[id] < 18 {
		t.Errorf("%d of 20 requests served beside %d of another route, want all", l.served[id], l.served[other])
	}
}

// TestRunTimesOfFormerRoutesMakeRoom guards against routes whose run times are never kept or reported,
// because routes that ran before, as under earlier versions of the table, take the room.
func TestRunTimesOfFormerRoutesMakeRoom(t *testing.T) {
	n := newFleet(t, testRoute("a", true))[0]
	run := func(at time.Duration, name string) uint32 {
		id := RouteID(testRoute(name, true))
		w := Work{ID: uint64(at), Route: id, Deadline: at + time.Minute, Started: at}
		n.OfferWork(at, w)
		n.WorkDone(at+normalRun, w, normalRun, RunSucceeded)
		return id
	}
	now := time.Duration(0)
	for i := range maxRunRoutes + maxReportedRoutes {
		now += time.Second
		id := run(now, fmt.Sprintf("route-%d", i))
		if got := n.runTimes.known(id); got != normalRun {
			t.Fatalf("route %d: mean run time %v, want %v", i, got, normalRun)
		}
		if stats := n.Heartbeat(now).Routes; len(stats) > maxReportedRoutes || stats[0].Route != id {
			t.Fatalf("run times %v in a heartbeat, want at most %d, the newest first", stats, maxReportedRoutes)
		}
	}
}
