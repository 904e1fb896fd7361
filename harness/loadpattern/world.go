// Package loadpattern simulates fleets of core/mesh nodes with load and fault
// patterns that stress call graphs. It uses virtual time and no sockets, so every
// run of a pattern gives the same result. Each pattern is in a file of its own.
package loadpattern

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/shallotspool/shallotspool/core/concurrency"
	"github.com/shallotspool/shallotspool/core/mesh"
	"github.com/shallotspool/shallotspool/core/registry"
	"github.com/shallotspool/shallotspool/core/route"
)

// hopDelay is the one-way network delay between two instances.
const hopDelay = time.Millisecond

// Class describes one kind of request: the service that runs it, the time this
// takes, and the calls that the upstream makes for it.
type Class struct {
	Name    string
	Service string
	// Priority is lower for more important classes.
	Priority   int
	Idempotent bool
	// WorkTime is the mean time that an upstream of speed 1 works on a request,
	// without the calls it makes.
	WorkTime time.Duration
	Timeout  time.Duration
	// LatencyGoal is the latency up to which an answer counts as served in time.
	LatencyGoal time.Duration
	Calls       []CallGroup
}

// CallGroup is a group of equal calls that an upstream makes while it runs a
// request.
type CallGroup struct {
	Class string
	Count int
	// Parallel makes all calls at once instead of one after the other.
	Parallel bool
}

// Service describes the upstreams of one service.
type Service struct {
	Name string
	// UpstreamCount is the number of upstreams.
	UpstreamCount int
	// Slots is the concurrency that each upstream registers.
	Slots int
	// Speeds holds the relative speed of each upstream and repeats if there are
	// more upstreams; empty means a speed of 1 for all.
	Speeds []float64
	// ShedRatios holds the ratio of requests that each upstream rejects without
	// running them and repeats if there are more upstreams; empty means 0 for all.
	ShedRatios []float64
	// ShedStart is the time at which the upstreams start to shed, ShedEnd the one at which they
	// stop; 0 means never.
	ShedStart, ShedEnd time.Duration
	// RateLimits holds the requests per second that each upstream names as its limit, 0
	// for none, and repeats if there are more upstreams; empty means none for all.
	RateLimits []float64
}

// Demand is a stream of callers' requests of one class, spread over all nodes.
type Demand struct {
	Class string
	// Rate returns the rate at a time, in requests per second.
	Rate func(at time.Duration) float64
}

// Spec describes a simulation.
type Spec struct {
	Services []Service
	Classes  []Class
	Demand   []Demand
	Duration time.Duration
	Seed     uint64
	// DataCentres is the number of data centres over which the upstreams of each service
	// are spread in turn; 0 means one.
	DataCentres int
	// SameContent makes all requests of a class the same, as those for a popular page are.
	// OneAddress lets all callers send from one address.
	SameContent, OneAddress bool
	// RetryRefusedOnce makes callers retry a refused request once, after the time that
	// the refusal asks for.
	RetryRefusedOnce bool
	// DisableEntryAdmission disables admission control at the entry nodes. It leaves
	// out Node.UpdatePlan, so the load and retry statistics are not updated either.
	DisableEntryAdmission bool
}

// Result counts the requests of one class by their outcome. Served excludes
// answers that took longer than the latency goal; these are in Late.
type Result struct{ Offered, Served, Late, Refused, Failed int }

// AnsweredRatio returns the ratio of requests that were served, in time or late.
func (r Result) AnsweredRatio() float64 { return float64(r.Served+r.Late) / float64(max(r.Offered, 1)) }

// Add returns the sum of two results.
func (r Result) Add(o Result) Result {
	return Result{r.Offered + o.Offered, r.Served + o.Served, r.Late + o.Late, r.Refused + o.Refused, r.Failed + o.Failed}
}

// ServedRatio returns the ratio of requests that were served in time.
func (r Result) ServedRatio() float64 { return float64(r.Served) / float64(max(r.Offered, 1)) }

// world is the state of one simulation.
type world struct {
	spec      Spec
	now       time.Duration
	events    eventQueue
	lastOrder uint64
	random    *rand.Rand
	classes   map[string]*Class
	nodes     []*node
	nodesByIP map[string]*node
	lastID    int
	results   map[Origin]*Result
	// byPeriod holds the results of requests by class and by the second in which they entered.
	byPeriod map[Period]*Result
	// firstRuns and retries hold, by service, the times at which first runs and
	// retries arrived at its upstreams.
	firstRuns, retries map[string][]time.Duration
	// seenCalls holds the IDs of the calls that have arrived at an upstream as first
	// runs.
	seenCalls map[string]bool
}

// Origin is where requests of one class enter.
type Origin struct{ Class, DataCentre string }

// Period is one second in which requests of one class enter.
type Period struct {
	Class  string
	Second int
}

// period returns the results of the requests of a class that enter now.
func (w *world) period(class string, at time.Duration) *Result {
	key := Period{class, int(at / time.Second)}
	if w.byPeriod[key] == nil {
		w.byPeriod[key] = &Result{}
	}
	return w.byPeriod[key]
}

// node is one instance: a mesh.Node and its upstream.
type node struct {
	w          *world
	ip         string
	dataCentre string
	mesh       *mesh.Node
	speed      float64
	shedRatio  float64
	notice     mesh.Notice
	service    *Service
	// startedRuns holds the times at which runs started at the upstream.
	startedRuns []time.Duration
	// pendingWork holds, by work ID, the function that applies the decision on each
	// queued request.
	pendingWork map[uint64]func(concurrency.Decision)
	lastWorkID  uint64
	// exchanges is the number of times that the node has sent its messages.
	exchanges int
}

// retryBounds holds the bounds on retries of every node, as the users' platform
// configures them.
var retryBounds = mesh.RetryBounds{Window: 10 * time.Second, Ratio: 0.2, Slack: 49}

// Run runs a simulation and returns the results of callers by class.
func Run(spec Spec) map[string]Result {
	results, _ := simulate(spec)
	return results
}

// RunByOrigin runs a simulation and returns the results of callers by class and by the data
// centre in which their requests entered.
func RunByOrigin(spec Spec) map[Origin]Result {
	_, w := simulate(spec)
	results := map[Origin]Result{}
	for origin, r := range w.results {
		results[origin] = *r
	}
	return results
}

// RunByPeriod runs a simulation and returns the results of callers by class and by the second in
// which their requests entered, and the excess of retries as ExcessRetries does.
func RunByPeriod(spec Spec) (results map[Period]Result, excessRetries float64) {
	_, w := simulate(spec)
	results = map[Period]Result{}
	for period, r := range w.byPeriod {
		results[period] = *r
	}
	return results, w.excessRetries()
}

// ExcessRetries runs a simulation and returns the largest excess of retries over
// the retry bound, of any service and any window; a negative value means that the
// bound was kept. Each window ends just before a retry, so that none extends
// beyond the end of the run.
func ExcessRetries(spec Spec) float64 {
	_, w := simulate(spec)
	return w.excessRetries()
}

func (w *world) excessRetries() float64 {
	worst := -retryBounds.Slack
	for service, retries := range w.retries {
		for _, at := range retries {
			from := at - retryBounds.Window
			allowed := retryBounds.Slack + retryBounds.Ratio*float64(countWithin(w.firstRuns[service], from, retryBounds.Window))
			worst = max(worst, float64(countWithin(retries, from, retryBounds.Window))-allowed)
		}
	}
	return worst
}

// ExcessOverLimits runs a simulation and returns the largest excess of the runs that start
// at an upstream within 4 s over one and a half times the limit that it names, and 5; a
// negative value means that all limits were kept.
func ExcessOverLimits(spec Spec) (results map[string]Result, excess float64) {
	const window = 4 * time.Second
	results, w := simulate(spec)
	excess = -5
	for _, n := range w.nodes {
		for _, at := range n.startedRuns {
			if !n.notice.Limited || at < limitNoticeTime {
				continue
			}
			excess = max(excess, float64(countWithin(n.startedRuns, at, window))-1.5*n.notice.RateLimit*window.Seconds()-5)
		}
	}
	return results, excess
}

// limitNoticeTime is the time within which a limit must take effect.
const limitNoticeTime = 3 * time.Second

// countWithin counts the times in the window that begins at from. times must be
// sorted.
func countWithin(times []time.Duration, from, window time.Duration) int {
	first, _ := slices.BinarySearch(times, from)
	last, _ := slices.BinarySearch(times, from+window)
	return last - first
}

// simulate runs a simulation and returns its results and its final state.
func simulate(spec Spec) (map[string]Result, *world) {
	w := &world{
		spec: spec, random: rand.New(rand.NewPCG(spec.Seed, 3)),
		classes: map[string]*Class{}, nodesByIP: map[string]*node{}, results: map[Origin]*Result{}, byPeriod: map[Period]*Result{},
		firstRuns: map[string][]time.Duration{}, retries: map[string][]time.Duration{}, seenCalls: map[string]bool{},
	}
	w.buildNodes()
	for _, d := range spec.Demand {
		for i := range max(spec.DataCentres, 1) {
			w.results[Origin{d.Class, dataCentreName(i)}] = &Result{}
		}
		w.scheduleNextRequest(d)
	}
	w.startExchange()
	for len(w.events) > 0 && w.events[0].at < spec.Duration {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.action()
	}
	byClass := map[string]Result{}
	for origin, r := range w.results {
		byClass[origin.Class] = byClass[origin.Class].Add(*r)
	}
	return byClass, w
}

// dataCentreName returns the name of a data centre by its number.
func dataCentreName(i int) string { return string(rune('a' + i)) }

// buildNodes creates all nodes, with the same route table and registry in each.
func (w *world) buildNodes() {
	table := &route.Table{Version: 1, Services: map[string]route.Service{}}
	for i := range w.spec.Classes {
		c := &w.spec.Classes[i]
		w.classes[c.Name] = c
		table.Routes = append(table.Routes, &route.Route{
			Name: c.Name, Host: "h", Prefix: "/" + c.Name + "/", Idempotent: c.Idempotent, Timeout: c.Timeout,
			Goal: c.LatencyGoal, Priority: c.Priority, MaxAttempts: 2, Split: []route.WeightedService{{Service: c.Service, Weight: 1}},
		})
	}
	table.BuildIndex()
	var entries []registry.Change
	for _, s := range w.spec.Services {
		for i := range s.UpstreamCount {
			ip := fmt.Sprintf("10.0.%d.%d", len(w.nodes)/250, len(w.nodes)%250+1)
			dataCentre := dataCentreName(i % max(w.spec.DataCentres, 1))
			n := &node{w: w, ip: ip, dataCentre: dataCentre, speed: 1, service: &s, pendingWork: map[uint64]func(concurrency.Decision){}}
			if len(s.Speeds) > 0 {
				n.speed = s.Speeds[i%len(s.Speeds)]
			}
			if len(s.ShedRatios) > 0 {
				n.shedRatio = s.ShedRatios[i%len(s.ShedRatios)]
			}
			if len(s.RateLimits) > 0 {
				limit := s.RateLimits[i%len(s.RateLimits)]
				n.notice = mesh.Notice{RateLimit: limit, Limited: limit > 0}
			}
			n.mesh = mesh.New(mesh.Config{
				Instance: ip, Incarnation: 1, Service: s.Name, DataCentre: dataCentre, Seed: w.spec.Seed + uint64(len(w.nodes)),
				RetryBounds: retryBounds,
			})
			w.nodes, w.nodesByIP[ip] = append(w.nodes, n), n
			entries = append(entries, registry.Change{ID: ip, Revision: 1, Upstream: &registry.Upstream{
				ID: ip, Service: s.Name, Address: ip + ":80", Instance: ip, DataCentre: dataCentre, Slots: s.Slots, Revision: 1,
			}})
		}
	}
	for _, n := range w.nodes {
		n.mesh.SetTable(0, table)
		n.mesh.Registry().Replace(0, entries, registry.Position{Revision: 1})
		n.mesh.RegistryChanged()
	}
}

// startExchange lets every node exchange messages, each from a moment of its own on.
func (w *world) startExchange() {
	for _, n := range w.nodes {
		w.schedule(time.Duration(w.random.Int64N(int64(mesh.HeartbeatInterval))), n.exchangeMessages)
	}
}

// exchangeMessages sends the messages of n that are due, after a new plan once per heartbeat
// interval, and expires its queued requests.
func (n *node) exchangeMessages() {
	n.updatePlan()
	for _, m := range n.mesh.DueMessages(n.w.now) {
		n.w.send(n, m)
	}
	for _, id := range n.mesh.ExpireWork(n.w.now) {
		n.notifyPending(id, concurrency.Refuse)
	}
	n.startPendingWork()
	n.exchanges++
	n.w.schedule(mesh.ExchangeInterval, n.exchangeMessages)
}

func (n *node) updatePlan() {
	switch {
	case n.w.spec.DisableEntryAdmission:
	case n.exchanges%int(mesh.HeartbeatInterval/mesh.ExchangeInterval) == 0:
		n.mesh.UpdatePlan(n.w.now)
	default:
		n.mesh.Replan(n.w.now)
	}
}

// send delivers a message of n to its recipients.
func (w *world) send(n *node, m mesh.Outgoing) {
	for _, ip := range m.To {
		if to := w.nodesByIP[ip]; to != nil {
			w.schedule(hopDelay, func() { to.mesh.ReceiveMessage(w.now, n.ip, m.Message) })
		}
	}
}

// scheduleNextRequest schedules the next request of a demand, after an
// exponentially distributed interval. At a rate of 0 it checks the rate again
// after 10 ms.
func (w *world) scheduleNextRequest(d Demand) {
	rate := d.Rate(w.now)
	if rate <= 0 {
		w.schedule(10*time.Millisecond, func() { w.scheduleNextRequest(d) })
		return
	}
	w.schedule(time.Duration(w.random.ExpFloat64()/rate*float64(time.Second)), func() {
		n := w.nodes[w.random.IntN(len(w.nodes))]
		w.results[Origin{d.Class, n.dataCentre}].Offered++
		w.period(d.Class, w.now).Offered++
		sender := w.newID()
		content := sender
		if w.spec.SameContent {
			content = d.Class
		}
		if w.spec.OneAddress {
			sender = ""
		}
		w.sendRequest(d.Class, n, w.now, source{content, sender}, w.spec.RetryRefusedOnce)
		w.scheduleNextRequest(d)
	})
}

// source says what a request holds and who sends it. It is the same for a retry by the caller.
type source struct{ content, sender string }

// sendRequest sends a caller's request to n. firstSent is the time at which the
// caller first sent it; retry allows one more send after a refusal.
func (w *world) sendRequest(class string, n *node, firstSent time.Duration, from source, retry bool) {
	c := w.classes[class]
	n.startCall(c, w.newID(), from, "", 0, func(step mesh.Step, ok bool) {
		if !ok && step.Kind == mesh.StepRefuse && retry {
			w.schedule(step.RetryAfter, func() { w.sendRequest(class, n, firstSent, from, false) })
			return
		}
		for _, r := range []*Result{w.results[Origin{class, n.dataCentre}], w.period(class, firstSent)} {
			r.count(step, ok, w.now-firstSent <= c.LatencyGoal)
		}
	})
}

// count counts a request by its last step.
func (r *Result) count(step mesh.Step, ok, inTime bool) {
	switch {
	case ok && inTime:
		r.Served++
	case ok:
		r.Late++
	case step.Kind == mesh.StepRefuse:
		r.Refused++
	default:
		r.Failed++
	}
}

func (w *world) newID() string {
	w.lastID++
	return fmt.Sprint(w.lastID)
}

// schedule runs action after the virtual time d.
func (w *world) schedule(d time.Duration, action func()) {
	w.lastOrder++
	heap.Push(&w.events, event{w.now + d, w.lastOrder, action})
}

// event is a scheduled action. Events at the same time run in the order in which
// they were scheduled.
type event struct {
	at     time.Duration
	order  uint64
	action func()
}

type eventQueue []event

// Len implements heap.Interface.
func (e eventQueue) Len() int { return len(e) }

// Less implements heap.Interface.
func (e eventQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}

// Swap implements heap.Interface.
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *eventQueue) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *eventQueue) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}
