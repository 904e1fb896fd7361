// Package faults runs nodes as separate processes on loopback addresses, with
// stand-ins for the store and the upstreams. It injects faults from outside the
// processes and checks what callers and upstreams observe. A seed always gives the
// same schedule of faults; how the processes react to it also depends on the
// machine.
package faults

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/shallotspool/shallotspool/harness/freeport"
	"github.com/shallotspool/shallotspool/platform"
	"github.com/shallotspool/shallotspool/platform/standin"
)

// Options configure a run.
type Options struct {
	Seed uint64
	// Nodes is the number of node processes, Callers the number of concurrent callers.
	Nodes, Callers int
	// Binary is the path of the node's program, Dir the directory for settings files,
	// logs and the report.
	Binary, Dir string
	// Defect is the defect that is built into the run, empty for none.
	Defect Defect
	// Scenario selects a fixed combination of faults instead of the schedule of the seed.
	Scenario Scenario
	// MemoryMB is the memory of each node, in units of 2^20 bytes, 0 for the default.
	MemoryMB int
	// Uploads is the number of senders of large bodies in UploadScenario, and UploadMB the size
	// of these bodies in units of 2^20 bytes; 0 for the default.
	Uploads, UploadMB int
}

// defaultMemoryMB is the memory of a node that Options do not state: the default of the settings.
const defaultMemoryMB = 256

// withDefaults returns the options with the defaults filled in.
func (o Options) withDefaults() Options {
	o.MemoryMB = cmp.Or(o.MemoryMB, defaultMemoryMB)
	o.Uploads = cmp.Or(o.Uploads, defaultUploads)
	o.UploadMB = cmp.Or(o.UploadMB, defaultUploadMB)
	return o
}

// Report is the result of a run.
type Report struct {
	// Requests counts the callers' requests, Served those answered with status 200.
	Requests, Served int
	// Faults counts the injected faults by kind.
	Faults map[string]int
	// RetryShare is the largest share of the allowed retries that a service received in a
	// window.
	RetryShare float64
	// PeakMemory is the most memory that a node's process took, in bytes.
	PeakMemory int64
	// Uploads counts the requests with large bodies by the status of their answers.
	Uploads map[int]int
	// Violations lists the violated guarantees as "check: description".
	Violations []string
}

const (
	// startTimeout bounds the time until all nodes are ready.
	startTimeout = 60 * time.Second
	// measureTime is how long requests are sent after the recovery time, to check that
	// they are served again.
	measureTime = 3 * time.Second
	// maxReportedPerCheck is the largest number of violations reported for one check.
	maxReportedPerCheck = 5
)

// runner holds the state of one run.
type runner struct {
	options       Options
	history       *history
	store         *standin.Store
	instances     []*instance
	latestVersion atomic.Int64  // of the routing table
	oddEntries    atomic.Int64  // counts the odd entries written
	ready         []atomic.Bool // by instance: whether its node accepts callers

	registryMu sync.Mutex // serialises the writes of registry entries

	mu         sync.Mutex
	violations []string
}

// Run executes the schedule of one seed or, with a defect, the faults that expose it. It
// returns an error if the run could not be set up; violations are in the report.
func Run(o Options) (Report, error) {
	if err := validateScenario(o.Scenario); err != nil {
		return Report{}, err
	}
	o = o.withDefaults()
	if o.Scenario == RetryScenario {
		o.Callers = scenarioCallers
	}
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return Report{}, err
	}
	r := &runner{options: o, history: newHistory(), ready: make([]atomic.Bool, o.Nodes)}
	defer r.close()
	if err := r.start(); err != nil {
		return Report{}, err
	}
	schedule := planFaults(o)
	ctx, cancel := context.WithCancel(context.Background())
	var loops, faults conc.WaitGroup
	loops.Go(func() { r.pollReadiness(ctx) })
	for i := range o.Callers {
		loops.Go(func() { newCaller(r, i, o.Seed).run(ctx) })
	}
	r.injectFaults(schedule, &faults)
	faults.Wait()
	r.applyNodeDefects()
	time.Sleep(maxRecoveryTime + measureTime)
	cancel()
	loops.Wait()
	time.Sleep(maxCancelDelay) // lets late arrivals of abandoned requests be recorded
	return r.buildReport(schedule), nil
}

// applyNodeDefects applies the defects that freeze or kill nodes after the last fault.
func (r *runner) applyNodeDefects() {
	switch r.options.Defect {
	case permanentFreeze:
		for _, n := range r.instances {
			n.signal(syscall.SIGSTOP)
		}
	case unexpectedExit:
		r.instances[0].signal(syscall.SIGKILL)
	}
}

// start starts the store, the upstreams with their proxies and the node processes,
// and waits until all nodes are ready.
func (r *runner) start() (err error) {
	if r.store, err = standin.New(); err != nil {
		return err
	}
	p, err := findFreePorts()
	if err != nil {
		return err
	}
	for i := range r.options.Nodes {
		service := frontService
		if i%2 == 1 {
			service = leafService
		}
		n, err := newInstance(i, service, p, r.options, r.store.Address(), r.history)
		if err != nil {
			return err
		}
		r.instances = append(r.instances, n)
		r.registerUpstream(n)
	}
	r.publishTable()
	for _, n := range r.instances {
		if err := n.start(); err != nil {
			return err
		}
	}
	return r.waitUntilReady()
}

// waitUntilReady returns when all nodes accept callers, or fails after startTimeout.
func (r *runner) waitUntilReady() error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for i, n := range r.instances {
			r.ready[i].Store(n.isReady())
			if r.ready[i].Load() {
				ready++
			}
		}
		if ready == len(r.instances) {
			return nil
		}
	}
	return fmt.Errorf("seed %d: nodes not ready within %v", r.options.Seed, startTimeout)
}

// findFreePorts finds ports that are free on all local addresses.
func findFreePorts() (p ports, err error) {
	for _, port := range []*int{&p.callers, &p.peers, &p.ready, &p.heartbeats, &p.metrics, &p.upstream, &p.store} {
		if *port, err = freeport.Choose(); err != nil {
			return p, err
		}
	}
	return p, nil
}

// injectFaults starts and ends the scheduled faults in the background. A global fault
// waits until no other one is active.
func (r *runner) injectFaults(schedule []scheduledFault, faults *conc.WaitGroup) {
	start := time.Now()
	var globalFault sync.Mutex
	for _, s := range schedule {
		faults.Go(func() {
			time.Sleep(time.Until(start.Add(s.startAt)))
			f := fault{kind: s.kind.name, instance: s.instance, planned: s.kind.planned, outage: s.kind.outage, local: s.kind.local, restarts: s.kind.restarts}
			if s.kind.global {
				globalFault.Lock()
				defer globalFault.Unlock()
				f.instance = anyInstance
			}
			i := r.history.recordFaultStart(f)
			end := s.kind.inject(r, r.instances[s.instance])
			time.Sleep(s.duration)
			end()
			r.history.recordFaultEnd(i)
		})
	}
}

// readyPollInterval is how often the readiness of the nodes is polled.
const readyPollInterval = 500 * time.Millisecond

// pollReadiness updates the readiness of all nodes until ctx ends.
func (r *runner) pollReadiness(ctx context.Context) {
	for ctx.Err() == nil {
		var polls conc.WaitGroup
		for i, n := range r.instances {
			polls.Go(func() { r.ready[i].Store(n.isReady()) })
		}
		polls.Wait()
		time.Sleep(readyPollInterval)
	}
}

// randomReadyInstance returns a random instance whose node accepts callers, or nil if
// there is none.
func (r *runner) randomReadyInstance(random *rand.Rand) *instance {
	start := random.IntN(len(r.instances))
	for i := range r.instances {
		index := (start + i) % len(r.instances)
		if r.ready[index].Load() {
			return r.instances[index]
		}
	}
	return nil
}

// publishTable writes the next version of the routing table to the store and records the
// time.
func (r *runner) publishTable() {
	version := int(r.latestVersion.Load()) + 1
	r.history.update(func() { r.history.publishedAt[version] = r.history.now() })
	if r.options.Defect != unpublishedTables || version == 1 {
		key, value, err := platform.EncodeConfig(routingTable(version, r.options.Defect))
		r.recordError(err)
		r.store.Put(key, value)
	}
	r.latestVersion.Store(int64(version))
}

// registerUpstream writes the registry entry of an upstream to the store.
func (r *runner) registerUpstream(n *instance) {
	r.registryMu.Lock()
	defer r.registryMu.Unlock()
	key, value, err := platform.EncodeRegistration(n.registryEntry())
	r.recordError(err)
	r.store.Put(key, value)
}

// maxLostRevisions bounds the changes that a restore of the store takes back.
const maxLostRevisions = 6

// restoreStore takes the store away and restores it from an older copy. The operator and
// the upstreams write again what it lost before the nodes can read it.
func (r *runner) restoreStore() {
	r.store.FailWithStatus(http.StatusServiceUnavailable)
	revision := r.store.Revision()
	r.store.Restore(revision - min(revision/2, maxLostRevisions))
	if version := r.currentVersion(); r.options.Defect != unpublishedTables {
		key, value, err := platform.EncodeConfig(routingTable(version, r.options.Defect))
		r.recordError(err)
		r.store.Put(key, value)
	}
	for _, n := range r.instances {
		r.registerUpstream(n)
	}
}

// currentVersion returns the version of the routing table that was published last.
func (r *runner) currentVersion() int { return int(r.latestVersion.Load()) }

// setDraining publishes that an upstream starts or stops draining and records the drain
// in the history.
func (r *runner) setDraining(n *instance, draining bool) {
	if !draining {
		r.history.recordDrainEnd(n.upstream.id)
	}
	if r.options.Defect != unpublishedDrain {
		r.registryMu.Lock()
		n.draining = draining
		r.registryMu.Unlock()
		r.registerUpstream(n)
	}
	if draining {
		r.history.recordDrainStart(n.upstream.id)
	}
}

// removeUpstream removes the registry entry of an upstream, which goes on serving. register
// writes it again.
func (r *runner) removeUpstream(n *instance) (register func()) {
	r.registryMu.Lock()
	r.store.Remove(platform.RegistrationPrefix + n.upstream.id)
	r.registryMu.Unlock()
	r.history.recordDrainStart(n.upstream.id)
	return func() {
		r.history.recordDrainEnd(n.upstream.id)
		r.registerUpstream(n)
	}
}

// silenceConnections makes all open connections to the store carry no more data and, if peers
// or upstreams is set, also those between nodes or to upstreams.
func (r *runner) silenceConnections(peers, upstreams bool) {
	for _, n := range r.instances {
		n.storeProxy.silenceConnections()
		if peers {
			n.peerProxy.silenceConnections()
		}
		if upstreams {
			n.upstreamProxy.silenceConnections()
		}
	}
}

// recordError records an error of the run itself as a violation.
func (r *runner) recordError(err error) {
	if err != nil {
		r.recordViolation("run", err.Error())
	}
}

// recordViolation adds a violation found by the named check.
func (r *runner) recordViolation(check, description string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, check+": "+description)
}

// buildReport runs all checks on the history and returns the report. It writes the report
// file if there is a violation.
func (r *runner) buildReport(schedule []scheduledFault) Report {
	report := Report{Faults: map[string]int{}}
	for _, s := range schedule {
		report.Faults[s.kind.name]++
	}
	r.history.mu.Lock()
	defer r.history.mu.Unlock()
	for _, request := range r.history.requests {
		if !request.fromUpstream {
			report.Requests++
		}
		if !request.fromUpstream && request.status == 200 {
			report.Served++
		}
	}
	for _, service := range []string{frontService, leafService} {
		for _, w := range r.history.retryWindows(service) {
			report.RetryShare = max(report.RetryShare, float64(w.retries)/w.allowed)
		}
	}
	for _, c := range checks {
		found := c.findViolations(r.history)
		for _, description := range found[:min(len(found), maxReportedPerCheck)] {
			r.recordViolation(c.name, description)
		}
	}
	report.PeakMemory = r.reportMemory()
	report.Uploads = r.history.countUploads()
	for _, n := range r.instances {
		if n.waitExited(0) {
			r.recordViolation("exit", fmt.Sprintf("node %d exited unexpectedly", n.index))
		}
	}
	report.Violations = r.violations
	if len(report.Violations) > 0 {
		r.writeReport(schedule, report)
	}
	return report
}

// writeReport writes the violations and the faults to report.txt, beside the nodes'
// logs.
func (r *runner) writeReport(schedule []scheduledFault, report Report) {
	f, err := os.Create(filepath.Join(r.options.Dir, "report.txt"))
	if err != nil {
		r.violations = append(r.violations, "run: "+err.Error())
		return
	}
	defer f.Close()
	fmt.Fprintf(f, "seed %d, %d nodes, started at %v\n", r.options.Seed, r.options.Nodes, r.history.startedAt.UTC())
	for _, v := range report.Violations {
		fmt.Fprintln(f, v)
	}
	for i := range schedule {
		fmt.Fprintf(f, "%+v\n", r.history.faults[min(i, len(r.history.faults)-1)])
	}
}

// close stops everything that the run started.
func (r *runner) close() {
	for _, n := range r.instances {
		n.close()
	}
	if r.store != nil {
		r.store.Close()
	}
}
