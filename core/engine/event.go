package engine

import (
	"time"

	"github.com/shallotspool/shallotspool/core/document"
	"github.com/shallotspool/shallotspool/core/member"
	"github.com/shallotspool/shallotspool/core/wire"
)

// CallID names one request that the runtime handed to the engine. The runtime
// chooses it; it is unique within one run of a node.
type CallID uint64

// AttemptID names one dispatch to the node's own upstream or one send to
// another node. The engine chooses it.
type AttemptID uint64

// Origin tells which listener a call came in by, and so what of it is trusted.
type Origin uint8

// The origins of a call.
const (
	// OriginCaller is a caller outside the system; nothing it states is trusted
	// beyond what the document gives.
	OriginCaller Origin = iota + 1
	// OriginUpstream is the node's own upstream calling another service.
	OriginUpstream
	// OriginPeer is another node.
	OriginPeer
)

// Stage tells a node what a send from another node asks of it.
type Stage uint8

// The stages of a send.
const (
	// StageRun asks for the call to be run by the receiver's own upstream.
	StageRun Stage = iota + 1
	// StageOwn asks the owner of the call's key to see to it that it runs at
	// most once.
	StageOwn
)

// Request is the request as its caller sent it; it is immutable and shared.
type Request struct {
	Service string
	Method  string
	Path    string
	// Key is the Idempotency-Key, empty if there is none.
	Key string
	// Group is the caller group, empty if none was named.
	Group string
	// Header holds further header lines to pass on, in wire form.
	Header []byte
	Body   []byte
}

// Answer is one whole answer of an upstream; it is immutable and shared.
type Answer struct {
	Status int
	Header []byte
	Body   []byte
}

// Event is what happens to a node. Step takes one at a time.
type Event interface{ event() }

// CallArrived is a new request. For OriginPeer the fields below Parent come
// from the sending node.
type CallArrived struct {
	ID      CallID
	Origin  Origin
	Request *Request
	// Wait is what the caller says it will wait, or for OriginPeer what remains
	// of the deadline; 0 means it did not say.
	Wait time.Duration
	// Parent is the attempt on whose behalf the own upstream calls; 0 if it did
	// not say.
	Parent AttemptID

	Stage Stage
	Class document.Class
	// Priority is the call's priority within its class, drawn at the entry.
	Priority uint16
	Tokens   int
	Depth    int
	Send     wire.SendID
	// Heard is the stamp of this node that the sender last got.
	Heard wire.Stamp
	// Rerun is true when an earlier attempt at the call may have run, so that
	// the calls it makes are repeats.
	Rerun bool
}

// CallerGone tells that nobody waits for the call any more.
type CallerGone struct{ ID CallID }

// AttemptAnswered is a whole answer to a dispatch or a send.
type AttemptAnswered struct {
	Attempt AttemptID
	Reply   Reply
}

// FailureCause tells how much is known of an attempt that got no whole answer.
type FailureCause uint8

// The causes of a failed attempt.
const (
	// FailureNotSent means no byte of it left: it has certainly not run.
	FailureNotSent FailureCause = iota + 1
	// FailureLost means it was sent and the answer did not come whole: it may
	// have run.
	FailureLost
)

// AttemptFailed tells that an attempt ended without a whole answer.
type AttemptFailed struct {
	Attempt AttemptID
	Cause   FailureCause
}

// FrameReceived is a frame from another node.
type FrameReceived struct {
	From  wire.NodeID
	Frame wire.Frame
}

// LinkChanged tells that the link to a node opened or closed.
type LinkChanged struct {
	Peer wire.NodeID
	Up   bool
}

// DocumentSeen is a document read from the platform, or handed over at start. A
// nil Text means that the platform still has the version of ReadPlatform.Have.
type DocumentSeen struct {
	Version document.Version
	Text    []byte
}

// DocumentChecked is what document.Parse gave for the Text of a CheckDocument,
// whose Version and Text it repeats.
type DocumentChecked struct {
	Version  document.Version
	Text     []byte
	Document *document.Document
	Err      error
}

// MembersSeen is the platform's list of instances.
type MembersSeen struct{ List []member.Instance }

// HealthSeen is what the upstream's health endpoint said; it is a hint only.
type HealthSeen struct{ Healthy bool }

// LoadSeen is what the upstream's load endpoint said; it is a hint only.
type LoadSeen struct {
	// InFlight is the number of requests that the upstream says it works on.
	InFlight int
}

// UpstreamCrashed tells that the connections to the own upstream broke all at
// once or that its process ended.
type UpstreamCrashed struct{}

// Tick passes time; the runtime sends one each TickInterval.
type Tick struct{}

// StopRequested starts the graceful stop.
type StopRequested struct{}

func (*CallArrived) event()     {}
func (*CallerGone) event()      {}
func (*AttemptAnswered) event() {}
func (*AttemptFailed) event()   {}
func (*FrameReceived) event()   {}
func (*LinkChanged) event()     {}
func (*DocumentSeen) event()    {}
func (*DocumentChecked) event() {}
func (*MembersSeen) event()     {}
func (*HealthSeen) event()      {}
func (*LoadSeen) event()        {}
func (*UpstreamCrashed) event() {}
func (*Tick) event()            {}
func (*StopRequested) event()   {}
