package faults

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

// scheduledFault is one fault of a schedule. startAt counts from the start of the
// schedule.
type scheduledFault struct {
	startAt, duration time.Duration
	kind              faultKind
	instance          int
}

// faultKind describes one kind of fault.
type faultKind struct {
	name string
	// global faults concern all instances; at most one is active at a time.
	global bool
	// planned faults are ordinary operations, such as a graceful stop, during which
	// all guarantees hold.
	planned bool
	// outage tells that the store does not answer all nodes as it should, which delays what
	// is in force for longer than faults of nodes and connections do.
	outage bool
	// local faults delay what is in force at their own node alone.
	local bool
	// restarts tells that the node runs as a new process afterwards.
	restarts bool
	// inject starts the fault and returns the function that ends it.
	inject func(r *runner, n *instance) (end func())
}

const (
	// faultPeriod is the time span in which faults start; minFaults and maxFaults
	// bound their number in a run.
	faultPeriod = 12 * time.Second
	minFaults   = 4
	maxFaults   = 12
	// minFaultDuration and maxFaultDuration bound the duration of a random fault.
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 4 * time.Second
	// slowLinkDelay is the delay that a slow link adds to each chunk of data.
	slowLinkDelay = 150 * time.Millisecond
)

var faultKinds = []faultKind{
	{name: "kill", restarts: true, inject: func(r *runner, n *instance) func() {
		return n.terminate(r, syscall.SIGKILL)
	}},
	{name: "stop", planned: true, restarts: true, inject: func(r *runner, n *instance) func() {
		if r.options.Defect == killOnStop {
			return n.terminate(r, syscall.SIGKILL)
		}
		return n.terminate(r, syscall.SIGTERM)
	}},
	{name: "freeze", inject: func(_ *runner, n *instance) func() {
		n.signal(syscall.SIGSTOP)
		return func() { n.signal(syscall.SIGCONT) }
	}},
	{name: "hup", planned: true, inject: func(_ *runner, n *instance) func() {
		n.signal(syscall.SIGHUP)
		return func() {}
	}},
	{name: "peers_silent", inject: func(_ *runner, n *instance) func() { return n.peerProxy.dropTraffic(true, true) }},
	{name: "peers_one_way", inject: func(_ *runner, n *instance) func() { return n.peerProxy.dropTraffic(false, true) }},
	{name: "peers_slow", inject: func(_ *runner, n *instance) func() { return n.peerProxy.delayTraffic(slowLinkDelay) }},
	{name: "peers_reset", inject: func(_ *runner, n *instance) func() {
		n.peerProxy.resetConnections()
		return func() {}
	}},
	{name: "upstream_reset", inject: func(_ *runner, n *instance) func() {
		n.upstreamProxy.resetConnections()
		return func() {}
	}},
	{name: "upstream_silent", inject: func(_ *runner, n *instance) func() { return n.upstreamProxy.dropTraffic(true, true) }},
	{name: "upstream_slow", inject: func(_ *runner, n *instance) func() {
		n.upstream.slow.Store(true)
		return func() { n.upstream.slow.Store(false) }
	}},
	{name: "upstream_sheds", inject: func(_ *runner, n *instance) func() {
		n.upstream.shedding.Store(true)
		return func() { n.upstream.shedding.Store(false) }
	}},
	{name: "upstream_crash", inject: func(r *runner, n *instance) func() {
		n.upstream.crash()
		return func() { r.recordError(n.upstream.start()) }
	}},
	{name: "crasher", global: true, inject: func(r *runner, _ *instance) func() { return r.sendCrasher() }},
	{name: "drain", planned: true, inject: func(r *runner, n *instance) func() {
		r.setDraining(n, true)
		return func() { r.setDraining(n, false) }
	}},
	{name: "store_cut", outage: true, inject: func(_ *runner, n *instance) func() { return n.storeProxy.dropTraffic(true, true) }},
	{name: "store_refuses", global: true, outage: true, inject: func(r *runner, _ *instance) func() {
		r.store.FailWithStatus(503)
		return r.store.ClearFaults
	}},
	{name: "store_silent", global: true, outage: true, inject: func(r *runner, _ *instance) func() {
		r.store.SuspendResponses()
		return r.store.ClearFaults
	}},
	{name: "store_old", global: true, outage: true, inject: func(r *runner, _ *instance) func() {
		r.store.FreezeReads()
		return r.store.ClearFaults
	}},
	{name: "store_forgets", global: true, outage: true, inject: func(r *runner, _ *instance) func() {
		r.store.DropHistory()
		return func() {}
	}},
	{name: "store_restored", global: true, outage: true, inject: func(r *runner, _ *instance) func() {
		r.restoreStore()
		return r.store.ClearFaults
	}},
	{name: "connections_silent", global: true, inject: func(r *runner, _ *instance) func() {
		r.silenceConnections(true, true)
		return func() {}
	}},
	{name: "watches_cut", global: true, planned: true, inject: func(r *runner, _ *instance) func() {
		r.store.CutWatches()
		return func() {}
	}},
	{name: "odd_entry", global: true, planned: true, inject: func(r *runner, _ *instance) func() { return r.writeOddEntry() }},
	{name: "large_entries", global: true, planned: true, inject: func(r *runner, _ *instance) func() { return r.writeLargeEntries() }},
	{name: "upstream_repeats", inject: func(_ *runner, n *instance) func() {
		n.upstream.repeatsRefusals.Store(true)
		return func() { n.upstream.repeatsRefusals.Store(false) }
	}},
	{name: "upstream_malforms_answers", inject: func(_ *runner, n *instance) func() {
		n.upstream.malformsAnswers.Store(true)
		return func() { n.upstream.malformsAnswers.Store(false) }
	}},
	{name: "table", global: true, planned: true, inject: func(r *runner, _ *instance) func() {
		r.publishTable()
		return func() {}
	}},
}

// drawSchedule derives the faults of a run without a defect from its seed.
func drawSchedule(seed uint64, instances int) (out []scheduledFault) {
	random := rand.New(rand.NewPCG(seed, 1))
	for range minFaults + random.IntN(maxFaults-minFaults+1) {
		out = append(out, scheduledFault{
			startAt:  time.Duration(random.Int64N(int64(faultPeriod))),
			duration: minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration))),
			kind:     faultKinds[random.IntN(len(faultKinds))],
			instance: random.IntN(instances),
		})
	}
	return out
}

// dropTraffic discards data to the target, from it or both until end is called. end also
// ends the other disturbances of the proxy.
func (p *proxy) dropTraffic(toTarget, fromTarget bool) (end func()) {
	p.dropToTarget.Store(toTarget)
	p.dropFromTarget.Store(fromTarget)
	return p.restore
}

// delayTraffic delays each chunk of data by d until end is called. end also ends the
// other disturbances of the proxy.
func (p *proxy) delayTraffic(d time.Duration) (end func()) {
	p.delay.Store(int64(d))
	return p.restore
}

// terminate ends the node's process with a signal, also if it is frozen; restart starts a
// new process. Until restart has returned, further calls for this node wait.
func (n *instance) terminate(r *runner, s syscall.Signal) (restart func()) {
	n.restartMutex.Lock()
	n.recordPeakMemory()
	n.signal(s)
	n.signal(syscall.SIGCONT)
	if !n.waitExited(stopTimeout) {
		r.recordViolation("stop", fmt.Sprintf("node %d did not exit within %v after signal %q", n.index, stopTimeout, s))
		n.signal(syscall.SIGKILL)
		n.waitExited(killTimeout)
	}
	return func() {
		defer n.restartMutex.Unlock()
		r.recordError(n.start())
	}
}

// stopTimeout is the grace period in the nodes' settings (grace_seconds) plus 1 s.
const stopTimeout = 7 * time.Second
