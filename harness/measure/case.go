// Package measure runs the decisions under virtual time, one case after the
// other, and prints what callers experienced. Equal seeds give equal lines.
package measure

import (
	"fmt"
	"strings"
	"time"

	"github.com/shallotspool/shallotspool/core/engine"
	"github.com/shallotspool/shallotspool/core/owner"
	"github.com/shallotspool/shallotspool/harness/sim"
)

// Spec is one run.
type Spec struct {
	Case       string
	Policy     string
	Deployment string
	Demand     float64
	Seed       uint64
	// Tree names a generated document that takes the deployment's place; empty
	// for its own.
	Tree string
}

// Result is what one run showed.
type Result struct {
	Spec
	Depth           int
	Offered         int
	Goodput         float64
	Recovery        time.Duration
	MaxAttempts     int
	AttemptBudget   int
	ImportantRefuse float64
	OtherRefuse     float64
	DoubleRuns      int
	FalseNotRun     int
	Mixed           int
	CutInFlight     int
	Wasted          float64
}

// String is the result line.
func (r Result) String() string {
	return fmt.Sprintf("case=%s policy=%s deployment=%s demand=%g depth=%d seed=%d offered=%d goodput_ratio=%.3f "+
		"recovery_seconds=%.1f max_attempts_per_request=%d attempt_budget=%d important_refused_ratio=%.4f "+
		"other_refused_ratio=%.4f double_runs=%d false_not_run=%d mixed_answers=%d cut_in_flight=%d wasted_work_ratio=%.3f",
		r.Case, r.Policy, r.Deployment, r.Demand, r.Depth, r.Seed, r.Offered, r.Goodput, r.Recovery.Seconds(),
		r.MaxAttempts, r.AttemptBudget, r.ImportantRefuse, r.OtherRefuse, r.DoubleRuns, r.FalseNotRun, r.Mixed,
		r.CutInFlight, r.Wasted)
}

// scenario drives one case: it sets the pressure up and names its window.
type scenario struct {
	// trigger is called once the world is warm; pressure lasts from begin to end.
	trigger func(w *sim.World, d deployment, demand float64)
	// hard tells that callers send again what was not answered, at all times.
	hard bool
	// able returns the share of capacity that is there during the pressure; nil
	// means all.
	able func(d deployment) float64
}

// The times of every run. Nodes are older than the resend window, and than what
// owners add to it for sends under way, when the first requests come, as they
// are on an ordinary day.
const (
	resendWindow = 5 * time.Second
	warm         = resendWindow + 2*owner.MaxSendAge + time.Second
	begin        = warm + 2*time.Second
	end          = begin + 4*time.Second
	tail         = end + 6*time.Second
)

// ablation begins the names of the policies that are full less one mechanism.
const ablation = "full-"

// scenario is the name of the scenario of s; generated trees have their own.
func (s Spec) scenario() string {
	if s.Tree != "" {
		return s.Case + "_tree"
	}
	return s.Case
}

// policyOf returns the named policy.
func policyOf(name string) (engine.Policy, error) {
	switch name {
	case "none":
		return engine.None(), nil
	case "static":
		return engine.Static(), nil
	case "full":
		return engine.Full(), nil
	}
	if mechanism, ok := strings.CutPrefix(name, ablation); ok {
		if p, ok := engine.Full().Without(mechanism); ok {
			return p, nil
		}
	}
	return engine.Policy{}, fmt.Errorf("no policy %q", name)
}
