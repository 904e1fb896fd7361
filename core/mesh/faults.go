package mesh

import (
	"cmp"
	"slices"
	"time"
)

const (
	// faultDecay is the factor applied to the counts of runs after each interval. They
	// halve in about 0.6 s, because faults come and go within seconds. minRuns is the
	// number of runs from which the share is meaningful.
	faultDecay = 0.8
	minRuns    = 3
	// idleFaultDecay is the factor applied to the fault share after an interval with
	// hardly any runs, so that an upstream without traffic is tried again. The share
	// halves in five seconds.
	idleFaultDecay = 0.973
	// maxFaultShare caps the fault share in calculations that divide by the share of
	// successes.
	maxFaultShare = 0.98
	// hungRunFactor is the multiple of the mean run time above which a timed-out run
	// counts as a fault of the upstream.
	hungRunFactor = 3
	// minUsableShare is the part of the expected successful capacity for which
	// requests are admitted in any case, however many of their calls have to be
	// retried.
	minUsableShare = 0.2
	// minSuccessProbability is the probability of success without retries from which
	// idempotent requests may use the capacity of faulty upstreams.
	minSuccessProbability = 0.1
)

// RunResult is the result of a run at the local upstream.
type RunResult uint8

// The results of runs.
const (
	// RunSucceeded means that the upstream gave a complete and successful answer.
	RunSucceeded RunResult = iota + 1
	// RunShed means that the upstream itself refused the request.
	RunShed
	// RunFailed means that the upstream reported a failure or gave no complete answer.
	RunFailed
	// RunTimedOut means that the run timed out.
	RunTimedOut
	// RunUnreachable means that the upstream accepts no connections.
	RunUnreachable
	// RunInconclusive means that the result says nothing about the health of the
	// upstream.
	RunInconclusive
)

// faultTracker estimates the share of runs that fail because of the local upstream
// itself, not because one of its calls failed or was slow.
type faultTracker struct {
	// failed and runs count runs, with exponential decay.
	failed, runs float64
	// share is the estimate, 1 while the upstream is down.
	share float64
	// down is set while the upstream accepts no connections.
	down bool
}

// observe adds one run. ownFault states that a failure or timeout counts as a fault of
// the upstream itself.
func (f *faultTracker) observe(result RunResult, ownFault bool) {
	fault := 0.0
	switch result {
	case RunSucceeded:
	case RunShed:
		fault = 1
	case RunFailed, RunTimedOut:
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
	f.failed += fault
	if f.runs >= minRuns {
		f.share = f.failed / f.runs
	}
}

// endInterval applies the decay of one interval.
func (f *faultTracker) endInterval() {
	if f.runs < minRuns && !f.down {
		f.share *= idleFaultDecay
	}
	f.failed *= faultDecay
	f.runs *= faultDecay
}

// faultShare returns the fault share of an instance's upstream, as last reported.
func (n *Node) faultShare(p *peer) float64 {
	if p.instance == n.cfg.Instance {
		return n.faults.share
	}
	return float64(p.heartbeat.FaultShare)
}

// upstreamCapacity is the capacity of one upstream: its request limit and its fault
// share.
type upstreamCapacity struct{ slots, faultShare float64 }

// usableSlots returns the number of slots that admitted requests can fill. retries is the
// number of retries allowed per call.
//
// reliable is for requests that make many calls and fail if one of them fails. A call
// that fails at a faulty upstream has to be retried at another one, so faulty upstreams
// count only as far as retries allows. bestEffort is for requests that may use faulty
// upstreams; see freeSlots. It is at least the expected successful capacity.
//
// usableSlots sorts upstreams by fault share.
func usableSlots(upstreams []upstreamCapacity, retries float64) (reliable, bestEffort float64) {
	slices.SortFunc(upstreams, func(a, b upstreamCapacity) int { return cmp.Compare(a.faultShare, b.faultShare) })
	usable, retried := 0.0, 0.0
	for _, u := range upstreams {
		faultShare := min(u.faultShare, maxFaultShare)
		bestEffort += u.slots * (1 - faultShare)
		retriesPerSuccess := faultShare / (1 - faultShare)
		granted := u.slots
		if retriesPerSuccess > retries {
			// Granting more would raise retried above retries*usable.
			granted = min(granted, max(retries*usable-retried, 0)/(retriesPerSuccess-retries))
		}
		usable += granted
		retried += granted * retriesPerSuccess
	}
	return max(usable, minUsableShare*bestEffort), max(usable, bestEffort)
}

// meanFaultShare returns the mean fault share, weighted by slots.
func meanFaultShare(upstreams []upstreamCapacity) float64 {
	slots, failed := 0.0, 0.0
	for _, u := range upstreams {
		slots += u.slots
		failed += u.slots * min(u.faultShare, 1)
	}
	if slots == 0 {
		return 0
	}
	return failed / slots
}

// recordRun updates the fault share and the run times of the local upstream after a
// run.
func (n *Node) recordRun(w Work, took time.Duration, result RunResult) {
	request := n.openWork[w.RequestID]
	ownFault := request == nil || request.openCalls == 0 && request.failedCalls == 0
	if result == RunTimedOut {
		// A run that started shortly before its deadline times out however fast the
		// upstream is.
		ownFault = ownFault && took > hungRunFactor*n.runTimes.mean(w.Route)
	}
	n.faults.observe(result, ownFault)
	slow := result != RunShed && result != RunUnreachable && took > n.runTimes.mean(w.Route)
	if result == RunSucceeded || slow {
		// A run that failed or timed out would have taken at least as long.
		n.runTimes.observe(w.Route, w.Started, took, n.runWeight(w))
	}
}

// runWeight returns the weight of the run of w in the mean run time of its route.
func (n *Node) runWeight(w Work) float64 {
	if w.Deadline-w.Started < n.ownMinTimeLeft(w.Route) {
		return trialRunWeight
	}
	return runWeight
}

// UpstreamDown reports whether the local upstream accepts no connections. It then gets
// no work and must be probed until it accepts one.
func (n *Node) UpstreamDown() bool { return n.faults.down }

// UpstreamRecovered resets the fault share of the local upstream, because it accepts
// connections again or was replaced by another one.
func (n *Node) UpstreamRecovered() { n.faults = faultTracker{} }
