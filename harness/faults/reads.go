package faults

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	// slowStoreDelay is the delay that a slow link to the store adds to each chunk of data.
	slowStoreDelay = 400 * time.Millisecond
	// minCutInterval and maxCutInterval bound the time between two cuts of reads in series.
	minCutInterval = 100 * time.Millisecond
	maxCutInterval = time.Second
)

// cutSteps are the steps between nodes whose reads are cut in a round, 0 for none.
var cutSteps = []int{0, 1, 3}

// readFaults are the faults of one node or its reads of the store. A change is due at all other
// nodes as if there were none.
var readFaults = []faultKind{
	{name: "kill", restarts: true, inject: kill},
	{name: "stop", restarts: true, inject: func(r *runner, n *instance) func() { return n.terminate(r, syscall.SIGTERM) }},
	{name: "freeze", inject: func(_ *runner, n *instance) func() {
		n.signal(syscall.SIGSTOP)
		return func() { n.signal(syscall.SIGCONT) }
	}},
	{name: "store_cut", inject: func(_ *runner, n *instance) func() { return n.storeProxy.dropTraffic(true, true) }},
	{name: "store_answers_lost", inject: func(_ *runner, n *instance) func() { return n.storeProxy.dropTraffic(false, true) }},
	{name: "store_slow", inject: func(_ *runner, n *instance) func() { return n.storeProxy.delayTraffic(slowStoreDelay) }},
	{name: "store_resets", inject: func(r *runner, n *instance) func() {
		n.storeProxy.refuse()
		n.storeProxy.resetConnections()
		return func() { r.recordError(n.storeProxy.listen()) }
	}},
}

// planReads returns the faults of ReadScenario: in each round one of readFaults at one node of each
// data centre or at two of one, or a slow store, in some rounds beside reads that are cut in series at
// all nodes or a third of them, and then changes.
func planReads(random *rand.Rand, nodes int) (out []scheduledFault) {
	for round := range changeRounds {
		at := time.Duration(round) * changePeriod
		duration := minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration)))
		if drawn := random.IntN(len(readFaults) + 1); drawn < len(readFaults) {
			kind := readFaults[drawn]
			kind.local = true
			for _, n := range drawInstances(random, nodes) {
				out = append(out, scheduledFault{startAt: at, duration: duration, kind: kind, instance: n})
			}
		} else {
			out = append(out, scheduledFault{startAt: at, duration: duration, kind: slowStore})
		}
		interval := minCutInterval + time.Duration(random.Int64N(int64(maxCutInterval-minCutInterval)))
		if step := cutSteps[random.IntN(len(cutSteps))]; step > 0 {
			out = append(out, scheduledFault{startAt: at, duration: changePeriod - leaveTime, kind: cutReads(interval, step)})
		}
		out = append(out, planChanges(random, at, nodes)...)
	}
	return out
}

// drawInstances returns one instance of each data centre, or two of one.
func drawInstances(random *rand.Rand, nodes int) []int {
	shuffled := random.Perm(nodes)
	sameDataCentre := random.IntN(2) == 0
	for _, other := range shuffled[1:] {
		if (other%len(dataCentres) == shuffled[0]%len(dataCentres)) == sameDataCentre {
			return []int{shuffled[0], other}
		}
	}
	return shuffled[:1]
}

// slowStore delays what the store and all nodes send each other.
var slowStore = faultKind{name: "all_reads_slow", outage: true, inject: func(r *runner, _ *instance) func() {
	for _, n := range r.instances {
		n.storeProxy.delayTraffic(slowStoreDelay)
	}
	return func() {
		for _, n := range r.instances {
			n.storeProxy.restore()
		}
	}
}}

// cutReads resets the connections of every step-th node to the store in series.
func cutReads(interval time.Duration, step int) faultKind {
	return faultKind{name: "reads_cut", planned: true, inject: func(r *runner, _ *instance) func() {
		ctx, cancel := context.WithCancel(context.Background())
		var cuts conc.WaitGroup
		cuts.Go(func() {
			for ; ctx.Err() == nil; time.Sleep(interval) {
				for i := 0; i < len(r.instances); i += step {
					r.instances[i].storeProxy.resetConnections()
				}
			}
		})
		return func() {
			cancel()
			cuts.Wait()
		}
	}}
}
