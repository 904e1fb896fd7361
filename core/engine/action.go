package engine

import (
	"time"

	"github.com/shallotspool/shallotspool/core/document"
	"github.com/shallotspool/shallotspool/core/wire"
)

// Outcome is the kind of an answer to a call.
type Outcome uint8

// The outcomes. Each refusal tells its caller what it may do next.
const (
	// OutcomeAnswered is a whole answer of an upstream.
	OutcomeAnswered Outcome = iota + 1
	// OutcomeNotRun promises that this send has not run and never will.
	OutcomeNotRun
	// OutcomeUnknown means it may or may not have run.
	OutcomeUnknown
	// OutcomeUpstreamError is an upstream's own failure, passed on whole.
	OutcomeUpstreamError
	// OutcomeBadRequest means no route of the document fits; it did not run.
	OutcomeBadRequest
)

// Reason tells why a call was refused.
type Reason uint8

// The reasons of a refusal.
const (
	ReasonNone Reason = iota
	ReasonNoDocument
	ReasonNoRoute
	ReasonNoKey
	ReasonOverload
	ReasonDeadline
	ReasonNoTarget
	ReasonLeaving
	ReasonNotOwner
	ReasonOwnerStarting
	ReasonOwnerUnreachable
	ReasonTableFull
	ReasonPoison
	ReasonCancelled
	ReasonAttemptLost
	ReasonWokeLate
	ReasonKeyReused
	// ReasonStale means the send carried no stamp of its receiver, or one so old
	// that the send may be a late copy; the answer brings a new stamp.
	ReasonStale
	// ReasonKeyExpired means the node that issued the key has restarted since,
	// or issued it longer ago than the resend window.
	ReasonKeyExpired
	// ReasonUpstreamCrashed means the upstream crashed while it ran the call.
	ReasonUpstreamCrashed
	// ReasonBudget means that the request's attempts are spent.
	ReasonBudget
)

// Reply is what a call ends with, between nodes as well as towards callers.
type Reply struct {
	Outcome Outcome
	Reason  Reason
	// Answer is set for OutcomeAnswered and OutcomeUpstreamError.
	Answer *Answer
	// RetryAfter is when the caller should come back; 0 means it should not.
	RetryAfter time.Duration
	// Tokens are the retry tokens left over.
	Tokens int
	// Load is the state of the answering node's upstream.
	Load wire.Load
	// Stamp is the answering node's time, set in answers to other nodes.
	Stamp wire.Stamp
}

// Action is what the engine asks its runtime to do.
type Action interface{ action() }

// Dispatch runs a request on the node's own upstream.
type Dispatch struct {
	Attempt AttemptID
	Request *Request
	// Wait is what remains of the deadline.
	Wait  time.Duration
	Class document.Class
}

// SendCall sends a request to another node.
type SendCall struct {
	Attempt AttemptID
	Target  string
	Request *Request
	Wait    time.Duration
	Stage   Stage
	Class   document.Class
	// Priority is the call's priority within its class.
	Priority uint16
	Tokens   int
	Depth    int
	Send     wire.SendID
	// Heard is the latest stamp of the receiver, for CallArrived.Heard.
	Heard wire.Stamp
	// Rerun tells that an earlier attempt at the call may have run.
	Rerun bool
}

// ReplyCall ends a call; each CallArrived gets exactly one.
type ReplyCall struct {
	ID    CallID
	Reply Reply
}

// CancelAttempt stops waiting for an attempt and gives up its connection.
type CancelAttempt struct{ Attempt AttemptID }

// SendFrame sends a frame on the link to a node; it is dropped if there is no
// such link.
type SendFrame struct {
	To    wire.NodeID
	Frame wire.Frame
}

// OpenLink asks for a link to a target.
type OpenLink struct{ Target string }

// CloseLink ends the link to a target.
type CloseLink struct{ Target string }

// Resource is something the platform publishes.
type Resource uint8

// The resources.
const (
	ResourceDocument Resource = iota + 1
	ResourceMembers
)

// ReadPlatform asks for one read; the result comes back as an event.
type ReadPlatform struct {
	Resource Resource
	// Have is the version in force, for ResourceDocument: a platform that can
	// tell need not send that one again, see DocumentSeen.
	Have document.Version
}

// CheckDocument asks for document.Parse of Text off the engine's own thread; the
// result comes back as DocumentChecked.
type CheckDocument struct {
	Version document.Version
	Text    []byte
}

// Log asks for one log line.
type Log struct {
	Level   LogLevel
	Message string
	Fields  []Field
}

// LogLevel is the severity of a log line.
type LogLevel uint8

// The levels.
const (
	LogInfo LogLevel = iota + 1
	LogWarn
	LogError
)

// Field is one key=value pair of a log line.
type Field struct{ Key, Value string }

// Measurement is one sample for the metrics, of one finished piece of work.
type Measurement struct {
	Metric Metric
	Class  document.Class
	Reason Reason
	Group  string
	Value  time.Duration
	Count  int
}

// Metric names what a Measurement samples.
type Metric uint8

// The metrics.
const (
	MetricQueueTime Metric = iota + 1
	MetricUpstreamTime
	MetricCallTime
	MetricRefused
	MetricViolation
	// MetricAddedTime is what a finished call took here beside its attempts.
	MetricAddedTime
)

// Stopped tells that the graceful stop is complete.
type Stopped struct{}

func (*Dispatch) action()      {}
func (*SendCall) action()      {}
func (*ReplyCall) action()     {}
func (*CancelAttempt) action() {}
func (*SendFrame) action()     {}
func (*OpenLink) action()      {}
func (*CloseLink) action()     {}
func (*ReadPlatform) action()  {}
func (*CheckDocument) action() {}
func (*Log) action()           {}
func (*Measurement) action()   {}
func (*Stopped) action()       {}
