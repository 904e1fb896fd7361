// Package engine is the state machine of one node. It is pure: it starts no
// goroutine, reads no clock and draws only from the seed it was given, so one
// sequence of events always gives the same sequence of actions. The daemon runs
// it over sockets, the tests and measurements under virtual time.
package engine

import (
	"math/rand/v2"
	"time"

	"github.com/shallotspool/shallotspool/core/admission"
	"github.com/shallotspool/shallotspool/core/balancer"
	"github.com/shallotspool/shallotspool/core/budget"
	"github.com/shallotspool/shallotspool/core/chart"
	"github.com/shallotspool/shallotspool/core/document"
	"github.com/shallotspool/shallotspool/core/invariant"
	"github.com/shallotspool/shallotspool/core/member"
	"github.com/shallotspool/shallotspool/core/owner"
	"github.com/shallotspool/shallotspool/core/poison"
	"github.com/shallotspool/shallotspool/core/spread"
	"github.com/shallotspool/shallotspool/core/wire"
)

// TickInterval is how often the runtime sends a Tick; timeouts are as exact as
// this.
const TickInterval = 10 * time.Millisecond

// Config is what a node knows of itself.
type Config struct {
	Self       wire.NodeID
	Service    string
	DataCentre string
	Seed       uint64
	Policy     Policy
	Admission  admission.Config
	// AskPeers is how long a node that remembers no document asks others before
	// it takes the platform's word; 0 means that it asks nobody. A daemon uses
	// spread.DefaultAsk.
	AskPeers time.Duration
	// CheckApart tells that the runtime carries out CheckDocument; otherwise
	// documents are parsed within Step.
	CheckApart bool
	// MaxCalls is the number of calls the node holds at once.
	MaxCalls int
	// Faults breaks promises on purpose, in tests only; nil breaks none.
	Faults *Faults
}

// Node is the state machine. It is not safe for concurrent use.
type Node struct {
	cfg Config
	now time.Duration
	out []Action
	// random draws priorities.
	random *rand.Rand

	doc      *document.Document
	view     *member.View
	balancer *balancer.Balancer
	guard    *admission.Controller
	keys     *owner.Table
	issuer   *owner.Issuer
	receipts *owner.Receipts
	suspects *poison.Table
	levels   levels
	checker  invariant.Checker

	calls    map[CallID]*call
	attempts map[AttemptID]*attempt
	// deadlines orders the open calls by deadline.
	deadlines deadlineHeap
	// sends finds the attempt that another node's send led to, for Cancel.
	sends map[wire.SendID]*call
	// allotments remembers what resent requests may still spend.
	allotments *budget.Memory
	// services holds the caller's side of the services this node sends to.
	services map[string]*serviceState
	trees    treeSizes
	nextID   AttemptID
	nextSend uint64
	// owned finds the call that runs a key, and fences the open question about
	// a send.
	owned  map[string]*call
	fences map[wire.SendID]*fence
	// trials are the runs of suspect requests, by fingerprint.
	trials map[uint64]*trial
	// stamps holds the latest stamp of each peer, by target name.
	stamps map[string]heardStamp
	moved  []movedKeys

	started time.Duration
	// wokeUntil is when the node has caught up after a pause.
	wokeUntil time.Duration
	claims    claims
	// refused counts refusals for Status.
	refused map[refusal]uint64

	documents *spread.Spread
	// callees are the services that the own one calls, sorted.
	callees []string
	// life lives by the chart of nodes; state is what others are told of it.
	life         chart.Machine
	state        wire.NodeState
	leavingSince time.Duration
	// heartbeat, controlAt and listAt are when the next of each is due.
	heartbeat time.Duration
	controlAt time.Duration
	listAt    time.Duration
	listWait  time.Duration
	// beat goes round the links with the heartbeats.
	beat int
	// news are members still to be told of.
	news []*wire.Member
	// spreadOut draws whom to tell and when to read the platform.
	spreadOut *rand.Rand
}

// New returns a node that starts at now.
func New(cfg Config, now time.Duration) *Node {
	n := &Node{
		cfg:      cfg,
		now:      now,
		started:  now,
		issuer:   owner.NewIssuer(cfg.Self.Target, cfg.Self.Incarnation),
		receipts: owner.NewReceipts(maxReceipts),
		suspects: poison.New(poison.Config{Remember: suspicionLasts, Max: maxSuspects}),
		owned:    map[string]*call{},
		fences:   map[wire.SendID]*fence{},
		trials:   map[uint64]*trial{},
		stamps:   map[string]heardStamp{},
		// Attempts of an earlier run of the node must not be taken for these.
		nextID: AttemptID((cfg.Self.Incarnation - 1) << 32),
		view:   member.NewView(member.Config{Self: cfg.Self, Service: cfg.Service, DataCentre: cfg.DataCentre}),
		balancer: balancer.New(balancer.Config{
			Seed: cfg.Seed, Self: cfg.Self.Target, DataCentre: cfg.DataCentre,
			Outliers: cfg.Policy.Outliers, SlowStart: cfg.Policy.SlowStart, Spill: cfg.Policy.Spill,
		}, now),
		random:   rand.New(rand.NewPCG(cfg.Seed, 2)),
		guard:    admission.New(cfg.guardConfig()),
		levels:   newLevels(),
		calls:    map[CallID]*call{},
		attempts: map[AttemptID]*attempt{},
		sends:    map[wire.SendID]*call{},
		refused:  map[refusal]uint64{},

		allotments: budget.NewMemory(maxAllotments),
		services:   map[string]*serviceState{},

		life:      lifeChart.Start(),
		state:     wire.NodeStarting,
		spreadOut: rand.New(rand.NewPCG(cfg.Seed, 4)),
	}
	n.documents = spread.New(spread.Config{
		Self: cfg.Self, DataCentre: cfg.DataCentre, Seed: cfg.Seed, Ask: cfg.AskPeers,
	}, now, documentRuntime{n}, n.view, &n.checker)
	return n
}

// Step takes one event that happened at now and returns what is to be done
// about it, in order. now never goes back. The slice is the engine's own until
// the next Step.
func (n *Node) Step(now time.Duration, ev Event) []Action {
	n.out = n.out[:0]
	n.notePause(max(n.now, now))
	switch ev := ev.(type) {
	case *CallArrived:
		n.arrive(ev)
		n.drainQueue()
	case *CallerGone:
		n.callerGone(ev.ID)
	case *AttemptAnswered:
		n.answered(ev)
	case *AttemptFailed:
		n.failed(ev)
	case *FrameReceived:
		n.frame(ev)
	case *LinkChanged:
		n.linkChanged(ev)
	case *DocumentSeen:
		n.documentSeen(ev)
	case *DocumentChecked:
		n.documentChecked(ev)
	case *MembersSeen:
		n.membersSeen(ev)
	case *Tick:
		n.tick()
	case *StopRequested:
		n.stop()
	case *UpstreamCrashed:
		n.upstreamCrashed()
	case *HealthSeen:
		n.claims.health = claimsOf(ev.Healthy)
	case *LoadSeen:
		n.claims.inFlight = &ev.InFlight
	}
	return n.out
}

func (n *Node) emit(a Action) { n.out = append(n.out, a) }

// Violations returns the broken invariants this node has seen.
func (n *Node) Violations() *invariant.Checker { return &n.checker }
