// Package invariant records violations of the system's invariants. The engine
// checks them on every call, in production as well as in tests.
package invariant

// Name identifies an invariant.
type Name string

// The invariants. Their values appear in the output of nodes and tests; some differ
// from the names here and must not change.
const (
	// SingleReplyAndAttempt: a call gets exactly one reply and has one attempt at a time.
	SingleReplyAndAttempt Name = "one_reply"
	// RetryBudget: a call makes no more retries than it has retry tokens, and
	// no tokens are created.
	RetryBudget Name = "attempt_budget"
	// DocumentVersionNeverDecreases: the version of the document in force never decreases.
	DocumentVersionNeverDecreases Name = "document_order"
	// NoNewWorkWhileLeaving: shortly after a node starts to leave, its upstream gets
	// no more new work from other nodes or callers.
	NoNewWorkWhileLeaving Name = "leaving_no_work"
	// AtMostOnce: a call that is not idempotent is not retried after an attempt
	// that may have run, except at the owner of its key, which deduplicates.
	AtMostOnce Name = "at_most_once"
	// NotRunIsTrue: a call reported as not run has certainly not run.
	NotRunIsTrue Name = "not_run_is_kept"
	// InFlightCompletes: a graceful stop interrupts no call in flight.
	InFlightCompletes Name = "in_flight_is_kept"
	// ResponseMatchesCall: a response goes only to the call and attempt that it
	// belongs to.
	ResponseMatchesCall Name = "answer_is_own"
)

// Violation is one violation of an invariant.
type Violation struct {
	Name Name
	// Call is the number of the call concerned, 0 if there is none.
	Call   uint64
	Detail string
}

// Checker counts violations and keeps the first ones. It is not safe for
// concurrent use.
type Checker struct {
	count      int
	violations []Violation
}

// maxViolations is the number of violations that a Checker keeps.
const maxViolations = 64

// Check records v if ok is false. It returns ok.
func (c *Checker) Check(ok bool, v Violation) bool {
	if ok {
		return true
	}
	c.count++
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, v)
	}
	return false
}

// Count returns the number of all violations so far.
func (c *Checker) Count() int { return c.count }

// First returns the first maxViolations violations; later ones are only counted.
func (c *Checker) First() []Violation { return c.violations }
