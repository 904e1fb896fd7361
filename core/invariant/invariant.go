// Package invariant counts violations of what must always hold. The engine
// asserts with it on every call, in tests and in production alike.
package invariant

// Name is one invariant.
type Name string

// The invariants.
const (
	OneReply       Name = "one_reply"
	AttemptBudget  Name = "attempt_budget"
	DocumentOrder  Name = "document_order"
	LeavingNoWork  Name = "leaving_no_work"
	AtMostOnce     Name = "at_most_once"
	NotRunIsKept   Name = "not_run_is_kept"
	InFlightIsKept Name = "in_flight_is_kept"
	AnswerIsOwn    Name = "answer_is_own"
)

// Violation is one broken invariant.
type Violation struct {
	Name   Name
	Call   uint64
	Detail string
}

// Checker collects violations. It is not safe for concurrent use.
type Checker struct {
	count  int
	recent []Violation
}

const maxRecent = 64

// Check records a violation unless ok, and returns ok.
func (c *Checker) Check(ok bool, v Violation) bool {
	if ok {
		return true
	}
	c.count++
	if len(c.recent) < maxRecent {
		c.recent = append(c.recent, v)
	}
	return false
}

// Count returns the number of violations so far.
func (c *Checker) Count() int { return c.count }

// Recent returns the first violations, a bounded number of them.
func (c *Checker) Recent() []Violation { return c.recent }
