package replication_test

import (
	"fmt"
	"time"

	"github.com/shallotspool/shallotspool/core/document"
	"github.com/shallotspool/shallotspool/core/invariant"
	"github.com/shallotspool/shallotspool/core/membership"
	"github.com/shallotspool/shallotspool/core/replication"
	"github.com/shallotspool/shallotspool/core/wire"
)

// step is the simulated time per iteration. convergenceTime is enough for all
// nodes to agree once nothing disturbs them.
const (
	step            = 50 * time.Millisecond
	convergenceTime = 12 * time.Second
)

// testingT is the common interface of testing.T and rapid.T.
type testingT interface {
	Helper()
	Fatalf(format string, args ...any)
}

// fleet simulates nodes that replicate documents to each other. A frame takes
// one step to arrive.
type fleet struct {
	t     testingT
	now   time.Duration
	nodes []*node
	// platform returns what the platform answers to a node; a nil text is no
	// answer.
	platform func(n *node) (uint64, []byte)
	isCut    func(a, b *node) bool
	inFlight []message
	reads    int
	log      []string
	// parseAsync makes nodes parse texts asynchronously; the result takes one
	// step.
	parseAsync bool
}

// message is a frame on its way.
type message struct {
	from, to wire.NodeID
	frame    wire.Frame
}

// node is a simulated node. It implements replication.Runtime.
type node struct {
	fleet      *fleet
	id         wire.NodeID
	alive      bool
	view       *membership.View
	replicator *replication.Replicator
	checker    invariant.Checker
	// versions are those that came into force in the current run.
	versions      []uint64
	queryExpired  bool
	pendingParses []parseRequest
}

// parseRequest is a text to be parsed asynchronously.
type parseRequest struct {
	version uint64
	text    []byte
}

func documentText(version uint64, note string) []byte {
	return fmt.Appendf(nil, `version: %d
name: test
classes: [only]
resend_window: 5s
answers: {bytes: 4096, keys: 10}
services:
  desk:
    targets: 9
    routes:
      list: {method: GET, path: /%s, class: only, idempotent: true, wait: 1s}
`, version, note)
}

// newFleet starts n nodes, alternating between two data centres.
func newFleet(t testingT, n int) *fleet {
	f := &fleet{t: t, now: time.Minute, isCut: func(a, b *node) bool { return false }}
	f.publish(1, documentText(1, "a"))
	for i := range n {
		f.nodes = append(f.nodes, &node{fleet: f, id: wire.NodeID{Target: fmt.Sprintf("desk-%d", i+1)}})
	}
	for _, n := range f.nodes {
		n.start()
	}
	return f
}

func (f *fleet) publish(version uint64, text []byte) {
	f.platform = func(*node) (uint64, []byte) { return version, text }
}

func (n *node) dataCentre() string { return fmt.Sprintf("dc%d", n.id.Target[len(n.id.Target)-1]%2) }

// start begins a new run of the node without any state.
func (n *node) start() {
	n.id.Incarnation++
	n.pendingParses = nil
	n.alive, n.versions, n.checker = true, nil, invariant.Checker{}
	n.view = membership.NewView(membership.Config{Self: n.id, Service: "desk", DataCentre: n.dataCentre()})
	n.replicator = replication.New(replication.Config{
		Self: n.id, DataCentre: n.dataCentre(), Seed: uint64(len(n.id.Target)) + n.id.Incarnation, PeerQueryTimeout: replication.DefaultPeerQueryTimeout,
	}, n.fleet.now, n, n.view, &n.checker)
	var list []membership.Instance
	for _, other := range n.fleet.nodes {
		list = append(list, membership.Instance{Target: other.id.Target, Service: "desk", DataCentre: other.dataCentre()})
	}
	n.view.MergeList(n.fleet.now, list)
}

func (n *node) stop() { n.alive = false }

func (n *node) Send(to wire.NodeID, frame wire.Frame) {
	n.fleet.inFlight = append(n.fleet.inFlight, message{n.id, to, frame})
}

func (n *node) ReadDocument() {
	n.fleet.reads++
	if version, text := n.fleet.platform(n); text != nil {
		n.replicator.HandlePlatformRead(n.fleet.now, version, text)
	}
}

func (n *node) ParseAsync(version uint64, text []byte) bool {
	if !n.fleet.parseAsync {
		return false
	}
	n.pendingParses = append(n.pendingParses, parseRequest{version, text})
	return true
}

// completeParses delivers the results of the asynchronous parses.
func (n *node) completeParses() {
	requests := n.pendingParses
	n.pendingParses = nil
	for _, r := range requests {
		doc, err := document.Parse(r.text)
		n.replicator.HandleParsed(n.fleet.now, r.version, r.text, doc, err)
	}
}

func (n *node) DocumentInForce(d *document.Document) {
	n.versions = append(n.versions, uint64(d.Version))
}

func (n *node) DocumentRejected(uint64, string) {}

func (n *node) PeerQueryExpired() { n.queryExpired = true }

func (f *fleet) node(target string) *node {
	for _, n := range f.nodes {
		if n.id.Target == target {
			return n
		}
	}
	return nil
}

// advance runs the simulation for the duration d and checks the invariants of
// each node after each step.
func (f *fleet) advance(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += step {
		f.updateLinks()
		arriving := f.inFlight
		f.inFlight = nil
		for _, m := range arriving {
			f.deliver(m)
		}
		for _, n := range f.nodes {
			if n.alive {
				n.completeParses()
				n.view.Tick(f.now)
				n.replicator.Tick(f.now)
			}
			n.checkInvariants()
		}
	}
}

// checkInvariants fails if the version in force decreased within the current
// run.
func (n *node) checkInvariants() {
	for i := 1; i < len(n.versions); i++ {
		if n.versions[i] < n.versions[i-1] {
			n.fleet.t.Fatalf("%s: version in force decreased: %v", n.id.Target, n.versions)
		}
	}
	if n.checker.Count() > 0 {
		n.fleet.t.Fatalf("%s: violations: %v", n.id.Target, n.checker.First())
	}
}

// updateLinks opens and closes links according to isCut and the nodes' state.
func (f *fleet) updateLinks() {
	for _, a := range f.nodes {
		for _, b := range f.nodes {
			if a == b || !a.alive {
				continue
			}
			up := b.alive && !f.isCut(a, b)
			p := a.view.Peer(b.id.Target)
			if p.Linked == up && (!up || p.Incarnation == b.id.Incarnation) {
				continue
			}
			if greet := a.view.LinkChanged(f.now, b.id, up); greet != nil {
				a.replicator.SendDigest(greet)
			}
		}
	}
}

func (f *fleet) deliver(m message) {
	from, to := f.node(m.from.Target), f.node(m.to.Target)
	if !to.alive || to.id != m.to || f.isCut(from, to) {
		return
	}
	p := to.view.RecordFrame(f.now, m.from)
	if p == nil {
		return
	}
	f.log = append(f.log, describe(m))
	switch {
	case m.frame.Digest != nil:
		to.replicator.HandleDigest(f.now, p, m.frame.Digest)
	case m.frame.DocumentRequest != nil:
		to.replicator.HandleDocumentRequest(f.now, p, m.frame.DocumentRequest.KnownVersion)
	case m.frame.Document != nil:
		to.replicator.HandleDocument(f.now, m.frame.Document)
	}
}

func describe(m message) string {
	link := m.from.Target + " -> " + m.to.Target + ": "
	switch f := m.frame; {
	case f.Digest != nil:
		return fmt.Sprintf("%sdigest of %d, refused %d %s", link, f.Digest.Version, f.Digest.RejectedVersion, f.Digest.RejectionReason)
	case f.DocumentRequest != nil:
		return fmt.Sprintf("%spull, have %d", link, f.DocumentRequest.KnownVersion)
	default:
		return fmt.Sprintf("%sdocument %d", link, f.Document.Version)
	}
}

// expectVersion fails unless all live nodes have the version in force.
func (f *fleet) expectVersion(version uint64) {
	f.t.Helper()
	for _, n := range f.nodes {
		if n.alive && n.replicator.Version() != version {
			f.t.Fatalf("%s has version %d in force, want %d (so far: %v)", n.id.Target, n.replicator.Version(), version, n.versions)
		}
	}
}
