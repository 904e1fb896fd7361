package demo

import (
	"fmt"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/shallotspool/shallotspool/core/document"
	"github.com/shallotspool/shallotspool/harness/fleet"
	"github.com/shallotspool/shallotspool/harness/standin"
)

// Every callsPerCharge-th call is a charge, which must be executed at most once; the
// others are lookups.
const callsPerCharge = 20

// loadInterval is the interval at which due calls are started.
const loadInterval = 5 * time.Millisecond

// callRecord is one call with its result.
type callRecord struct {
	id         string
	isCharge   bool
	startedAt  time.Duration
	latency    time.Duration
	result     standin.Result
	executions int // for charges only
}

// loadGenerator makes calls at the rate given by rateAt, independent of their results
// (open loop).
type loadGenerator struct {
	fleet       *fleet.Fleet
	startedAt   time.Time
	callers     []*standin.Caller
	lookupRoute *document.Route
	chargeRoute *document.Route
	done        chan struct{}
	calls       conc.WaitGroup

	mu      sync.Mutex
	records []callRecord
}

// newLoadGenerator returns a generator whose calls enter at the nodes of pullreg.
func newLoadGenerator(f *fleet.Fleet) *loadGenerator {
	l := &loadGenerator{
		fleet: f, startedAt: time.Now(), done: make(chan struct{}),
		callers: []*standin.Caller{f.Caller("pullreg-1"), f.Caller("pullreg-2")},
	}
	for _, r := range f.Document.Service("pullreg").Routes {
		if r.Idempotent {
			l.lookupRoute = r
		} else {
			l.chargeRoute = r
		}
	}
	return l
}

// generate starts calls until the end of the run.
func (l *loadGenerator) generate() {
	defer close(l.done)
	started, due := 0, 0.0
	last := time.Duration(0)
	for {
		now := time.Since(l.startedAt)
		if now >= runEnd {
			return
		}
		due += (now - last).Seconds() * float64(rateAt(now))
		last = now
		for ; float64(started) < due; started++ {
			n := started
			l.calls.Go(func() { l.call(n) })
		}
		time.Sleep(loadInterval)
	}
}

// rateAt returns the rate in calls per second at a time of the run.
func rateAt(now time.Duration) int {
	if now >= surgeAt && now < surgeEnd {
		return surgeRate
	}
	return normalRate
}

// call makes call number n and records its result.
func (l *loadGenerator) call(n int) {
	route := l.lookupRoute
	if n%callsPerCharge == 0 {
		route = l.chargeRoute
	}
	r := callRecord{id: fmt.Sprintf("c%d", n), isCharge: !route.Idempotent, startedAt: time.Since(l.startedAt)}
	caller, call := l.callers[n%len(l.callers)], standin.NewCall(route, r.id)
	if r.isCharge {
		call.Key = caller.FetchKey()
	}
	r.result = caller.Do(call)
	r.latency = time.Since(l.startedAt) - r.startedAt
	if r.isCharge {
		r.executions = l.fleet.RunCount(r.id)
	}
	l.mu.Lock()
	l.records = append(l.records, r)
	l.mu.Unlock()
}

// wait returns when all calls have finished. It then counts the executions of charges
// again, because a charge reported as not executed must not be executed later either.
func (l *loadGenerator) wait() {
	<-l.done
	l.calls.Wait()
	for i := range l.records {
		if r := &l.records[i]; r.isCharge {
			r.executions = l.fleet.RunCount(r.id)
		}
	}
}
