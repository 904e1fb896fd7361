// Package measure simulates cases of overload and faults with package sim and
// prints what callers experience under each policy. The same seed always gives the
// same result line.
package measure

import (
	"fmt"
	"strings"
	"time"

	"github.com/shallotspool/shallotspool/core/engine"
	"github.com/shallotspool/shallotspool/core/idempotency"
	"github.com/shallotspool/shallotspool/harness/sim"
)

// Spec describes one run of a case.
type Spec struct {
	Case       string
	Policy     string
	Deployment string
	// Demand is the offered load during the disturbance, as a multiple of capacity.
	Demand float64
	Seed   uint64
	// CallTree selects a generated document, deepTree or wideTree, instead of the
	// document of the deployment; empty for none.
	CallTree string
}

// Result holds the measurements of one run. Offered, Goodput and the refused ratios
// cover the disturbance only, the other fields cover the whole run.
type Result struct {
	Spec
	// Depth is the length of the longest chain of calls.
	Depth   int
	Offered int
	// Goodput is the number of answers in time, divided by the number that demand
	// and capacity allow; at most 1.
	Goodput float64
	// RecoveryTime is the time from the end of the disturbance until goodput is back
	// to normal.
	RecoveryTime time.Duration
	// MaxAttempts is the highest number of attempts made for one request, and
	// AttemptBudget the budget of that request.
	MaxAttempts   int
	AttemptBudget int
	// ImportantRefused and OtherRefused are the ratios of requests that got no answer
	// in time: of the class of the writes and more important ones, and of all other
	// classes.
	ImportantRefused float64
	OtherRefused     float64
	// DoubleRuns counts repeated runs of requests that are not idempotent.
	DoubleRuns int
	// FalseNotRun counts sends that ran although the caller was told that they did
	// not.
	FalseNotRun int
	// MixedAnswers counts answers that belong to another request.
	MixedAnswers int
	// CutInFlight counts calls that were open when their node stopped gracefully.
	CutInFlight int
	// WastedWork is the ratio of upstream time that did not contribute to an answer in
	// time.
	WastedWork float64
}

// String returns the result line.
func (r Result) String() string {
	return fmt.Sprintf("case=%s policy=%s deployment=%s demand=%g depth=%d seed=%d offered=%d goodput_ratio=%.3f "+
		"recovery_seconds=%.1f max_attempts_per_request=%d attempt_budget=%d important_refused_ratio=%.4f "+
		"other_refused_ratio=%.4f double_runs=%d false_not_run=%d mixed_answers=%d cut_in_flight=%d wasted_work_ratio=%.3f",
		r.Case, r.Policy, r.Deployment, r.Demand, r.Depth, r.Seed, r.Offered, r.Goodput, r.RecoveryTime.Seconds(),
		r.MaxAttempts, r.AttemptBudget, r.ImportantRefused, r.OtherRefused, r.DoubleRuns, r.FalseNotRun, r.MixedAnswers,
		r.CutInFlight, r.WastedWork)
}

// scenario implements one case.
type scenario struct {
	// start schedules the disturbance of the case, an overload or a fault, before the
	// simulation runs. It lasts from disturbanceStart to disturbanceEnd.
	start func(w *sim.World, d deployment, demand float64)
	// callersResend makes the callers of the normal load resend what was not
	// answered.
	callersResend bool
	// capacityShare returns the ratio of capacity that is available during the
	// disturbance; nil means 1.
	capacityShare func(d deployment) float64
}

// The times of every run. The load starts at loadStart and ends at loadEnd. At
// loadStart the nodes are older than the resend window plus the time that owners
// add to it for sends in transit, as they are in normal operation. A younger owner
// refuses unknown keys, because an earlier incarnation may have run them.
const (
	resendWindow     = 5 * time.Second
	loadStart        = resendWindow + 2*idempotency.MaxSendAge + time.Second
	disturbanceStart = loadStart + 2*time.Second
	disturbanceEnd   = disturbanceStart + 4*time.Second
	loadEnd          = disturbanceEnd + 6*time.Second
)

// ablationPrefix starts the names of ablations, which are policy full without one
// mechanism.
const ablationPrefix = "full-"

// scenarioName returns the name of the scenario of s. Generated trees have separate
// scenarios.
func (s Spec) scenarioName() string {
	if s.CallTree != "" {
		return s.Case + "_tree"
	}
	return s.Case
}

// policyByName returns the policy or ablation with the given name.
func policyByName(name string) (engine.Policy, error) {
	switch name {
	case "none":
		return engine.UnprotectedPolicy(), nil
	case "static":
		return engine.StaticPolicy(), nil
	case "full":
		return engine.FullPolicy(), nil
	}
	if mechanism, ok := strings.CutPrefix(name, ablationPrefix); ok {
		if p, ok := engine.FullPolicy().Without(mechanism); ok {
			return p, nil
		}
	}
	return engine.Policy{}, fmt.Errorf("unknown policy %q", name)
}
