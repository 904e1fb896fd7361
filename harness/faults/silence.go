package faults

import (
	"math/rand/v2"
	"time"
)

const (
	// silenceRounds is the number of rounds of SilenceScenario, and silencePeriod their length.
	silenceRounds = 7
	silencePeriod = 7 * time.Second
	// maxChangeDelay bounds the time from the silence of a round to its changes.
	maxChangeDelay = 3 * time.Second
	// leaveTime is how long an upstream leaves in a round.
	leaveTime = 3500 * time.Millisecond
)

// planSilence returns the faults of SilenceScenario.
func planSilence(random *rand.Rand, nodes int) (out []scheduledFault) {
	for round := range silenceRounds {
		at := time.Duration(round) * silencePeriod
		peers, upstreams, removes := random.IntN(2) == 0, random.IntN(2) == 0, random.IntN(2) == 0
		changesAt := at + time.Duration(random.Int64N(int64(maxChangeDelay)))
		out = append(out,
			scheduledFault{startAt: at, kind: faultKind{name: "connections_silent", inject: func(r *runner, _ *instance) func() {
				r.silenceConnections(peers, upstreams)
				return func() {}
			}}},
			scheduledFault{startAt: changesAt, kind: faultKind{name: "table", planned: true, inject: func(r *runner, _ *instance) func() {
				r.publishTable()
				return func() {}
			}}},
			scheduledFault{
				startAt: changesAt, duration: leaveTime, instance: random.IntN(nodes),
				kind: faultKind{name: "leave", planned: true, inject: func(r *runner, n *instance) func() {
					if removes {
						return r.removeUpstream(n)
					}
					r.setDraining(n, true)
					return func() { r.setDraining(n, false) }
				}},
			})
	}
	return out
}
