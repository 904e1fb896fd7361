package faults

import (
	"sync"
	"time"
)

// ledger is what callers and upstreams saw, in the order of time. Its methods may
// be called from any goroutine.
type ledger struct {
	mu       sync.Mutex
	began    time.Time
	requests map[string]*request
	arrivals []arrival
	faults   []fault
	drains   []drain
	// versions holds when each version of the table was published.
	versions map[int]time.Duration
}

// request is one request of a caller, or a call of an upstream.
type request struct {
	id         string
	node       int
	idempotent bool
	inner      bool
	// version is that of the table which added its route, 0 if it is in all.
	version int
	sent    time.Duration
	wait    time.Duration
	// ended is when the answer came, or the connection ended.
	ended  time.Duration
	status int
	// wanted and got are the bodies, stamped tells that the answer is an upstream's.
	wanted, got string
	stamped     bool
	retryAfter  bool
	// left is when the caller closed its connection without waiting, 0 if not.
	left time.Duration
}

// arrival is one request as an upstream got it.
type arrival struct {
	at       time.Duration
	id       string
	service  string
	upstream string
	// run tells that the upstream worked on it, and left the time that it was
	// told the sender still waits.
	run  bool
	left time.Duration
}

// drain is the time in which an upstream said that it leaves; to is 0 while it
// does.
type drain struct {
	upstream string
	from, to time.Duration
}

// fault is a disturbance from its begin to its end.
type fault struct {
	kind     string
	instance int
	from, to time.Duration
	// planned tells that it is ordinary work, such as a stop with notice, and
	// restarts that the node has a new process after it.
	planned, restarts bool
}

func newLedger() *ledger {
	return &ledger{began: time.Now(), requests: map[string]*request{}, versions: map[int]time.Duration{}}
}

func (l *ledger) now() time.Duration { return time.Since(l.began) }

func (l *ledger) asked(r *request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.sent = l.now()
	l.requests[r.id] = r
}

// update changes what is known of a request.
func (l *ledger) update(do func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	do()
}

func (l *ledger) arrived(a arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.at = l.now()
	l.arrivals = append(l.arrivals, a)
}

func (l *ledger) opened(f fault) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	f.from = l.now()
	l.faults = append(l.faults, f)
	return len(l.faults) - 1
}

func (l *ledger) healed(i int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults[i].to = l.now()
}
