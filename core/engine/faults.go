package engine

import (
	"time"

	"github.com/shallotspool/shallotspool/core/document"
)

// Faults switches on violations of the protocol, one per field. Tests set them
// to verify that the checks detect each violation; the daemon never sets them.
type Faults struct {
	// ForgetKeys makes an owner forget a key as soon as its run has ended.
	ForgetKeys bool
	// SkipStartWait makes an owner accept unknown keys right after its start.
	SkipStartWait bool
	// RetryLost retries a call even though an earlier attempt may have run.
	RetryLost bool
	// ReportLostAsNotRun reports a lost attempt to callers as not run.
	ReportLostAsNotRun bool
	// IgnoreFence answers fences with not run without honouring them.
	IgnoreFence bool
	// AcceptDuplicates runs a send every time it arrives.
	AcceptDuplicates bool
	// AcceptStaleSends accepts sends of any age.
	AcceptStaleSends bool
	// IgnorePause disables the detection of process pauses.
	IgnorePause bool
	// SwapReplies delivers a reply to the wrong call.
	SwapReplies bool
	// ReplyTwice answers some calls twice.
	ReplyTwice bool
	// AcceptOlderDocument puts any document in force, even an older one.
	AcceptOlderDocument bool
	// AcceptWorkWhileLeaving accepts new work after the stop request.
	AcceptWorkWhileLeaving bool
	// StopWithOpenCalls stops while calls are open.
	StopWithOpenCalls bool
	// FreeRetries makes retries without requiring tokens.
	FreeRetries bool
	// IgnoreCrashSuspects ignores which requests were in flight at a crash.
	IgnoreCrashSuspects bool
}

var noFaults = &Faults{}

// injectedFaults returns the injected faults, never nil.
func (n *Node) injectedFaults() *Faults {
	if n.cfg.Faults == nil {
		return noFaults
	}
	return n.cfg.Faults
}

// wrongAttempt returns another open attempt to the same target, or a itself if
// there is none.
func (n *Node) wrongAttempt(a *attempt) *attempt {
	for _, other := range n.openAttempts() {
		if other != a && other.local == a.local && !other.queued && other.target == a.target {
			return other
		}
	}
	return a
}

// minLeavingTime returns minLeaveDuration, or the time that replaces it under
// an injected fault.
func (n *Node) minLeavingTime() time.Duration {
	switch {
	case n.injectedFaults().AcceptWorkWhileLeaving:
		return 3 * minLeaveDuration
	case n.injectedFaults().StopWithOpenCalls:
		return 0
	}
	return minLeaveDuration
}

// activateUnordered puts a document in force whatever its version is.
func (n *Node) activateUnordered(text []byte) {
	if doc, err := document.Parse(text); err == nil {
		n.documentInForce(doc)
	}
}
