package engine

import (
	"math/rand/v2"
	"time"

	"github.com/shallotspool/shallotspool/core/admission"
	"github.com/shallotspool/shallotspool/core/balancer"
	"github.com/shallotspool/shallotspool/core/budget"
	"github.com/shallotspool/shallotspool/core/document"
	"github.com/shallotspool/shallotspool/core/idempotency"
	"github.com/shallotspool/shallotspool/core/invariant"
	"github.com/shallotspool/shallotspool/core/membership"
	"github.com/shallotspool/shallotspool/core/poison"
	"github.com/shallotspool/shallotspool/core/replication"
	"github.com/shallotspool/shallotspool/core/statechart"
	"github.com/shallotspool/shallotspool/core/wire"
)

// TickInterval is the interval at which the runtime delivers Tick. Timeouts
// have this resolution.
const TickInterval = 10 * time.Millisecond

// The streams of random numbers that a node draws from Config.Seed. Stream 3
// belongs to package replication.
const (
	priorityStream = 2
	gossipStream   = 4
)

// Config holds the identity and the settings of a node.
type Config struct {
	Self       wire.NodeID
	Service    string
	DataCentre string
	Seed       uint64
	Policy     Policy
	Admission  admission.Config
	// PeerQueryTimeout is how long a node without a document queries its peers
	// before it accepts the platform's document without their answers; 0 skips
	// the query. The daemon uses replication.DefaultPeerQueryTimeout.
	PeerQueryTimeout time.Duration
	// AsyncParsing is true if the runtime handles ParseDocument, which parses
	// documents outside Step. Otherwise Step parses them itself.
	AsyncParsing bool
	// MaxCalls is the maximum number of open calls.
	MaxCalls int
	// Faults injects protocol faults and is set only in tests; nil injects
	// none.
	Faults *Faults
}

// Node is the state machine of one node. It is not safe for concurrent use.
type Node struct {
	cfg Config
	now time.Duration
	// actions collects the actions of the current Step.
	actions []Action
	// priorityRandom draws the priorities of calls that enter here.
	priorityRandom *rand.Rand

	doc              *document.Document
	view             *membership.View
	balancer         *balancer.Balancer
	admissionControl *admission.Controller
	// keyTable is nil until the first document is in force.
	keyTable        *idempotency.KeyTable
	keyIssuer       *idempotency.Issuer
	receivedSends   *idempotency.SendTable
	suspects        *poison.Table
	admissionLevels admissionLevels
	checker         invariant.Checker

	calls    map[CallID]*call
	attempts map[AttemptID]*attempt
	// deadlines orders the open calls by deadline.
	deadlines deadlineHeap
	// callsBySend finds the call that another node's send created. Cancel and
	// fence frames refer to calls by their send.
	callsBySend map[wire.SendID]*call
	// requestBudgets holds the retry tokens that are left for requests that
	// callers may send again.
	requestBudgets *budget.KeyedBudgets
	// serviceStates holds the measured latency and the retry limiter of each
	// service that this node sends calls to.
	serviceStates    map[string]*serviceState
	treeSizes        treeSizes
	lastAttemptID    AttemptID
	lastSendSequence uint64
	// ownedCalls finds the open call that holds an idempotency key;
	// pendingFences finds the unanswered fence of a send.
	ownedCalls    map[string]*call
	pendingFences map[wire.SendID]*pendingFence
	// trials holds the isolated runs of suspect requests, by fingerprint.
	trials map[uint64]*trial
	// peerStamps holds the latest stamp of each peer, by target name, for sends
	// to it.
	peerStamps map[string]peerStamp
	// pastKeyPartitions lists the earlier key partitions whose owners may still
	// remember keys.
	pastKeyPartitions []pastKeyPartition

	started time.Duration
	// catchUpUntil is when the node again accepts new non-idempotent calls from
	// callers after a pause.
	catchUpUntil time.Duration
	// upstreamClaims is what the upstream reports about itself, for Status.
	upstreamClaims upstreamClaims
	// reasonCounts counts the replies that have a reason, for Status.
	reasonCounts map[reasonKey]uint64

	documents *replication.Replicator
	// callees are the services that the node's own service calls, sorted.
	callees []string
	// lifecycle is the node's state chart. state is derived from the chart's
	// state after each event, see publishedStates.
	lifecycle    statechart.Machine
	state        wire.NodeState
	leavingSince time.Duration
	// nextHeartbeat, nextMaintenance and nextMembersRead are the times at which
	// each of these is due.
	nextHeartbeat       time.Duration
	nextMaintenance     time.Duration
	nextMembersRead     time.Duration
	membersReadInterval time.Duration
	// heartbeatCursor is the index of the link that got the last heartbeat, for
	// sending them round-robin.
	heartbeatCursor int
	// pendingMembers are member updates to be passed on to other nodes.
	pendingMembers []*wire.Member
	// gossipRandom chooses the recipients of member updates and adds jitter to
	// platform reads.
	gossipRandom *rand.Rand
}

// New returns a node that starts at time now.
func New(cfg Config, now time.Duration) *Node {
	n := &Node{
		cfg:           cfg,
		now:           now,
		started:       now,
		keyIssuer:     idempotency.NewIssuer(cfg.Self.Target, cfg.Self.Incarnation),
		receivedSends: idempotency.NewSendTable(maxReceivedSends),
		suspects:      poison.New(poison.Config{Retention: suspicionTTL, MaxRecords: maxSuspects}),
		ownedCalls:    map[string]*call{},
		pendingFences: map[wire.SendID]*pendingFence{},
		trials:        map[uint64]*trial{},
		peerStamps:    map[string]peerStamp{},
		// Attempt IDs must not collide with those of an earlier run of the
		// node, whose upstream may still work on the old attempts.
		lastAttemptID: AttemptID((cfg.Self.Incarnation - 1) << 32),
		view:          membership.NewView(membership.Config{Self: cfg.Self, Service: cfg.Service, DataCentre: cfg.DataCentre}),
		balancer: balancer.New(balancer.Config{
			Seed: cfg.Seed, SelfTarget: cfg.Self.Target, DataCentre: cfg.DataCentre,
			EjectOutliers: cfg.Policy.OutlierEjection, SlowStart: cfg.Policy.SlowStart, Spill: cfg.Policy.BoundedSpillover,
		}, now),
		priorityRandom:   rand.New(rand.NewPCG(cfg.Seed, priorityStream)),
		admissionControl: admission.New(cfg.admissionConfig()),
		admissionLevels:  newAdmissionLevels(),
		calls:            map[CallID]*call{},
		attempts:         map[AttemptID]*attempt{},
		callsBySend:      map[wire.SendID]*call{},
		reasonCounts:     map[reasonKey]uint64{},

		requestBudgets: budget.NewKeyedBudgets(maxRequestBudgets),
		serviceStates:  map[string]*serviceState{},

		lifecycle:    lifecycleChart.NewMachine(),
		state:        wire.NodeStarting,
		gossipRandom: rand.New(rand.NewPCG(cfg.Seed, gossipStream)),
	}
	n.documents = replication.New(replication.Config{
		Self: cfg.Self, DataCentre: cfg.DataCentre, Seed: cfg.Seed, PeerQueryTimeout: cfg.PeerQueryTimeout,
	}, now, documentAdapter{n}, n.view, &n.checker)
	return n
}

// Step processes one event that happened at now and returns the resulting
// actions in order. now must not decrease. The returned slice is valid until
// the next call of Step.
func (n *Node) Step(now time.Duration, ev Event) []Action {
	n.actions = n.actions[:0]
	n.advanceTime(max(n.now, now))
	switch ev := ev.(type) {
	case *CallArrived:
		n.callArrived(ev)
		n.processQueue()
	case *CallerGone:
		n.callerGone(ev.ID)
	case *AttemptAnswered:
		n.attemptAnswered(ev)
	case *AttemptFailed:
		n.attemptFailed(ev)
	case *FrameReceived:
		n.frameReceived(ev)
	case *LinkChanged:
		n.linkChanged(ev)
	case *DocumentRead:
		n.documentRead(ev)
	case *DocumentParsed:
		n.documentParsed(ev)
	case *MembersRead:
		n.membersRead(ev)
	case *Tick:
		n.tick()
	case *StopRequested:
		n.startDrain()
	case *UpstreamCrashed:
		n.upstreamCrashed()
	case *HealthReported:
		n.upstreamClaims.health = healthClaim(ev.Healthy)
	case *LoadReported:
		n.upstreamClaims.inFlight = &ev.InFlight
	}
	return n.actions
}

func (n *Node) emit(a Action) { n.actions = append(n.actions, a) }

// InvariantChecker returns the checker that holds the invariant violations of this
// node.
func (n *Node) InvariantChecker() *invariant.Checker { return &n.checker }
