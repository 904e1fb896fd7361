package faults

import (
	"sync"
	"time"
)

// history records the injected faults and what callers and upstreams observe. arrivals,
// faults and drains are in chronological order. Times count from startedAt.
type history struct {
	mu        sync.Mutex // guards all fields but startedAt; held while the checks run
	startedAt time.Time
	requests  map[string]*request
	arrivals  []arrival
	faults    []fault
	drains    []drainPeriod
	endless   []endlessAnswer
	// uploads are the requests with large bodies.
	uploads []upload
	// framings are the connections of FramingScenario.
	framings []*framingConn
	// publishedAt is when each version of the routing table was published.
	publishedAt map[int]time.Duration
}

// request is one request of a caller or one call of an upstream.
type request struct {
	id           string
	node         int // index of the node that the caller used, -1 for a call of an upstream
	idempotent   bool
	fromUpstream bool
	// routeVersion is the table version that added the request's route, 0 for the
	// routes of all versions.
	routeVersion int
	sentAt       time.Duration
	timeout      time.Duration
	// endedAt is when the response arrived, the connection ended or the caller gave up;
	// 0 before that, and always for a call of an upstream.
	endedAt time.Duration
	status  int // HTTP status, 0 without a response and for a call of an upstream
	// wantBody and gotBody are the expected and the received response body; stamped and
	// hasRetryAfter tell that the response has the stamp of an upstream and a time to retry after.
	wantBody, gotBody string
	stamped           bool
	hasRetryAfter     bool
	// abandonedAfter is how long after sending the caller closed its connection
	// without waiting for the response, 0 if it waited.
	abandonedAfter time.Duration
}

// arrival is one request as an upstream received it.
type arrival struct {
	arrivedAt time.Duration
	id        string
	service   string
	upstream  string
	// executed tells whether the upstream processed the request; remaining is the
	// time left until the deadline that the upstream was given.
	executed  bool
	remaining time.Duration
}

// drainPeriod is a period in which an upstream announced that it drains, or had no entry; to
// is 0 while the period lasts.
type drainPeriod struct {
	upstream string
	from, to time.Duration
}

// fault is an injected fault with its start and end; to is 0 while it lasts.
type fault struct {
	kind     string
	instance int
	from, to time.Duration
	// planned tells that the fault is an ordinary operation, such as a graceful stop,
	// outage that it concerns the answers of the store, local that it delays what is in force at
	// its own node alone, and restarts that the node runs as a new process afterwards.
	planned, outage, local, restarts bool
}

// newHistory returns an empty history that starts now.
func newHistory() *history {
	return &history{startedAt: time.Now(), requests: map[string]*request{}, publishedAt: map[int]time.Duration{}}
}

// now returns the time since the start of the run.
func (h *history) now() time.Duration { return time.Since(h.startedAt) }

// recordRequest records that a request is about to be sent.
func (h *history) recordRequest(r *request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r.sentAt = h.now()
	h.requests[r.id] = r
}

// update calls do, which changes the history, while it holds the lock.
func (h *history) update(do func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	do()
}

// recordArrival records that an upstream received a request.
func (h *history) recordArrival(a arrival) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a.arrivedAt = h.now()
	h.arrivals = append(h.arrivals, a)
}

// recordFaultStart records the start of a fault and returns its index.
func (h *history) recordFaultStart(f fault) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	f.from = h.now()
	h.faults = append(h.faults, f)
	return len(h.faults) - 1
}

// recordFaultEnd records the end of the fault with index i.
func (h *history) recordFaultEnd(i int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faults[i].to = h.now()
}

// recordDrainStart records that the store has acknowledged that an upstream drains or is gone.
func (h *history) recordDrainStart(upstream string) {
	h.update(func() { h.drains = append(h.drains, drainPeriod{upstream: upstream, from: h.now()}) })
}

// recordDrainEnd records that an upstream is about to announce that it does not drain any more.
func (h *history) recordDrainEnd(upstream string) {
	h.update(func() {
		for i := range h.drains {
			if d := &h.drains[i]; d.upstream == upstream && d.to == 0 {
				d.to = h.now()
			}
		}
	})
}
