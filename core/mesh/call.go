package mesh

import (
	"time"

	"github.com/shallotspool/shallotspool/core/registry"
	"github.com/shallotspool/shallotspool/core/route"
)

// IncomingRequest is a request as it arrives at the node where it enters the system.
type IncomingRequest struct {
	ID   string
	Host string
	Path string
	// Fingerprint is a hash of the content of the request. It is the same for all sends
	// of one request.
	Fingerprint uint64
	// Sender is the IP address of the sender, empty if it is not known.
	Sender string
	// Parent is the ID of the request on whose behalf this one may be made.
	Parent string
	// Timeout is the time for which the sender waits for an answer from the header on, 0 if
	// it did not state one. HeaderAgo is the time since the header arrived: a body may take
	// long.
	Timeout   time.Duration
	HeaderAgo time.Duration
}

// Call is one request at the node where it entered, from its arrival to its answer.
type Call struct {
	ID    string
	Route *route.Route
	// RouteID is the hash of Route; see the function RouteID.
	RouteID uint32
	// Service is the service chosen for the call among those of its route.
	Service string
	// Version is the version of the routing table that Route belongs to.
	Version route.Version
	Arrived time.Duration
	// Deadline is the time at which the node gives up the request.
	Deadline time.Duration
	// Rank is the position of the call in the order of all requests.
	Rank Rank
	// FromUpstream is set if the local upstream makes the call on behalf of another
	// request.
	FromUpstream bool
	// CallerRetry is set if the request was refused admission before and the caller has
	// sent it again.
	CallerRetry bool

	// tried holds the instances the call was sent to. reachedUpstreams counts the
	// attempts that may have reached an upstream.
	tried            []string
	reachedUpstreams int
	// mayHaveRun is set once an attempt may have run.
	mayHaveRun bool
	// busyNodes counts the nodes that refused the call because they were busy.
	busyNodes   int
	attempt     *attempt
	fingerprint uint64
	// onTrial is set if the call is a trial of a request that crashed upstreams. It is sent
	// only once.
	onTrial bool
	// parent is the request at the local upstream for which the call is made, nil if
	// there is none.
	parent *parentRequest
	// demand is where the call counts as served if it succeeds. It is nil for calls made
	// by upstreams, if too many routes are tracked, and once the call was counted.
	demand *routeDemand
}

// Attempts returns the number of attempts so far.
func (c *Call) Attempts() int { return len(c.tried) }

// LastTried returns the instance of the last attempt, empty if there is none.
func (c *Call) LastTried() string {
	if len(c.tried) == 0 {
		return ""
	}
	return c.tried[len(c.tried)-1]
}

// Rank orders requests across the whole system: by the priority of the caller's
// request, and at equal priority by the time since it entered, the oldest first.
type Rank struct {
	Priority int
	// Age is the time since the caller's request entered the system.
	Age time.Duration
	// Root is the RouteID of the route of the caller's request.
	Root uint32
	// IsRetry is set if the call, or a request for which it is made, is a retry. Every
	// run made for it then counts as a retry.
	IsRetry bool
}

// attempt is one open send of a call.
type attempt struct {
	upstream *registry.Upstream
	peer     *peer
	started  time.Duration
}

// Target is the destination of one attempt.
type Target struct {
	// Upstream is the ID of the registration of the upstream that is to run the call.
	Upstream string
	// Instance is the IP address of the node beside the upstream, empty for the local
	// one.
	Instance string
	// Utilisation is that of the target when it was chosen; see Node.utilisation.
	// LoadAge is the time since the load of the instance was last reported.
	Utilisation float64
	LoadAge     time.Duration
	// RateLimit is the limit that the upstream named in its last answer to this node's
	// requests, in requests per second; Limited is set if it named one.
	RateLimit float64
	Limited   bool
}

// Reason states why a request was not served or an attempt did not succeed.
type Reason uint8

// The reasons.
const (
	ReasonNone Reason = iota
	// ReasonNoTable means that the node has no routing table yet.
	ReasonNoTable
	// ReasonNoRoute means that no route matches the request.
	ReasonNoRoute
	// ReasonDeadline means that the deadline of the request has passed.
	ReasonDeadline
	// ReasonNoUpstream means that the service has no usable upstream.
	ReasonNoUpstream
	// ReasonAdmission means that the node where the request entered refused to admit it,
	// before any work was done for it.
	ReasonAdmission
	// ReasonBusy means that the node beside the upstream had no room.
	ReasonBusy
	// ReasonShed means that the upstream itself refused the request.
	ReasonShed
	// ReasonMoved means that another upstream than the expected one answered.
	ReasonMoved
	// ReasonLeaving means that the node is about to stop, or that the upstream beside it has left.
	ReasonLeaving
	// ReasonUnreachable means that no connection to the node or upstream could be
	// opened.
	ReasonUnreachable
	// ReasonLost means that the attempt got no complete answer.
	ReasonLost
	// ReasonCrasher means that the request has crashed the upstreams that ran it.
	ReasonCrasher
	// ReasonCrashed means that the upstream crashed while it ran the request.
	ReasonCrashed
	// ReasonAmbiguousStatus means that the upstream ran a request that must not be repeated,
	// and answered with a status that promises callers the contrary.
	ReasonAmbiguousStatus
)

var reasonNames = [...]string{
	"none", "no_table", "no_route", "deadline", "no_upstream", "entry", "busy", "shed", "moved",
	"leaving", "unreachable", "lost", "crasher", "crashed", "ambiguous_status",
}

// String returns the name of the reason in logs and metrics.
func (r Reason) String() string { return reasonNames[r] }

// ParseReason is the inverse of Reason.String. It returns ReasonLost for an unknown
// name.
func ParseReason(name string) Reason {
	for i, known := range reasonNames {
		if known == name {
			return Reason(i)
		}
	}
	return ReasonLost
}

// OutcomeKind states whether an attempt ran.
type OutcomeKind uint8

// The kinds of outcomes.
const (
	// OutcomeAnswered means that the upstream gave a complete answer.
	OutcomeAnswered OutcomeKind = iota + 1
	// OutcomeNotRun means that the attempt has certainly not run and never will.
	OutcomeNotRun
	// OutcomeUnknown means that the attempt may have run.
	OutcomeUnknown
)

// Outcome is the result of one attempt.
type Outcome struct {
	Kind OutcomeKind
	// Status is the HTTP status of an answered attempt.
	Status int
	Reason Reason
	// ReachedUpstream is set if the request reached the upstream itself, or may have.
	ReachedUpstream bool
	// NodeSilent is set if the node gave no answer of any kind by the deadline.
	NodeSilent bool
	// Notice is what the upstream said of itself in its answer.
	Notice Notice
	// Load is the load of the upstream as reported by the answering node.
	Load Load
	// LoadKnown is set if the answering node reported a load.
	LoadKnown bool
}

// Load is the number of requests at one upstream.
type Load struct {
	// Running and Queued count the requests that run at the upstream and that wait for
	// it. Limit is the number that may run concurrently.
	Running, Queued, Limit int
	_                      struct{} `cbor:",toarray"`
}

// StepKind is the kind of the next action for a call.
type StepKind uint8

// The kinds of steps.
const (
	// StepSend sends the call to Target.
	StepSend StepKind = iota + 1
	// StepDeliver delivers the answer of the last attempt to the caller.
	StepDeliver
	// StepRefuse answers that the request has not run and never will.
	StepRefuse
	// StepFail answers that the request may have run.
	StepFail
	// StepUnknownRoute answers that no route matches the request.
	StepUnknownRoute
)

// Step is the next action for a call.
type Step struct {
	Kind   StepKind
	Target Target
	Reason Reason
	// RetryAfter is the delay after which a refused caller may retry, 0 if it should
	// not.
	RetryAfter time.Duration
}
