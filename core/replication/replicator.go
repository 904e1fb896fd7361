// Package replication replicates the configuration document among the nodes and
// decides which version a node has in force. A few reader nodes in each data
// centre poll the platform. All other nodes learn of a newer version from the
// digests and heartbeats of linked nodes and pull its text from one of them. The
// version in force never decreases, whatever is received and from whom.
package replication

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shallotspool/shallotspool/core/document"
	"github.com/shallotspool/shallotspool/core/invariant"
	"github.com/shallotspool/shallotspool/core/membership"
	"github.com/shallotspool/shallotspool/core/statechart"
	"github.com/shallotspool/shallotspool/core/wire"
)

// DefaultPeerQueryTimeout is how long a node that starts without a document queries other
// nodes before it accepts the platform's document without their answers.
const DefaultPeerQueryTimeout = 3 * time.Second

// Runtime carries out what the replication of documents requests. The engine
// implements it.
type Runtime interface {
	// Send sends a frame over the link to a node.
	Send(to wire.NodeID, f wire.Frame)
	// ReadDocument requests one read of the document from the platform.
	ReadDocument()
	// ParseAsync requests that a text be parsed asynchronously, because parsing a
	// long text takes longer than one engine call may block. The result is
	// delivered to Replicator.HandleParsed. A false result means that the text must be
	// parsed synchronously.
	ParseAsync(version uint64, text []byte) bool
	// DocumentInForce is called with each document that comes into force.
	DocumentInForce(d *document.Document)
	// DocumentRefused is called when a document is refused.
	DocumentRefused(version uint64, reason string)
	// NoPeerAnswered is called when the platform's document is accepted because no other
	// node answered in time.
	NoPeerAnswered()
}

// Config holds the settings of one node's replication.
type Config struct {
	Self       wire.NodeID
	DataCentre string
	Seed       uint64
	// PeerQueryTimeout is how long other nodes are queried before the platform's document is
	// accepted; 0 accepts it immediately.
	PeerQueryTimeout time.Duration
}

// Replicator replicates the document on behalf of one node. It is not safe for
// concurrent use; it belongs to the engine.
type Replicator struct {
	cfg        Config
	runtime    Runtime
	view       *membership.View
	invariants *invariant.Checker
	random     *rand.Rand
	now        time.Duration

	machine statechart.Machine
	// doc is the document in force, nil if there is none; text is its source and
	// hash the hash of text.
	doc  *document.Document
	text []byte
	hash uint64

	parse   pendingParse
	query   peerQuery
	pull    pendingPull
	refusal refusalState
	reads   readSchedule
	// nextDigestAt is when the next periodic digests are due. lastDigestPeer is
	// the index of the linked node that received the last digest, for
	// round-robin selection.
	nextDigestAt   time.Duration
	lastDigestPeer int
}

// Events of the state chart "document", in the order of documentChart.
const (
	eventAccepted statechart.Event = iota
	eventRefused
	eventPeersAnswered
	eventAskExpired
)

// Actions of the state chart "document", in the order of documentChart.
const (
	actionPutInForce statechart.Action = iota
	actionReportRefused
	actionTakeOffered
	actionReportAlone
)

var documentChart = statechart.MustLoadBuiltIn("document", statechart.Names{
	Events:  []string{"accepted", "refused", "peers_answered", "ask_expired"},
	Actions: []string{"put_in_force", "report_refused", "take_offered", "report_alone"},
})

var stateAsking = documentChart.MustState("asking")

// New returns the replication state of a node that starts at now without a
// document.
func New(cfg Config, now time.Duration, rt Runtime, view *membership.View, checker *invariant.Checker) *Replicator {
	s := &Replicator{
		cfg: cfg, runtime: rt, view: view, invariants: checker, now: now,
		random: rand.New(rand.NewPCG(cfg.Seed, 3)), machine: documentChart.NewMachine(),
	}
	s.query.deadline = now + cfg.PeerQueryTimeout
	s.reads.nextReadAt = now
	if cfg.PeerQueryTimeout == 0 {
		s.fireEvent(eventAskExpired)
		return s
	}
	// Stagger the first reads: many nodes may start together, and most of
	// them get the document from another node.
	s.reads.nextReadAt += time.Duration(s.random.Int64N(int64(cfg.PeerQueryTimeout)))
	return s
}

// Version returns the version in force, 0 if there is none.
func (s *Replicator) Version() uint64 {
	if s.doc == nil {
		return 0
	}
	return uint64(s.doc.Version)
}

// Hash returns the hash of the text in force, 0 if there is none.
func (s *Replicator) Hash() uint64 { return s.hash }

// Refusal returns the highest version currently reported as refused and the
// reason; the version is 0 if there is none.
func (s *Replicator) Refusal() (version uint64, reason string) {
	return s.refusal.version, s.refusal.reason
}

// StateName returns the current state of the state chart "document".
func (s *Replicator) StateName() string { return s.machine.StateName() }

// HandlePlatformRead handles the result of one read of the platform. version is 0 if
// the platform did not state one; text is nil if the platform has no text other
// than the one in force.
func (s *Replicator) HandlePlatformRead(now time.Duration, version uint64, text []byte) {
	s.now = max(s.now, now)
	s.reads.recordOwnRead(s.now)
	if text == nil {
		return
	}
	if s.machine.State() == stateAsking {
		s.query.holdPlatformText(version, text)
		return
	}
	s.handleText(version, text)
}

// handleText processes a text from the platform or from another node. Texts that
// are already known and texts of older versions are dropped without being
// parsed.
func (s *Replicator) handleText(version uint64, text []byte) {
	hash := xxhash.Sum64(text)
	switch {
	case s.doc != nil && (hash == s.hash || version != 0 && version < s.Version()):
		return
	case s.refusal.contains(hash):
		s.refusal.extend(s.now)
		return
	}
	if s.parse.inProgress(s.now, hash) {
		return
	}
	if s.runtime.ParseAsync(version, text) {
		s.parse = pendingParse{hash: hash, version: version, startedAt: s.now}
		return
	}
	doc, err := document.Parse(text)
	s.handleParseResult(version, text, hash, doc, err)
}

// handleParseResult refuses a text that is invalid or states another version
// than it was published as, and applies any other.
func (s *Replicator) handleParseResult(version uint64, text []byte, hash uint64, doc *document.Document, err error) {
	switch {
	case err != nil:
		s.refuse(version, hash, refusalReason(err))
	case version != 0 && uint64(doc.Version) != version:
		s.refuse(version, hash, "the text states another version than it was published as")
	default:
		s.applyDocument(doc, text, hash)
	}
}

// applyDocument puts a valid document in force unless the present one takes
// precedence. Of two texts with the same version the one with the lower hash
// wins, so that all nodes choose the same one.
func (s *Replicator) applyDocument(doc *document.Document, text []byte, hash uint64) {
	version := uint64(doc.Version)
	switch {
	case version < s.Version():
		return
	case version == s.Version() && hash > s.hash:
		s.refuse(version, hash, reasonDuplicateVersion)
		return
	case version == s.Version():
		s.refuse(version, s.hash, reasonDuplicateVersion)
	}
	s.invariants.Check(version >= s.Version(), invariant.Violation{
		Name: invariant.DocumentVersionIncreases, Detail: "an older document would come into force",
	})
	s.doc, s.text, s.hash = doc, text, hash
	s.fireEvent(eventAccepted)
}

const reasonDuplicateVersion = "another text with the same version exists; the one with the lower hash counts"

// fireEvent passes an event to the state chart and carries out the resulting
// actions.
func (s *Replicator) fireEvent(e statechart.Event) {
	for _, a := range s.machine.Fire(e) {
		switch a {
		case actionPutInForce:
			s.putInForce()
		case actionReportRefused:
			s.runtime.DocumentRefused(s.refusal.version, s.refusal.reason)
		case actionTakeOffered:
			s.handleHeldText()
		case actionReportAlone:
			if s.cfg.PeerQueryTimeout > 0 {
				s.runtime.NoPeerAnswered()
			}
		}
	}
}

// putInForce makes s.doc effective and announces it to linked nodes.
func (s *Replicator) putInForce() {
	s.pull = pendingPull{}
	s.query = peerQuery{}
	s.refusal.clearBelow(s.Version())
	s.runtime.DocumentInForce(s.doc)
	s.announceChange()
}
