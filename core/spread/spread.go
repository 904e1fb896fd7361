// Package spread decides which document a node has in force. A few readers in
// each data centre read the platform; everyone else learns of a newer version
// from the nodes it has links to, and pulls the text from one of them. Whatever
// comes, from whomever, the version in force never goes back. A Spread is not
// safe for concurrent use; the engine owns it.
package spread

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shallotspool/shallotspool/core/chart"
	"github.com/shallotspool/shallotspool/core/document"
	"github.com/shallotspool/shallotspool/core/invariant"
	"github.com/shallotspool/shallotspool/core/member"
	"github.com/shallotspool/shallotspool/core/wire"
)

// DefaultAsk is how long a node that remembers nothing asks others before it
// takes the platform's word alone.
const DefaultAsk = 3 * time.Second

// Runtime is what a Spread acts on; the engine is the one that implements it.
type Runtime interface {
	// Send sends a frame on a link.
	Send(to wire.NodeID, f wire.Frame)
	// ReadDocument asks for one read of the platform.
	ReadDocument()
	// Check asks for a text to be parsed elsewhere, for a long one takes longer
	// than a call may wait; Checked takes the result. It returns false when it
	// has to be parsed here and now.
	Check(version uint64, text []byte) bool
	// InForce is called with each document that comes into force.
	InForce(d *document.Document)
	// Refused is called when a document is refused.
	Refused(version uint64, reason string)
	// Alone is called when the platform's word counts because no other node
	// answered in time.
	Alone()
}

// Config is what a Spread knows of its node.
type Config struct {
	Self       wire.NodeID
	DataCentre string
	Seed       uint64
	// Ask is how long others are asked before the platform's word counts; 0
	// means it counts at once.
	Ask time.Duration
}

// Spread is one node's part in the spreading of documents.
type Spread struct {
	cfg     Config
	rt      Runtime
	view    *member.View
	checker *invariant.Checker
	random  *rand.Rand
	now     time.Duration

	life chart.Machine
	doc  *document.Document
	text []byte
	hash uint64

	check   checking
	ask     asking
	pull    pulling
	refused refusal
	reads   reading
	// digestAt is when the next digests are due; turn goes round the links.
	digestAt time.Duration
	turn     int
}

// The events and actions of the chart of documents, in the order of lifeChart.
const (
	eventAccepted chart.Event = iota
	eventRefused
	eventPeersAnswered
	eventAskExpired
)

const (
	actionPutInForce chart.Action = iota
	actionReportRefused
	actionTakeOffered
	actionReportAlone
)

var lifeChart = chart.MustBuiltIn("document", chart.Names{
	Events:  []string{"accepted", "refused", "peers_answered", "ask_expired"},
	Actions: []string{"put_in_force", "report_refused", "take_offered", "report_alone"},
})

var stateAsking = lifeChart.State("asking")

// New returns a Spread without a document, of a node that starts at now.
func New(cfg Config, now time.Duration, rt Runtime, view *member.View, checker *invariant.Checker) *Spread {
	s := &Spread{
		cfg: cfg, rt: rt, view: view, checker: checker, now: now,
		random: rand.New(rand.NewPCG(cfg.Seed, 3)), life: lifeChart.Start(),
	}
	s.ask.until = now + cfg.Ask
	s.reads.readAt = now
	if cfg.Ask == 0 {
		s.fire(eventAskExpired)
		return s
	}
	// Many nodes may start together, and most get the document from another.
	s.reads.readAt += time.Duration(s.random.Int64N(int64(cfg.Ask)))
	return s
}

// Version returns the version in force, 0 if there is none.
func (s *Spread) Version() uint64 {
	if s.doc == nil {
		return 0
	}
	return uint64(s.doc.Version)
}

// Hash returns a hash of the text in force, 0 if there is none.
func (s *Spread) Hash() uint64 { return s.hash }

// Refused returns the highest version that is shown as refused, and why; the
// version is 0 if there is none.
func (s *Spread) Refused() (version uint64, reason string) {
	return s.refused.version, s.refused.reason
}

// StateName returns the state of the chart of documents.
func (s *Spread) StateName() string { return s.life.StateName() }

// PlatformRead takes what one read of the platform gave. version is 0 when the
// platform did not say, and text nil when it has nothing else than what is in
// force.
func (s *Spread) PlatformRead(now time.Duration, version uint64, text []byte) {
	s.now = max(s.now, now)
	s.reads.seen(s.now)
	if text == nil {
		return
	}
	if s.life.State() == stateAsking {
		s.ask.hold(version, text)
		return
	}
	s.offer(version, text)
}

// offer takes a text from anywhere. Known texts and late ones cost no parsing.
func (s *Spread) offer(version uint64, text []byte) {
	hash := xxhash.Sum64(text)
	switch {
	case s.doc != nil && (hash == s.hash || version != 0 && version < s.Version()):
		return
	case s.refused.knows(hash):
		s.refused.renew(s.now)
		return
	}
	if s.check.open(s.now, hash) {
		return
	}
	if s.rt.Check(version, text) {
		s.check = checking{hash: hash, version: version, at: s.now}
		return
	}
	doc, err := document.Parse(text)
	s.judge(version, text, hash, doc, err)
}

// judge takes what the parsing of a text gave.
func (s *Spread) judge(version uint64, text []byte, hash uint64, doc *document.Document, err error) {
	switch {
	case err != nil:
		s.refuse(version, hash, reasonOf(err))
	case version != 0 && uint64(doc.Version) != version:
		s.refuse(version, hash, "the text states another version than it was published as")
	default:
		s.decide(doc, text, hash)
	}
}

// decide compares a valid document with the one in force. Of two texts with one
// version the one with the lower hash counts, at every node alike.
func (s *Spread) decide(doc *document.Document, text []byte, hash uint64) {
	version := uint64(doc.Version)
	switch {
	case version < s.Version():
		return
	case version == s.Version() && hash > s.hash:
		s.refuse(version, hash, reasonTwin)
		return
	case version == s.Version():
		s.refuse(version, s.hash, reasonTwin)
	}
	s.checker.Check(version >= s.Version(), invariant.Violation{
		Name: invariant.DocumentOrder, Detail: "an older document would come into force",
	})
	s.doc, s.text, s.hash = doc, text, hash
	s.fire(eventAccepted)
}

const reasonTwin = "another text with the same version exists; the one with the lower hash counts"

func (s *Spread) fire(e chart.Event) {
	for _, a := range s.life.Fire(e) {
		switch a {
		case actionPutInForce:
			s.putInForce()
		case actionReportRefused:
			s.rt.Refused(s.refused.version, s.refused.reason)
		case actionTakeOffered:
			s.takeOffered()
		case actionReportAlone:
			if s.cfg.Ask > 0 {
				s.rt.Alone()
			}
		}
	}
}

func (s *Spread) putInForce() {
	s.pull = pulling{}
	s.ask = asking{}
	s.refused.settle(s.Version())
	s.rt.InForce(s.doc)
	s.announce()
}
