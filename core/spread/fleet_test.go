package spread_test

import (
	"fmt"
	"time"

	"github.com/shallotspool/shallotspool/core/document"
	"github.com/shallotspool/shallotspool/core/invariant"
	"github.com/shallotspool/shallotspool/core/member"
	"github.com/shallotspool/shallotspool/core/spread"
	"github.com/shallotspool/shallotspool/core/wire"
)

const (
	step  = 50 * time.Millisecond
	bound = 12 * time.Second
)

// fatalf is what testing.T and rapid.T have in common.
type fatalf interface {
	Helper()
	Fatalf(format string, args ...any)
}

// fleet runs a few Spreads against each other. A frame takes one step.
type fleet struct {
	t     fatalf
	now   time.Duration
	nodes []*node
	// platform gives what the platform shows a node; nil text means no answer.
	platform func(n *node) (uint64, []byte)
	cut      func(a, b *node) bool
	flying   []flight
	reads    int
	log      []string
	// checkApart lets texts be parsed elsewhere; the result takes a step.
	checkApart bool
}

type flight struct {
	from, to wire.NodeID
	frame    wire.Frame
}

type node struct {
	f       *fleet
	id      wire.NodeID
	alive   bool
	view    *member.View
	spread  *spread.Spread
	checker invariant.Checker
	history []uint64
	alone   bool
	checks  []check
}

type check struct {
	version uint64
	text    []byte
}

func text(version uint64, note string) []byte {
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

// newFleet starts n nodes, half of them in each of two data centres.
func newFleet(t fatalf, n int) *fleet {
	f := &fleet{t: t, now: time.Minute, cut: func(a, b *node) bool { return false }}
	f.publish(1, text(1, "a"))
	for i := range n {
		f.nodes = append(f.nodes, &node{f: f, id: wire.NodeID{Target: fmt.Sprintf("desk-%d", i+1)}})
	}
	for _, n := range f.nodes {
		n.start()
	}
	return f
}

func (f *fleet) publish(version uint64, text []byte) {
	f.platform = func(*node) (uint64, []byte) { return version, text }
}

func (n *node) centre() string { return fmt.Sprintf("dc%d", n.id.Target[len(n.id.Target)-1]%2) }

// start begins a run that remembers nothing.
func (n *node) start() {
	n.id.Incarnation++
	n.checks = nil
	n.alive, n.history, n.checker = true, nil, invariant.Checker{}
	n.view = member.NewView(member.Config{Self: n.id, Service: "desk", DataCentre: n.centre()})
	n.spread = spread.New(spread.Config{
		Self: n.id, DataCentre: n.centre(), Seed: uint64(len(n.id.Target)) + n.id.Incarnation, Ask: spread.DefaultAsk,
	}, n.f.now, n, n.view, &n.checker)
	var list []member.Instance
	for _, other := range n.f.nodes {
		list = append(list, member.Instance{Target: other.id.Target, Service: "desk", DataCentre: other.centre()})
	}
	n.view.Merge(n.f.now, list)
}

func (n *node) stop() { n.alive = false }

func (n *node) Send(to wire.NodeID, frame wire.Frame) {
	n.f.flying = append(n.f.flying, flight{n.id, to, frame})
}

func (n *node) ReadDocument() {
	n.f.reads++
	if version, text := n.f.platform(n); text != nil {
		n.spread.PlatformRead(n.f.now, version, text)
	}
}

func (n *node) Check(version uint64, text []byte) bool {
	if !n.f.checkApart {
		return false
	}
	n.checks = append(n.checks, check{version, text})
	return true
}

// finishChecks gives the results of the texts that were to be parsed elsewhere.
func (n *node) finishChecks() {
	checks := n.checks
	n.checks = nil
	for _, c := range checks {
		doc, err := document.Parse(c.text)
		n.spread.Checked(n.f.now, c.version, c.text, doc, err)
	}
}

func (n *node) InForce(d *document.Document) { n.history = append(n.history, uint64(d.Version)) }

func (n *node) Refused(uint64, string) {}

func (n *node) Alone() { n.alone = true }

func (f *fleet) find(target string) *node {
	for _, n := range f.nodes {
		if n.id.Target == target {
			return n
		}
	}
	return nil
}

// run lets time pass and checks at each step that no node goes back.
func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += step {
		f.link()
		flying := f.flying
		f.flying = nil
		for _, m := range flying {
			f.deliver(m)
		}
		for _, n := range f.nodes {
			if n.alive {
				n.finishChecks()
				n.view.Tick(f.now)
				n.spread.Tick(f.now)
			}
			n.check()
		}
	}
}

func (n *node) check() {
	for i := 1; i < len(n.history); i++ {
		if n.history[i] < n.history[i-1] {
			n.f.t.Fatalf("%s went back: %v", n.id.Target, n.history)
		}
	}
	if n.checker.Count() > 0 {
		n.f.t.Fatalf("%s: %v", n.id.Target, n.checker.Recent())
	}
}

// link opens and closes links as the network allows.
func (f *fleet) link() {
	for _, a := range f.nodes {
		for _, b := range f.nodes {
			if a == b || !a.alive {
				continue
			}
			up := b.alive && !f.cut(a, b)
			p := a.view.Peer(b.id.Target)
			if p.Linked == up && (!up || p.Incarnation == b.id.Incarnation) {
				continue
			}
			if greet := a.view.LinkChanged(f.now, b.id, up); greet != nil {
				a.spread.Greet(greet)
			}
		}
	}
}

func (f *fleet) deliver(m flight) {
	from, to := f.find(m.from.Target), f.find(m.to.Target)
	if !to.alive || to.id != m.to || f.cut(from, to) {
		return
	}
	p := to.view.Fresh(f.now, m.from)
	if p == nil {
		return
	}
	f.log = append(f.log, describe(m))
	switch {
	case m.frame.Digest != nil:
		to.spread.Digest(f.now, p, m.frame.Digest)
	case m.frame.Pull != nil:
		to.spread.Pull(f.now, p, m.frame.Pull.Have)
	case m.frame.Document != nil:
		to.spread.Text(f.now, m.frame.Document)
	}
}

func describe(m flight) string {
	link := m.from.Target + " -> " + m.to.Target + ": "
	switch f := m.frame; {
	case f.Digest != nil:
		return fmt.Sprintf("%sdigest of %d, refused %d %s", link, f.Digest.Version, f.Digest.Refused, f.Digest.Reason)
	case f.Pull != nil:
		return fmt.Sprintf("%spull, have %d", link, f.Pull.Have)
	default:
		return fmt.Sprintf("%sdocument %d", link, f.Document.Version)
	}
}

// want fails unless all live nodes have the version in force.
func (f *fleet) want(version uint64) {
	f.t.Helper()
	for _, n := range f.nodes {
		if n.alive && n.spread.Version() != version {
			f.t.Fatalf("%s has version %d in force, not %d (%v)", n.id.Target, n.spread.Version(), version, n.history)
		}
	}
}
