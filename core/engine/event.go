package engine

import (
	"time"

	"github.com/shallotspool/shallotspool/core/document"
	"github.com/shallotspool/shallotspool/core/membership"
	"github.com/shallotspool/shallotspool/core/wire"
)

// CallID identifies a request that the runtime passed to the engine. The
// runtime assigns it; it is unique within one run of a node.
type CallID uint64

// AttemptID identifies one dispatch to the node's own upstream or one send to
// another node. The engine assigns it.
type AttemptID uint64

// Origin tells who made a call, and thereby which of its values are trusted.
type Origin uint8

// The origins of a call.
const (
	// OriginCaller is a caller outside the system. The document determines the
	// class and the retry budget of its calls; its timeout can only shorten
	// that of the route.
	OriginCaller Origin = iota + 1
	// OriginUpstream is the node's own upstream calling another service.
	OriginUpstream
	// OriginPeer is another node.
	OriginPeer
)

// Stage tells a node what a send from another node asks it to do.
type Stage uint8

// The stages of a send.
const (
	// StageRun asks the receiver to run the call on its own upstream.
	StageRun Stage = iota + 1
	// StageOwner asks the receiver, as owner of the call's key, to ensure that
	// the call runs at most once.
	StageOwner
)

// Request is a request as its caller sent it. It is immutable and shared.
type Request struct {
	Service string
	Method  string
	Path    string
	// Key is the Idempotency-Key, empty if there is none.
	Key string
	// Group is the caller group, empty if none was given.
	Group string
	// Header holds further header lines to pass on, in wire format.
	Header []byte
	Body   []byte
}

// Response is a complete response of an upstream. It is immutable and shared.
type Response struct {
	Status int
	Header []byte
	Body   []byte
}

// Event is an input of the state machine. Step processes one at a time.
type Event interface{ event() }

// CallArrived reports a new request. The fields from Stage on are set only for
// OriginPeer and come from the sending node.
type CallArrived struct {
	ID      CallID
	Origin  Origin
	Request *Request
	// Timeout is the caller's timeout, or for OriginPeer the time left until the
	// deadline; 0 means that none was given.
	Timeout time.Duration
	// Parent is the dispatch during which the node's own upstream makes the
	// call; 0 if the upstream did not say.
	Parent AttemptID

	Stage Stage
	Class document.Class
	// Priority is the call's priority within its class, drawn at the entry.
	Priority    uint16
	RetryTokens int
	// Depth is the depth of the call in its call tree, 0 at the entry.
	Depth int
	Send  wire.SendID
	// ReceiverStamp is the latest stamp of this node that the sender knew.
	ReceiverStamp wire.Stamp
	// Rerun is true if the call may have run before, so that the calls made
	// during it count as retries.
	Rerun bool
}

// CallerGone reports that nobody waits for the reply any more.
type CallerGone struct{ ID CallID }

// AttemptAnswered reports the complete reply to a dispatch or a send.
type AttemptAnswered struct {
	Attempt AttemptID
	Reply   Reply
}

// FailureCause tells whether an attempt without a complete reply can have run.
type FailureCause uint8

// The causes of a failed attempt.
const (
	// FailureNotSent means that no byte was sent: the attempt has certainly not
	// run.
	FailureNotSent FailureCause = iota + 1
	// FailureLost means that the request was sent but no complete reply came
	// back: the attempt may have run.
	FailureLost
)

// AttemptFailed reports that an attempt ended without a complete reply.
type AttemptFailed struct {
	Attempt AttemptID
	Cause   FailureCause
}

// FrameReceived reports a frame from another node.
type FrameReceived struct {
	From  wire.NodeID
	Frame wire.Frame
}

// LinkChanged reports that the link to a node opened or closed.
type LinkChanged struct {
	Peer wire.NodeID
	Up   bool
}

// DocumentRead reports a document that was read from the platform or supplied
// at start. A nil Text means that the platform still has the version given as
// ReadPlatform.CurrentVersion.
type DocumentRead struct {
	Version document.Version
	Text    []byte
}

// DocumentParsed reports the result of document.Parse for a ParseDocument
// action, whose Version and Text it repeats.
type DocumentParsed struct {
	Version  document.Version
	Text     []byte
	Document *document.Document
	Err      error
}

// MembersRead reports the platform's list of instances.
type MembersRead struct{ Instances []membership.Instance }

// HealthReported reports the result of the upstream's health endpoint. It is
// shown in Status only and has no effect on decisions.
type HealthReported struct{ Healthy bool }

// LoadReported reports the result of the upstream's load endpoint. It is shown
// in Status only and has no effect on decisions.
type LoadReported struct {
	// InFlight is the number of requests that the upstream says it is
	// processing.
	InFlight int
}

// UpstreamCrashed reports that all connections to the node's own upstream broke
// at once or that its process ended.
type UpstreamCrashed struct{}

// Tick advances time. The runtime delivers one every TickInterval.
type Tick struct{}

// StopRequested starts the graceful shutdown.
type StopRequested struct{}

func (*CallArrived) event()     {}
func (*CallerGone) event()      {}
func (*AttemptAnswered) event() {}
func (*AttemptFailed) event()   {}
func (*FrameReceived) event()   {}
func (*LinkChanged) event()     {}
func (*DocumentRead) event()    {}
func (*DocumentParsed) event()  {}
func (*MembersRead) event()     {}
func (*HealthReported) event()  {}
func (*LoadReported) event()    {}
func (*UpstreamCrashed) event() {}
func (*Tick) event()            {}
func (*StopRequested) event()   {}
