package engine

import (
	"time"

	"github.com/shallotspool/shallotspool/core/document"
)

// Faults break one promise each. Tests set them to show that the checks catch
// it; a daemon never does.
type Faults struct {
	// ForgetKeys makes an owner forget a key as soon as its run is over.
	ForgetKeys bool
	// NoStartWait makes an owner take any key right after its start.
	NoStartWait bool
	// RetryLost makes another attempt when one may have run.
	RetryLost bool
	// LostIsNotRun tells callers that a lost attempt has not run.
	LostIsNotRun bool
	// IgnoreFence answers fences without keeping to them.
	IgnoreFence bool
	// TakeCopies runs a send each time it comes.
	TakeCopies bool
	// TakeStale runs sends of any age.
	TakeStale bool
	// IgnorePause does not notice that the process slept.
	IgnorePause bool
	// SwapAnswers gives an answer to the wrong call.
	SwapAnswers bool
	// AnswerTwice answers some calls twice.
	AnswerTwice bool
	// OlderDocument takes any document for newer.
	OlderDocument bool
	// WorkWhileLeaving takes work after the stop was asked for.
	WorkWhileLeaving bool
	// CutOnStop stops with calls in flight.
	CutOnStop bool
	// FreeRetries makes retries cost nothing.
	FreeRetries bool
	// NoSuspicion forgets what crashed an upstream.
	NoSuspicion bool
}

var noFaults = &Faults{}

func (n *Node) faults() *Faults {
	if n.cfg.Faults == nil {
		return noFaults
	}
	return n.cfg.Faults
}

// wrongAttempt returns another open attempt of the same kind, if there is one.
func (n *Node) wrongAttempt(a *attempt) *attempt {
	for _, other := range n.openAttempts() {
		if other != a && other.local == a.local && !other.waiting && other.target == a.target {
			return other
		}
	}
	return a
}

// linger is how long a leaving node stays at least.
func (n *Node) linger() time.Duration {
	switch {
	case n.faults().WorkWhileLeaving:
		return 3 * leavingLinger
	case n.faults().CutOnStop:
		return 0
	}
	return leavingLinger
}

// takeOlder puts a document in force whatever its version is.
func (n *Node) takeOlder(text []byte) {
	if doc, err := document.Parse(text); err == nil {
		n.documentInForce(doc)
	}
}
