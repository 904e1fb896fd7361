package faults

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"
)

// Scenario is a fixed combination of faults in series. The seed varies their times.
type Scenario string

// The scenarios.
const (
	// RetryScenario kills and starts all nodes in series, while most runs of all upstreams
	// end without an answer.
	RetryScenario Scenario = "retries"
	// CrasherScenario sends a request that crashes upstreams, and one that is harmless and
	// popular, while nodes are killed in series.
	CrasherScenario Scenario = "crasher"
	// ListenerScenario is CrasherScenario with listeners that outlive the upstreams.
	ListenerScenario Scenario = "listener"
	// EndlessScenario sends requests whose answers have no end, while nodes are killed in
	// series.
	EndlessScenario Scenario = "endless"
	// UploadScenario sends large bodies that upstreams read slowly, beside other requests.
	UploadScenario Scenario = "uploads"
	// SilenceScenario makes all open connections to the store silent, and in some rounds others
	// too. A table and an upstream that leaves follow at another time in each round.
	SilenceScenario Scenario = "silence"
	// StopScenario stops nodes in series, as planned work, beside callers that send requests
	// without waiting for the answers before, and some whose bodies end late.
	StopScenario Scenario = "stops"
	// ReadScenario disturbs two nodes or their reads of the store, or slows all reads, and in some
	// rounds cuts reads in series. A table and an upstream that leaves follow.
	ReadScenario Scenario = "reads"
	// FramingScenario sends requests with others in place of their bodies, some of them malformed.
	FramingScenario Scenario = "framing"
)

// Scenarios returns all scenarios.
func Scenarios() []Scenario {
	return []Scenario{RetryScenario, CrasherScenario, ListenerScenario, EndlessScenario, UploadScenario, SilenceScenario, StopScenario, ReadScenario, FramingScenario}
}

const (
	// scenarioPeriod is how long a scenario's faults last.
	scenarioPeriod = 24 * time.Second
	// minLifetime and maxLifetime bound the time between two kills of a node in
	// RetryScenario, and slowdown is the factor on it in the other scenarios.
	minLifetime = 700 * time.Millisecond
	maxLifetime = 2 * time.Second
	slowdown    = 8
	// scenarioCallers is the number of callers with varying requests in RetryScenario. It
	// is small, so that the fixed part of the bound on retries is most of it.
	scenarioCallers = 3
	// popularCallers is the number of callers that send the same harmless request.
	popularCallers = 10
)

// validateScenario returns an error for a name that is not one of Scenarios.
func validateScenario(s Scenario) error {
	if s == "" || slices.Contains(Scenarios(), s) {
		return nil
	}
	return fmt.Errorf("unknown scenario %q, want one of %v", s, Scenarios())
}

// planScenario returns the faults of a scenario.
func planScenario(o Options) (out []scheduledFault) {
	if o.Scenario == UploadScenario {
		return []scheduledFault{{startAt: time.Second, kind: faultKind{name: "uploads", global: true, inject: sendUploads}}}
	}
	if o.Scenario == FramingScenario {
		return []scheduledFault{{startAt: time.Second, kind: faultKind{name: "framing", global: true, inject: sendFramings}}}
	}
	random := rand.New(rand.NewPCG(o.Seed, 2))
	if o.Scenario == SilenceScenario {
		return planSilence(random, o.Nodes)
	}
	if o.Scenario == ReadScenario {
		return planReads(random, o.Nodes)
	}
	if o.Scenario == StopScenario {
		return planStops(random, o.Nodes)
	}
	lifetime := minLifetime + time.Duration(random.Int64N(int64(maxLifetime-minLifetime)))
	if o.Scenario != RetryScenario {
		lifetime *= slowdown
	}
	for i := range o.Nodes {
		offset := time.Duration(random.Int64N(int64(lifetime)))
		for at := offset; at < scenarioPeriod; at += lifetime {
			out = append(out, scheduledFault{startAt: at, kind: faultKind{name: "kill", restarts: true, inject: kill}, instance: i})
		}
		if o.Scenario == RetryScenario {
			out = append(out, scheduledFault{duration: scenarioPeriod, kind: faultKind{name: "upstream_resets", inject: resetRuns}, instance: i})
		}
	}
	switch o.Scenario {
	case EndlessScenario:
		out = append(out, scheduledFault{startAt: time.Second, kind: faultKind{name: "endless", global: true, inject: sendEndless}})
	case CrasherScenario, ListenerScenario:
		out = append(out, scheduledFault{startAt: time.Second, kind: faultKind{name: "crasher", global: true, inject: sendCrasherBesidePopular}})
	}
	return out
}

func kill(r *runner, n *instance) func() { return n.terminate(r, syscall.SIGKILL) }

func resetRuns(_ *runner, n *instance) func() {
	n.upstream.resetting.Store(true)
	return func() { n.upstream.resetting.Store(false) }
}
