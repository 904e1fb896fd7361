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

// Every writeShare-th call is a charge, which may run once only.
const writeShare = 20

// pace is how often new calls are made.
const pace = 5 * time.Millisecond

// record is one call and what its caller got.
type record struct {
	id     string
	write  bool
	at     time.Duration
	took   time.Duration
	result standin.Result
	runs   int
}

// load makes calls at the rate of the moment, whatever becomes of them.
type load struct {
	fleet   *fleet.Fleet
	began   time.Time
	entries []*standin.Caller
	reads   *document.Route
	writes  *document.Route
	done    chan struct{}
	calls   conc.WaitGroup

	mu      sync.Mutex
	records []record
}

func newLoad(f *fleet.Fleet) *load {
	l := &load{
		fleet: f, began: time.Now(), done: make(chan struct{}),
		entries: []*standin.Caller{f.Caller("pullreg-1"), f.Caller("pullreg-2")},
	}
	for _, r := range f.Document.Service("pullreg").Routes {
		if r.Idempotent {
			l.reads = r
		} else {
			l.writes = r
		}
	}
	return l
}

// offer makes calls until the end of the run.
func (l *load) offer() {
	defer close(l.done)
	made, due := 0, 0.0
	last := time.Duration(0)
	for {
		now := time.Since(l.began)
		if now >= runEnd {
			return
		}
		due += (now - last).Seconds() * float64(rateAt(now))
		last = now
		for ; float64(made) < due; made++ {
			n := made
			l.calls.Go(func() { l.call(n) })
		}
		time.Sleep(pace)
	}
}

func rateAt(now time.Duration) int {
	if now >= surgeAt && now < surgeEnd {
		return surgeRate
	}
	return normalRate
}

func (l *load) call(n int) {
	route := l.reads
	if n%writeShare == 0 {
		route = l.writes
	}
	r := record{id: fmt.Sprintf("c%d", n), write: !route.Idempotent, at: time.Since(l.began)}
	caller, call := l.entries[n%len(l.entries)], standin.Request(route, r.id)
	if r.write {
		call.Key = caller.NewKey()
	}
	r.result = caller.Do(call)
	r.took = time.Since(l.began) - r.at
	if r.write {
		r.runs = l.fleet.Runs(r.id)
	}
	l.mu.Lock()
	l.records = append(l.records, r)
	l.mu.Unlock()
}

// wait returns when every call has its answer. The runs of writes are counted
// again then: what was said not to have run must not run later either.
func (l *load) wait() {
	<-l.done
	l.calls.Wait()
	for i := range l.records {
		if r := &l.records[i]; r.write {
			r.runs = l.fleet.Runs(r.id)
		}
	}
}
