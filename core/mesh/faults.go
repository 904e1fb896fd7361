package mesh

import (
	"cmp"
	"slices"
	"time"
)

const (
	// faultMemory is what remains of the counts of runs after an interval: half
	// after 0.6 s, as faults come and go within seconds. leastRuns is the number
	// of them that says something.
	faultMemory = 0.8
	leastRuns   = 3
	// idleDecay is what remains of the share after an interval with hardly a run, so
	// that an upstream that nobody sends to any more is tried again: half after
	// five seconds.
	idleDecay = 0.973
	// mostFaults is the share of faults up to which an upstream counts as any use.
	mostFaults = 0.98
	// hungFactor is how many times the mean run time a run takes that is given up
	// for the upstream's fault.
	hungFactor = 3
	// leastUse is the part of what faulty upstreams can do that requests are let
	// in for, however many of their calls have to be repeated.
	leastUse = 0.2
	// leastChance is the chance to end well without repeats from which requests
	// that may be tried again are let in for faulty upstreams.
	leastChance = 0.1
)

// RunEnd is how a request ended at the own upstream.
type RunEnd uint8

// The ends of runs.
const (
	// RunSucceeded is a whole answer of success.
	RunSucceeded RunEnd = iota + 1
	// RunTurnedAway is a refusal by the upstream itself.
	RunTurnedAway
	// RunFailed is a failure, or no answer.
	RunFailed
	// RunExpired is a run without an answer when its time was over.
	RunExpired
	// RunUnreachable is an upstream that takes no connections.
	RunUnreachable
	// RunCutShort is an end that says nothing of the upstream.
	RunCutShort
)

// faults is the share of runs that the own upstream failed by itself, not
// because one of its calls failed or took long.
type faults struct {
	// bad and runs count runs, older ones less.
	bad, runs float64
	share     float64
	// down is set while the upstream takes no connections.
	down bool
}

func (f *faults) learn(end RunEnd, ownFault bool) {
	fault := 0.0
	switch end {
	case RunSucceeded:
	case RunTurnedAway:
		fault = 1
	case RunFailed, RunExpired:
		if !ownFault {
			return
		}
		fault = 1
	case RunUnreachable:
		f.down, f.share = true, 1
		return
	default:
		return
	}
	f.runs++
	f.down = false
	f.bad += fault
	if f.runs >= leastRuns {
		f.share = f.bad / f.runs
	}
}

// close ends an interval.
func (f *faults) close() {
	if f.runs < leastRuns && !f.down {
		f.share *= idleDecay
	}
	f.bad *= faultMemory
	f.runs *= faultMemory
}

// faultShare is the share of faults of an instance's upstream, as it told.
func (n *Node) faultShare(p *peer) float64 {
	if p.instance == n.cfg.Instance {
		return n.faults.share
	}
	return float64(p.beat.Faults)
}

// offer is what one upstream has to give.
type offer struct{ slots, faults float64 }

// usableSlots returns how many slots admitted requests can fill. usable is for
// requests that make many calls, one of which fails the whole: what an upstream
// fails has to be repeated elsewhere, and repeats are bounded to a share of all, so
// that faulty upstreams count as far as that allows. most is for requests that can
// fail one by one. The offers are put in the order of their faults.
func usableSlots(offers []offer, repeats float64) (usable, most float64) {
	slices.SortFunc(offers, func(a, b offer) int { return cmp.Compare(a.faults, b.faults) })
	sum, again := 0.0, 0.0
	for _, o := range offers {
		f := min(o.faults, mostFaults)
		most += o.slots * (1 - f)
		perServed := f / (1 - f)
		fits := o.slots
		if perServed > repeats {
			fits = min(fits, max(repeats*sum-again, 0)/(perServed-repeats))
		}
		sum += fits
		again += fits * perServed
	}
	return max(sum, leastUse*most), max(sum, most)
}

// meanFaults is the share of faults over all slots.
func meanFaults(offers []offer) float64 {
	slots, bad := 0.0, 0.0
	for _, o := range offers {
		slots += o.slots
		bad += o.slots * min(o.faults, 1)
	}
	if slots == 0 {
		return 0
	}
	return bad / slots
}

// endRun takes in what the end of a run says of the own upstream.
func (n *Node) endRun(w Work, took time.Duration, end RunEnd) {
	l := n.working[w.Name]
	ownFault := l == nil || l.open == 0 && l.failed == 0
	if end == RunExpired {
		// One that began late has little time, whatever the upstream does.
		ownFault = ownFault && took > hungFactor*n.runs.of(w.Route)
	}
	n.faults.learn(end, ownFault)
	slow := end != RunTurnedAway && end != RunUnreachable && took > n.runs.of(w.Route)
	if end == RunSucceeded || slow {
		// A run that failed or was given up would have taken at least as long.
		n.runs.learn(w.Route, took)
	}
}

// UpstreamDown tells whether the own upstream takes no connections; then it gets
// no work, and is to be tried until it does.
func (n *Node) UpstreamDown() bool { return n.faults.down }

// UpstreamBack takes in that the own upstream takes connections again, or is
// another one.
func (n *Node) UpstreamBack() { n.faults = faults{} }
