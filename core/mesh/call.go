package mesh

import (
	"time"

	"github.com/shallotspool/shallotspool/core/registry"
	"github.com/shallotspool/shallotspool/core/route"
)

// Arrival is a request as it reaches the node where it enters the system.
type Arrival struct {
	ID   string
	Host string
	Path string
	// Print is the same for all sends of one request: a hash of what it asks for.
	Print uint64
	// Parent is the id of the request on whose behalf it may be made.
	Parent string
	// Wait is how long the sender still waits, 0 if it did not say.
	Wait time.Duration
}

// Call is one request at the node where it entered, from its arrival to its
// answer.
type Call struct {
	ID    string
	Route *route.Route
	// RouteID is that of Route, see the function of that name.
	RouteID uint32
	Service string
	Version route.Version
	Arrived time.Duration
	// Deadline is when the request is given up.
	Deadline time.Duration
	// Rank orders it among other requests.
	Rank Rank
	// Inner tells that the node's own upstream makes it on behalf of another
	// request.
	Inner bool

	// Returned tells that it was refused before and came back.
	Returned bool

	// tried holds the instances it was sent to, and reached counts those of them
	// whose upstream may have got it.
	tried   []string
	reached int
	// mayHaveRun is true once an attempt may have run.
	mayHaveRun bool
	// refusedBy counts the nodes that had no room for it.
	refusedBy int
	attempt   *attempt
	print     uint64
	// origin is the request of the own upstream that it is made for, nil if none.
	origin *lineage
	// demand is what callers ask for on its route, nil for calls of upstreams.
	demand *rootDemand
}

// Attempts returns the number of sends so far.
func (c *Call) Attempts() int { return len(c.tried) }

// LastTried returns the instance it was last sent to, empty if there is none.
func (c *Call) LastTried() string {
	if len(c.tried) == 0 {
		return ""
	}
	return c.tried[len(c.tried)-1]
}

// Rank orders requests from all over the system: by the priority of the caller's
// request, and among equals the one that is in the system for longest first.
type Rank struct {
	Priority int
	// Age is the time since the caller's request entered.
	Age time.Duration
	// Root names the route of the caller's request; a hash, see RouteID.
	Root uint32
	// Rerun tells that a part of it ran before, so that all arrivals are repeats.
	Rerun bool
}

// attempt is one open send of a call.
type attempt struct {
	upstream *registry.Upstream
	peer     *peer
	started  time.Duration
}

// Target is where a call is to be sent.
type Target struct {
	// Upstream is the registration that is to run it.
	Upstream string
	// Instance is the IP of the node beside it, empty if that is this node.
	Instance string
	// Load is the utilisation it was chosen by, and LoadAge how old that is.
	Load    float64
	LoadAge time.Duration
}

// Reason tells why a request was not served.
type Reason uint8

// The reasons.
const (
	ReasonNone Reason = iota
	// ReasonNoTable is a node that knows no routing table yet.
	ReasonNoTable
	// ReasonNoRoute is a request that no route takes.
	ReasonNoRoute
	// ReasonDeadline is a request whose time is over.
	ReasonDeadline
	// ReasonNoUpstream is a service without a usable upstream.
	ReasonNoUpstream
	// ReasonEntry is a refusal at the entry, before any work was done.
	ReasonEntry
	// ReasonBusy is a refusal by the node beside the upstream.
	ReasonBusy
	// ReasonShed is a refusal by the upstream itself.
	ReasonShed
	// ReasonMoved is an upstream that is not the one expected.
	ReasonMoved
	// ReasonLeaving is a node that is about to stop.
	ReasonLeaving
	// ReasonUnreachable is a node or upstream that could not be connected to.
	ReasonUnreachable
	// ReasonLost is an attempt whose answer did not come whole.
	ReasonLost
	// ReasonCrasher is a request that crashed the upstreams that ran it.
	ReasonCrasher
)

var reasonNames = [...]string{
	"none", "no_table", "no_route", "deadline", "no_upstream", "entry", "busy", "shed", "moved",
	"leaving", "unreachable", "lost", "crasher",
}

// String is the reason's name in logs and metrics.
func (r Reason) String() string { return reasonNames[r] }

// ParseReason is the inverse of String; an unknown name is ReasonLost.
func ParseReason(name string) Reason {
	for i, known := range reasonNames {
		if known == name {
			return Reason(i)
		}
	}
	return ReasonLost
}

// OutcomeKind tells how much is known of an attempt.
type OutcomeKind uint8

// The kinds of outcomes.
const (
	// Answered is a whole answer of the upstream.
	Answered OutcomeKind = iota + 1
	// NotRun is an attempt that certainly has not run and never will.
	NotRun
	// Unknown is an attempt that may have run.
	Unknown
)

// Outcome is how an attempt ended.
type Outcome struct {
	Kind OutcomeKind
	// Status is the upstream's, for Answered.
	Status int
	Reason Reason
	// Reached tells that the upstream itself got the request.
	Reached bool
	// Silent tells that a node gave no answer of any kind by the deadline.
	Silent bool
	// Load is what the answering node told of its upstream; Known tells whether
	// it did.
	Load  Load
	Known bool
}

// Load is how busy one upstream is.
type Load struct {
	// Running and Queued count requests at the upstream and waiting for it;
	// Limit is the number that may run at once.
	Running, Queued, Limit int
	_                      struct{} `cbor:",toarray"`
}

// StepKind is what to do with a call next.
type StepKind uint8

// The kinds of steps.
const (
	// StepSend sends the call to Target.
	StepSend StepKind = iota + 1
	// StepDeliver hands the answer of the last attempt to the caller.
	StepDeliver
	// StepRefuse answers that the request has not run and never will.
	StepRefuse
	// StepFail answers that the request may have run.
	StepFail
	// StepUnknownRoute answers that no route takes the request.
	StepUnknownRoute
)

// Step is one decision on a call.
type Step struct {
	Kind   StepKind
	Target Target
	Reason Reason
	// RetryAfter is when a refused caller should come back, 0 if it should not.
	RetryAfter time.Duration
}
