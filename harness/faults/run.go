// Package faults runs nodes as separate processes on loopback addresses, with
// stand-ins for everything else, harms them from outside, and checks what callers
// and upstreams see. A seed replays its schedule of faults; what the processes make
// of it depends on the machine.
package faults

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/shallotspool/shallotspool/platform"
	"github.com/shallotspool/shallotspool/platform/standin"
)

// Options say what to run.
type Options struct {
	Seed uint64
	// Nodes is the number of processes, Callers that of callers.
	Nodes, Callers int
	// Binary is the program, and Dir where its settings and logs go.
	Binary, Dir string
	// Broken is a part built wrongly, empty for none.
	Broken Broken
}

// Report is what came of a run.
type Report struct {
	Requests, Served int
	// Faults counts the faults by kind.
	Faults map[string]int
	// Violations are the promises that were broken, each with its check's name.
	Violations []string
}

const (
	// startLimit is how long a fleet may take to be ready.
	startLimit = 60 * time.Second
	// measured is the time after recovery in which requests are counted.
	measured = 3 * time.Second
	// maxTold bounds the violations of one check that are reported.
	maxTold = 5
)

type run struct {
	opts      Options
	ledger    *ledger
	store     *standin.Store
	instances []*instance
	newest    atomic.Int64
	isReady   []atomic.Bool

	mu         sync.Mutex
	violations []string
}

// Run plays one seed. An error is a run that could not be played.
func Run(o Options) (Report, error) {
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return Report{}, err
	}
	r := &run{opts: o, ledger: newLedger(), isReady: make([]atomic.Bool, o.Nodes)}
	defer r.end()
	if err := r.start(); err != nil {
		return Report{}, err
	}
	events := showing(o)
	ctx, cancel := context.WithCancel(context.Background())
	var callers, faults conc.WaitGroup
	callers.Go(func() { r.watchReady(ctx) })
	for i := range o.Callers {
		callers.Go(func() { newCaller(r, i, o.Seed).loop(ctx) })
	}
	r.play(events, &faults)
	faults.Wait()
	r.breakNodes()
	time.Sleep(recoverTime + measured)
	cancel()
	callers.Wait()
	time.Sleep(leaveTime)
	return r.report(events), nil
}

// breakNodes does what broken parts do to whole nodes.
func (r *run) breakNodes() {
	switch r.opts.Broken {
	case neverHeals:
		for _, n := range r.instances {
			n.signal(syscall.SIGSTOP)
		}
	case nodeEnds:
		r.instances[0].signal(syscall.SIGKILL)
	}
}

// start brings up store, instances and processes.
func (r *run) start() (err error) {
	if r.store, err = standin.New(); err != nil {
		return err
	}
	p, err := freePorts()
	if err != nil {
		return err
	}
	for i := range r.opts.Nodes {
		service := frontService
		if i%2 == 1 {
			service = leafService
		}
		n, err := newInstance(i, service, p, r.opts, r.store.Address(), r.ledger)
		if err != nil {
			return err
		}
		r.instances = append(r.instances, n)
		r.register(n)
	}
	r.publish()
	for _, n := range r.instances {
		if err := n.start(); err != nil {
			return err
		}
	}
	return r.untilReady()
}

func (r *run) untilReady() error {
	for end := time.Now().Add(startLimit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for i, n := range r.instances {
			r.isReady[i].Store(n.ready())
			if r.isReady[i].Load() {
				ready++
			}
		}
		if ready == len(r.instances) {
			return nil
		}
	}
	return fmt.Errorf("seed %d: the fleet was not ready within %v", r.opts.Seed, startLimit)
}

// freePorts finds ports that are free on all addresses.
func freePorts() (p ports, err error) {
	for _, into := range []*int{&p.callers, &p.peers, &p.ready, &p.heartbeats, &p.metrics, &p.upstream, &p.store} {
		ln, err := net.Listen("tcp", "0.0.0.0:0")
		if err != nil {
			return p, err
		}
		defer ln.Close()
		*into = ln.Addr().(*net.TCPAddr).Port
	}
	return p, nil
}

// play runs the schedule; faults that concern no instance wait for each other.
func (r *run) play(events []event, faults *conc.WaitGroup) {
	began := time.Now()
	var store sync.Mutex
	for _, e := range events {
		faults.Go(func() {
			time.Sleep(time.Until(began.Add(e.at)))
			f := fault{kind: e.kind.name, instance: e.instance, planned: e.kind.planned, restarts: e.kind.restarts}
			if e.kind.anywhere {
				store.Lock()
				defer store.Unlock()
				f.instance = -1
			}
			i := r.ledger.opened(f)
			end := e.kind.begin(r, r.instances[e.instance])
			time.Sleep(e.length)
			end()
			r.ledger.healed(i)
		})
	}
}

// readyInterval is how often nodes are asked whether they take callers.
const readyInterval = 500 * time.Millisecond

func (r *run) watchReady(ctx context.Context) {
	for ctx.Err() == nil {
		var asks conc.WaitGroup
		for i, n := range r.instances {
			asks.Go(func() { r.isReady[i].Store(n.ready()) })
		}
		asks.Wait()
		time.Sleep(readyInterval)
	}
}

// readyNode returns a random node that said it takes callers, nil if there is none.
func (r *run) readyNode(random *rand.Rand) *instance {
	start := random.IntN(len(r.instances))
	for i := range r.instances {
		at := (start + i) % len(r.instances)
		if r.isReady[at].Load() {
			return r.instances[at]
		}
	}
	return nil
}

// publish puts the next version of the table into the store.
func (r *run) publish() {
	version := int(r.newest.Load()) + 1
	r.ledger.update(func() { r.ledger.versions[version] = r.ledger.now() })
	if r.opts.Broken != tableUntold || version == 1 {
		key, value, err := platform.EncodeConfig(tableOf(version, r.opts.Broken))
		r.fail(err)
		r.store.Put(key, value)
	}
	r.newest.Store(int64(version))
}

// register writes the entry of an upstream into the store.
func (r *run) register(n *instance) {
	key, value, err := platform.EncodeEntry(n.entry())
	r.fail(err)
	r.store.Put(key, value)
}

func (r *run) version() int { return int(r.newest.Load()) }

func (r *run) setDraining(n *instance, draining bool) {
	n.draining = draining
	if r.opts.Broken != drainUntold {
		r.register(n)
	}
	r.ledger.update(func() {
		now := r.ledger.now()
		if draining {
			r.ledger.drains = append(r.ledger.drains, drain{upstream: n.upstream.id, from: now})
			return
		}
		for i := range r.ledger.drains {
			if d := &r.ledger.drains[i]; d.upstream == n.upstream.id && d.to == 0 {
				d.to = now
			}
		}
	})
}

// fail takes in that the run itself could not go on as planned.
func (r *run) fail(err error) {
	if err != nil {
		r.violate("run", err.Error())
	}
}

func (r *run) violate(check, what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, check+": "+what)
}

// report checks what was seen.
func (r *run) report(events []event) Report {
	out := Report{Faults: map[string]int{}}
	for _, e := range events {
		out.Faults[e.kind.name]++
	}
	r.ledger.mu.Lock()
	defer r.ledger.mu.Unlock()
	for _, q := range r.ledger.requests {
		if !q.inner {
			out.Requests++
		}
		if !q.inner && q.status == 200 {
			out.Served++
		}
	}
	for _, c := range checks {
		bad := c.find(r.ledger)
		for _, what := range bad[:min(len(bad), maxTold)] {
			r.violate(c.name, what)
		}
	}
	for _, n := range r.instances {
		if n.gone(0) {
			r.violate("exit", fmt.Sprintf("node %d ended by itself", n.index))
		}
	}
	out.Violations = r.violations
	if len(out.Violations) > 0 {
		r.write(events, out)
	}
	return out
}

// write keeps what explains a failure beside the nodes' logs.
func (r *run) write(events []event, report Report) {
	f, err := os.Create(filepath.Join(r.opts.Dir, "report.txt"))
	if err != nil {
		r.violations = append(r.violations, "run: "+err.Error())
		return
	}
	defer f.Close()
	fmt.Fprintf(f, "seed %d, %d nodes, began %v\n", r.opts.Seed, r.opts.Nodes, r.ledger.began.UTC())
	for _, v := range report.Violations {
		fmt.Fprintln(f, v)
	}
	for i := range events {
		fmt.Fprintf(f, "%+v\n", r.ledger.faults[min(i, len(r.ledger.faults)-1)])
	}
}

// end stops everything that the run started.
func (r *run) end() {
	for _, n := range r.instances {
		n.end()
	}
	if r.store != nil {
		r.store.Close()
	}
}
