// Package pattern runs fleets of core/mesh nodes under virtual time against
// patterns of load that are hard on call graphs: no sockets, no wall clock, the
// same result on every run. Each pattern has a file of its own.
package pattern

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/shallotspool/shallotspool/core/guard"
	"github.com/shallotspool/shallotspool/core/mesh"
	"github.com/shallotspool/shallotspool/core/registry"
	"github.com/shallotspool/shallotspool/core/route"
)

// hop is the time between two instances, one way.
const hop = time.Millisecond

// Class is one kind of request: what it costs an upstream, and the calls that
// the upstream makes for it.
type Class struct {
	Name       string
	Service    string
	Priority   int
	Idempotent bool
	Work       time.Duration
	Timeout    time.Duration
	Goal       time.Duration
	Calls      []Calls
}

// Calls are requests that an upstream makes for another, one after the other or
// all at once.
type Calls struct {
	Class    string
	Times    int
	Together bool
}

// Service is a number of equal upstreams.
type Service struct {
	Name    string
	Targets int
	Slots   int
	// Speeds are how quick the upstreams are, in turn; 1 if there are none.
	Speeds []float64
	// Sheds are the parts of the requests that the upstreams turn away unrun, in
	// turn; 0 if there are none.
	Sheds []float64
	// ShedFrom is when they begin to do so.
	ShedFrom time.Duration
}

// Demand is the requests of callers for one class, per second, spread over all
// nodes.
type Demand struct {
	Class     string
	PerSecond func(at time.Duration) float64
}

// Spec describes a world.
type Spec struct {
	Services []Service
	Classes  []Class
	Demand   []Demand
	Length   time.Duration
	Seed     uint64
	// ReturnOnce makes refused callers come back once, when they were told to.
	ReturnOnce bool
	// Admit lets every request in if it is set: what nodes would do without the
	// shares at the entry.
	Admit bool
}

// Result counts what callers of one class got.
type Result struct{ Asked, Served, Late, Refused, Failed int }

// Ratio is the part of the requests that was served in time.
func (r Result) Ratio() float64 { return float64(r.Served) / float64(max(r.Asked, 1)) }

// world is one run.
type world struct {
	spec    Spec
	now     time.Duration
	events  events
	order   uint64
	random  *rand.Rand
	classes map[string]*Class
	nodes   []*node
	byIP    map[string]*node
	nextID  int
	results map[string]*Result
	// firsts and repeats are the times of arrivals at each service: of requests
	// for the first time, and of all others.
	firsts, repeats map[string][]time.Duration
	arrived         map[string]bool
}

// node is one instance: a node and its upstream.
type node struct {
	w       *world
	ip      string
	mesh    *mesh.Node
	speed   float64
	shed    float64
	service *Service
	waiting map[uint64]func(guard.Decision)
	nextJob uint64
}

// retries are the bounds on repeats, as the users' platform states them.
var retries = mesh.RetryBounds{Window: 10 * time.Second, Ratio: 0.2, Slack: 49}

// Run plays a world and returns what callers got, by class.
func Run(spec Spec) map[string]Result {
	results, _ := play(spec)
	return results
}

// Excess plays a world and returns by how much the repeats that a service got
// within a window exceed the bound, at most; below 0 the bound was kept. The
// windows end at repeats, so that none reaches past the end of the run.
func Excess(spec Spec) float64 {
	_, w := play(spec)
	worst := -retries.Slack
	for service, repeats := range w.repeats {
		for _, at := range repeats {
			from := at - retries.Window
			allowed := retries.Slack + retries.Ratio*float64(within(w.firsts[service], from, retries.Window))
			worst = max(worst, float64(within(repeats, from, retries.Window))-allowed)
		}
	}
	return worst
}

// within counts the times in the window that begins at from; times are sorted.
func within(times []time.Duration, from, window time.Duration) int {
	first, _ := slices.BinarySearch(times, from)
	last, _ := slices.BinarySearch(times, from+window)
	return last - first
}

func play(spec Spec) (map[string]Result, *world) {
	w := &world{
		spec: spec, random: rand.New(rand.NewPCG(spec.Seed, 3)),
		classes: map[string]*Class{}, byIP: map[string]*node{}, results: map[string]*Result{},
		firsts: map[string][]time.Duration{}, repeats: map[string][]time.Duration{}, arrived: map[string]bool{},
	}
	w.build()
	for _, d := range spec.Demand {
		w.results[d.Class] = &Result{}
		w.nextArrival(d)
	}
	w.beat()
	for len(w.events) > 0 && w.events[0].at < spec.Length {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	out := map[string]Result{}
	for name, r := range w.results {
		out[name] = *r
	}
	return out, w
}

func (w *world) build() {
	table := &route.Table{Version: 1, Services: map[string]route.Service{}}
	for i := range w.spec.Classes {
		c := &w.spec.Classes[i]
		w.classes[c.Name] = c
		table.Routes = append(table.Routes, &route.Route{
			Name: c.Name, Host: "h", Prefix: "/" + c.Name + "/", Idempotent: c.Idempotent, Timeout: c.Timeout,
			Goal: c.Goal, Priority: c.Priority, MaxAttempts: 2, Split: []route.Share{{Service: c.Service, Weight: 1}},
		})
	}
	table.Index()
	var entries []registry.Change
	for _, s := range w.spec.Services {
		for i := range s.Targets {
			ip := fmt.Sprintf("10.0.%d.%d", len(w.nodes)/250, len(w.nodes)%250+1)
			n := &node{w: w, ip: ip, speed: 1, service: &s, waiting: map[uint64]func(guard.Decision){}}
			if len(s.Speeds) > 0 {
				n.speed = s.Speeds[i%len(s.Speeds)]
			}
			if len(s.Sheds) > 0 {
				n.shed = s.Sheds[i%len(s.Sheds)]
			}
			n.mesh = mesh.New(mesh.Config{
				Instance: ip, Incarnation: 1, Service: s.Name, DataCentre: "a", Seed: w.spec.Seed + uint64(len(w.nodes)),
				Retries: retries,
			})
			w.nodes, w.byIP[ip] = append(w.nodes, n), n
			entries = append(entries, registry.Change{ID: ip, Revision: 1, Upstream: &registry.Upstream{
				ID: ip, Service: s.Name, Address: ip + ":80", Instance: ip, DataCentre: "a", Slots: s.Slots, Revision: 1,
			}})
		}
	}
	for _, n := range w.nodes {
		n.mesh.SetTable(0, table)
		n.mesh.Registry().Replace(0, entries, 1)
		n.mesh.Registered()
	}
}

// beat exchanges heartbeats and lets waiting requests expire.
func (w *world) beat() {
	for _, n := range w.nodes {
		if !w.spec.Admit {
			n.mesh.Plan(w.now)
		}
		b := n.mesh.Heartbeat(w.now)
		w.after(hop, func() {
			for _, other := range w.nodes {
				if other != n {
					other.mesh.Hear(w.now, n.ip, b)
				}
			}
		})
		for _, id := range n.mesh.ExpireWork(w.now) {
			n.tell(id, guard.Refuse)
		}
		n.drain()
	}
	w.after(mesh.HeartbeatInterval, w.beat)
}

// nextArrival schedules the next request of a demand.
func (w *world) nextArrival(d Demand) {
	rate := d.PerSecond(w.now)
	if rate <= 0 {
		w.after(10*time.Millisecond, func() { w.nextArrival(d) })
		return
	}
	w.after(time.Duration(w.random.ExpFloat64()/rate*float64(time.Second)), func() {
		w.results[d.Class].Asked++
		w.ask(d.Class, w.nodes[w.random.IntN(len(w.nodes))], w.now, w.id(), w.spec.ReturnOnce)
		w.nextArrival(d)
	})
}

// ask sends a caller's request; first is when the caller first asked.
func (w *world) ask(class string, n *node, first time.Duration, path string, again bool) {
	c, r := w.classes[class], w.results[class]
	n.call(c, w.id(), path, "", 0, func(step mesh.Step, ok bool) {
		switch {
		case ok && w.now-first <= c.Goal:
			r.Served++
		case ok:
			r.Late++
		case step.Kind == mesh.StepRefuse && again:
			w.after(step.RetryAfter, func() { w.ask(class, n, first, path, false) })
		case step.Kind == mesh.StepRefuse:
			r.Refused++
		default:
			r.Failed++
		}
	})
}

func (w *world) id() string {
	w.nextID++
	return fmt.Sprint(w.nextID)
}

func (w *world) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.events, event{w.now + d, w.order, do})
}

// event is something that happens at a time; order breaks ties.
type event struct {
	at    time.Duration
	order uint64
	do    func()
}

type events []event

// Len implements heap.Interface.
func (e events) Len() int { return len(e) }

// Less implements heap.Interface.
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}

// Swap implements heap.Interface.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}
