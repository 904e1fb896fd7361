package engine

import (
	"time"

	"github.com/shallotspool/shallotspool/core/document"
	"github.com/shallotspool/shallotspool/core/wire"
)

// Outcome tells how a call ended.
type Outcome uint8

// The outcomes. Together with the reason, each tells the caller whether it may
// retry.
const (
	// OutcomeAnswered means that an upstream returned a complete response.
	OutcomeAnswered Outcome = iota + 1
	// OutcomeNotRun guarantees that this send has not run and never will.
	OutcomeNotRun
	// OutcomeUnknown means that the call may or may not have run.
	OutcomeUnknown
	// OutcomeUpstreamError carries an upstream's own error response, unchanged.
	OutcomeUpstreamError
	// OutcomeBadRequest means that the request is invalid, for instance because
	// no route matches it; it did not run.
	OutcomeBadRequest
)

// Reason tells why a call ended without a response. It goes with the outcomes
// not run, unknown and bad request.
type Reason uint8

// The reasons.
const (
	// ReasonNone goes with a response.
	ReasonNone Reason = iota
	ReasonNoDocument
	ReasonNoRoute
	// ReasonNoKey means that the call requires a valid Idempotency-Key and has
	// none, or that an idempotent route called a non-idempotent one.
	ReasonNoKey
	ReasonOverload
	ReasonDeadline
	// ReasonNoTarget means that no untried target of the service accepts work,
	// or that the chosen one could not be reached.
	ReasonNoTarget
	// ReasonLeaving means that the node is shutting down.
	ReasonLeaving
	// ReasonNotOwner means that the receiver of a StageOwner send does not own
	// the key according to its document.
	ReasonNotOwner
	// ReasonOwnerStarting means that the owner cannot exclude yet that an
	// earlier run of it, or a former owner, has accepted the key.
	ReasonOwnerStarting
	ReasonOwnerUnreachable
	// ReasonTableFull means that the node cannot remember any more keys or
	// sends.
	ReasonTableFull
	// ReasonPoison means that the request is suspected of crashing upstreams.
	ReasonPoison
	// ReasonCancelled means that nobody waits for the reply any more, or that
	// the sender fenced the send.
	ReasonCancelled
	// ReasonAttemptLost means that no complete reply to an attempt arrived, or
	// that the result of an earlier copy of the request is not available.
	ReasonAttemptLost
	// ReasonAfterPause means that the node's process was paused and has not
	// caught up yet.
	ReasonAfterPause
	// ReasonKeyReused means that the key came with a different request before.
	ReasonKeyReused
	// ReasonStaleStamp means that the send carried no stamp of its receiver, or
	// one so old that the send may be a delayed duplicate. The reply carries a
	// new stamp.
	ReasonStaleStamp
	// ReasonKeyExpired means that the node that issued the key has restarted
	// since, or that it issued the key longer ago than the resend window.
	ReasonKeyExpired
	// ReasonUpstreamCrashed means that the upstream crashed while it ran the
	// call.
	ReasonUpstreamCrashed
	// ReasonRetryBudget means that the first attempt at the call counts as a
	// retry and that too few retry tokens are left for it.
	ReasonRetryBudget
)

// Reply is the result of a call, both between nodes and towards callers.
type Reply struct {
	Outcome Outcome
	Reason  Reason
	// Response is set for OutcomeAnswered and OutcomeUpstreamError.
	Response *Response
	// RetryAfter is how long the caller should wait before it retries; 0 means
	// that it should not retry.
	RetryAfter time.Duration
	// RetryTokens is the number of unused retry tokens that the reply returns.
	RetryTokens int
	// Load is the load of the answering node's upstream.
	Load wire.Load
	// Stamp is the current stamp of the answering node.
	Stamp wire.Stamp
}

// Action is an instruction from the engine to its runtime.
type Action interface{ action() }

// Dispatch runs a request on the node's own upstream.
type Dispatch struct {
	Attempt AttemptID
	Request *Request
	// Timeout is the time left until the deadline.
	Timeout time.Duration
	Class   document.Class
}

// SendCall sends a request to another node.
type SendCall struct {
	Attempt AttemptID
	Target  string
	Request *Request
	// Timeout is the time that the receiver has for the call; 0 sets no limit.
	Timeout time.Duration
	Stage   Stage
	Class   document.Class
	// Priority is the call's priority within its class.
	Priority    uint16
	RetryTokens int
	// Depth is the depth of the call in its call tree, 0 at the entry.
	Depth int
	Send  wire.SendID
	// ReceiverStamp is the latest stamp of the receiver; it arrives as
	// CallArrived.ReceiverStamp.
	ReceiverStamp wire.Stamp
	// Rerun is true if the call may have run before.
	Rerun bool
}

// ReplyCall ends a call. Each CallArrived leads to exactly one.
type ReplyCall struct {
	ID    CallID
	Reply Reply
}

// CancelAttempt stops waiting for an attempt and releases its connection.
type CancelAttempt struct{ Attempt AttemptID }

// SendFrame sends a frame on the link to a node. The frame is dropped if there
// is no such link.
type SendFrame struct {
	To    wire.NodeID
	Frame wire.Frame
}

// OpenLink requests a link to a target.
type OpenLink struct{ Target string }

// CloseLink closes the link to a target.
type CloseLink struct{ Target string }

// Resource is a kind of data that the platform publishes.
type Resource uint8

// The resources.
const (
	ResourceDocument Resource = iota + 1
	ResourceMembers
)

// ReadPlatform requests one read from the platform. The result arrives as
// DocumentRead or MembersRead.
type ReadPlatform struct {
	Resource Resource
	// CurrentVersion is the version in force, for ResourceDocument. A platform
	// that supports conditional reads need not send that version again; see
	// DocumentRead.
	CurrentVersion document.Version
}

// ParseDocument requests document.Parse of Text outside the engine's thread.
// The result arrives as DocumentParsed.
type ParseDocument struct {
	Version document.Version
	Text    []byte
}

// Log writes one log line.
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

// Measurement is one metric sample. Which of the fields are set depends on the
// metric.
type Measurement struct {
	Metric Metric
	Class  document.Class
	Reason Reason
	Group  string
	Value  time.Duration
	Count  int
}

// Metric identifies what a Measurement samples.
type Metric uint8

// The metrics.
const (
	// MetricQueueTime is the time from a call's arrival to its dispatch.
	MetricQueueTime Metric = iota + 1
	// MetricUpstreamTime is the duration of a dispatch.
	MetricUpstreamTime
	// MetricCallTime is the time from a call's arrival to its reply; Count is
	// the number of attempts.
	MetricCallTime
	// MetricRefused counts the replies that have a reason.
	MetricRefused
	MetricViolation
	// MetricAddedTime is the time that a finished call spent in this node
	// outside of its attempts.
	MetricAddedTime
)

// Stopped reports that the graceful shutdown is complete.
type Stopped struct{}

func (*Dispatch) action()      {}
func (*SendCall) action()      {}
func (*ReplyCall) action()     {}
func (*CancelAttempt) action() {}
func (*SendFrame) action()     {}
func (*OpenLink) action()      {}
func (*CloseLink) action()     {}
func (*ReadPlatform) action()  {}
func (*ParseDocument) action() {}
func (*Log) action()           {}
func (*Measurement) action()   {}
func (*Stopped) action()       {}
