package faults

import (
	"math/rand/v2"
	"time"
)

const (
	// changeRounds is the number of rounds of the scenarios in which changes follow a fault, and
	// changePeriod their length.
	changeRounds = 7
	changePeriod = 7 * time.Second
	// maxChangeDelay bounds the time from the fault of a round to its changes.
	maxChangeDelay = 3 * time.Second
	// leaveTime is how long an upstream leaves in a round.
	leaveTime = 3500 * time.Millisecond
)

// planSilence returns the faults of SilenceScenario.
func planSilence(random *rand.Rand, nodes int) (out []scheduledFault) {
	for round := range changeRounds {
		at := time.Duration(round) * changePeriod
		peers, upstreams := random.IntN(2) == 0, random.IntN(2) == 0
		out = append(out,
			scheduledFault{startAt: at, kind: faultKind{name: "connections_silent", inject: func(r *runner, _ *instance) func() {
				r.silenceConnections(peers, upstreams)
				return func() {}
			}}})
		out = append(out, planChanges(random, at, nodes)...)
	}
	return out
}

// planChanges returns the changes that follow a fault: a table and an upstream that leaves, marked
// or removed, at the same time.
func planChanges(random *rand.Rand, faultAt time.Duration, nodes int) []scheduledFault {
	removes := random.IntN(2) == 0
	at := faultAt + time.Duration(random.Int64N(int64(maxChangeDelay)))
	return []scheduledFault{
		{startAt: at, kind: faultKind{name: "table", planned: true, inject: func(r *runner, _ *instance) func() {
			r.publishTable()
			return func() {}
		}}},
		{
			startAt: at, duration: leaveTime, instance: random.IntN(nodes),
			kind: faultKind{name: "leave", planned: true, inject: func(r *runner, n *instance) func() {
				if removes {
					return r.removeUpstream(n)
				}
				r.setDraining(n, true)
				return func() { r.setDraining(n, false) }
			}},
		},
	}
}
