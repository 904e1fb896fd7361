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

// DefaultPeerQueryTimeout is how long a node that starts without a document queries
// other nodes before it accepts the platform's document without their answers.
const DefaultPeerQueryTimeout = 3 * time.Second

// Runtime performs the input and output of a Replicator. The engine implements it.
type Runtime interface {
	// Send sends a frame over the link to a node.
	Send(to wire.NodeID, f wire.Frame)
	// ReadDocument requests one read of the document from the platform.
	ReadDocument()
	// ParseAsync requests that a text be parsed asynchronously, because parsing a
	// long text takes longer than one engine call may block. The result of the
	// parse is delivered to Replicator.HandleParsed. ParseAsync returns false if
	// the text must be parsed synchronously.
	ParseAsync(version uint64, text []byte) bool
	// DocumentInForce is called with each document that comes into force.
	DocumentInForce(d *document.Document)
	// DocumentRejected is called when a document is rejected.
	DocumentRejected(version uint64, reason string)
	// PeerQueryExpired is called when the query of other nodes ends by its deadline,
	// because too few answered or the platform's document stayed older than theirs.
	PeerQueryExpired()
}

// Config holds the settings of one node's replication.
type Config struct {
	Self       wire.NodeID
	DataCentre string
	Seed       uint64
	// PeerQueryTimeout is how long other nodes are queried before the platform's
	// document is accepted; 0 accepts it immediately.
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

	parse     pendingParse
	query     peerQuery
	pull      pendingPull
	rejection rejectionState
	reads     readSchedule
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

// New returns the Replicator of a node that starts at now without a document.
func New(cfg Config, now time.Duration, rt Runtime, view *membership.View, checker *invariant.Checker) *Replicator {
	r := &Replicator{
		cfg: cfg, runtime: rt, view: view, invariants: checker, now: now,
		random: rand.New(rand.NewPCG(cfg.Seed, 3)), machine: documentChart.NewMachine(),
	}
	r.query.deadline = now + cfg.PeerQueryTimeout
	r.reads.nextReadAt = now
	if cfg.PeerQueryTimeout == 0 {
		r.fireEvent(eventAskExpired)
		return r
	}
	// Stagger the first reads: many nodes may start together, and most of
	// them get the document from another node.
	r.reads.nextReadAt += time.Duration(r.random.Int64N(int64(cfg.PeerQueryTimeout)))
	return r
}

// Version returns the version in force, 0 if there is none.
func (r *Replicator) Version() uint64 {
	if r.doc == nil {
		return 0
	}
	return uint64(r.doc.Version)
}

// Hash returns the hash of the text in force, 0 if there is none.
func (r *Replicator) Hash() uint64 { return r.hash }

// Rejection returns the highest version currently reported as rejected and the
// reason; the version is 0 if there is none.
func (r *Replicator) Rejection() (version uint64, reason string) {
	return r.rejection.version, r.rejection.reason
}

// StateName returns the current state of the state chart "document".
func (r *Replicator) StateName() string { return r.machine.StateName() }

// HandlePlatformRead handles the result of one read of the platform. version is 0
// if the platform did not state one; text is nil if the platform has no text other
// than the one in force.
func (r *Replicator) HandlePlatformRead(now time.Duration, version uint64, text []byte) {
	r.now = max(r.now, now)
	r.reads.recordOwnRead(r.now)
	if text == nil {
		return
	}
	if r.machine.State() == stateAsking {
		r.query.holdPlatformText(version, text)
		return
	}
	r.handleText(version, text)
}

// handleText processes a text from the platform or from another node. Texts that
// are already known and texts of older versions are dropped without being
// parsed; a known rejected text extends the rejection.
func (r *Replicator) handleText(version uint64, text []byte) {
	hash := xxhash.Sum64(text)
	switch {
	case r.doc != nil && (hash == r.hash || version != 0 && version < r.Version()):
		return
	case r.rejection.contains(hash):
		r.rejection.extend(r.now)
		return
	}
	if r.parse.inProgress(r.now, hash) {
		return
	}
	if r.runtime.ParseAsync(version, text) {
		r.parse = pendingParse{hash: hash, version: version, startedAt: r.now}
		return
	}
	doc, err := document.Parse(text)
	r.handleParseResult(version, text, hash, doc, err)
}

// handleParseResult rejects a text that is invalid or states another version
// than it was published as, and applies any other.
func (r *Replicator) handleParseResult(version uint64, text []byte, hash uint64, doc *document.Document, err error) {
	switch {
	case err != nil:
		r.reject(version, hash, rejectionReason(err))
	case version != 0 && uint64(doc.Version) != version:
		r.reject(version, hash, "the text states another version than it was published as")
	default:
		r.applyDocument(doc, text, hash)
	}
}

// applyDocument puts a valid document in force unless the present one takes
// precedence. Of two texts with the same version the one with the lower hash
// wins, so that all nodes choose the same one.
func (r *Replicator) applyDocument(doc *document.Document, text []byte, hash uint64) {
	version := uint64(doc.Version)
	switch {
	case version < r.Version():
		return
	case version == r.Version() && hash > r.hash:
		r.reject(version, hash, reasonDuplicateVersion)
		return
	case version == r.Version():
		// The text in force loses.
		r.reject(version, r.hash, reasonDuplicateVersion)
	}
	r.invariants.Check(version >= r.Version(), invariant.Violation{
		Name: invariant.DocumentVersionNeverDecreases, Detail: "an older document would come into force",
	})
	r.doc, r.text, r.hash = doc, text, hash
	r.fireEvent(eventAccepted)
}

const reasonDuplicateVersion = "another text with the same version exists; the one with the lower hash counts"

// fireEvent passes an event to the state chart and carries out the resulting
// actions.
func (r *Replicator) fireEvent(e statechart.Event) {
	for _, a := range r.machine.Fire(e) {
		switch a {
		case actionPutInForce:
			r.putInForce()
		case actionReportRefused:
			r.runtime.DocumentRejected(r.rejection.version, r.rejection.reason)
		case actionTakeOffered:
			r.handleHeldText()
		case actionReportAlone:
			if r.cfg.PeerQueryTimeout > 0 {
				r.runtime.PeerQueryExpired()
			}
		}
	}
}

// putInForce makes r.doc effective and announces it to linked nodes.
func (r *Replicator) putInForce() {
	r.pull = pendingPull{}
	r.query = peerQuery{}
	r.rejection.clearBelow(r.Version())
	r.runtime.DocumentInForce(r.doc)
	r.announceChange()
}
