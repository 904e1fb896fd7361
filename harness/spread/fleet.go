// Package spread measures what the control plane of one node costs, and how
// fast a document comes into force, in fleets of several sizes. It runs whole
// engines under virtual time; every frame goes through the wire codec.
package spread

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/shallotspool/shallotspool/core/admission"
	"github.com/shallotspool/shallotspool/core/document"
	"github.com/shallotspool/shallotspool/core/engine"
	"github.com/shallotspool/shallotspool/core/member"
	corespread "github.com/shallotspool/shallotspool/core/spread"
	"github.com/shallotspool/shallotspool/core/wire"
)

// The network, one way: within a data centre, within a region of a few data
// centres, and between regions.
const (
	dataCentres   = 14
	regions       = 4
	centreDelay   = 250 * time.Microsecond
	regionDelay   = time.Millisecond
	farDelay      = 40 * time.Millisecond
	platformDelay = 5 * time.Millisecond
	// frameOverhead is what TCP, IP and WebSocket add to a frame, in bytes.
	frameOverhead = 60
)

type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push is for container/heap only.
func (h *events) Push(x any) { *h = append(*h, x.(event)) }

// Pop is for container/heap only.
func (h *events) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return last
}

// totals are sums over the whole fleet.
type totals struct {
	frames    int
	bytes     int
	documents int
	reads     int
	listReads int
	cpu       time.Duration
	// parse is what parsing documents took, apart from the engines.
	parse time.Duration
}

type fleet struct {
	now    time.Duration
	seq    uint64
	events events
	random *rand.Rand
	hosts  []*host
	byName map[string]*host
	list   []member.Instance
	sum    totals
	// leaving is the node that leaves at the end of the run.
	leaving leaving

	version uint64
	text    []byte
}

type host struct {
	f      *fleet
	id     wire.NodeID
	place  place
	region int
	node   *engine.Node
	links  map[*host]bool
	// inForce is when the version published last came into force.
	inForce time.Duration
	version uint64
	// slowest is the longest a single step took, in processor time.
	slowest time.Duration
}

func newFleet(nodes int, seed uint64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), byName: map[string]*host{}, version: 1, text: text(nodes, 1)}
	for i, p := range places(nodes) {
		h := &host{f: f, id: wire.NodeID{Target: p.target, Incarnation: 1}, place: p, region: i % dataCentres % regions, links: map[*host]bool{}}
		f.hosts = append(f.hosts, h)
		f.byName[p.target] = h
		f.list = append(f.list, member.Instance{
			Target: p.target, Service: p.service, DataCentre: p.centre,
			PeerAddress: "10.000.000.001:7101", LinkAddress: "10.000.000.001:7102",
		})
	}
	for _, h := range f.hosts {
		h.start()
	}
	return f
}

func (h *host) start() {
	h.node = engine.New(engine.Config{
		Self: h.id, Service: h.place.service, DataCentre: h.place.centre, Seed: h.f.random.Uint64(),
		Policy: engine.Full(), Admission: admission.Config{Initial: 20, Min: 1, Max: 2000, MaxQueue: 2000},
		AskPeers: corespread.DefaultAsk, CheckApart: true, MaxCalls: 20000,
	}, h.f.now)
	h.f.after(time.Duration(h.f.random.Int64N(int64(time.Second))), h.tick)
}

func (h *host) tick() {
	h.step(&engine.Tick{})
	h.f.after(engine.TickInterval, h.tick)
}

func (f *fleet) after(d time.Duration, do func()) {
	f.seq++
	heap.Push(&f.events, event{at: f.now + d, seq: f.seq, do: do})
}

// run lets time pass until the instant, or until done says so.
func (f *fleet) run(until time.Duration, done func() bool) {
	for len(f.events) > 0 && f.events[0].at <= until && !done() {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.do()
	}
}

func never() bool { return false }

// step gives the node an event; only the engine's own time is counted.
func (h *host) step(ev engine.Event) {
	began := time.Now()
	actions := h.node.Step(h.f.now, ev)
	h.spent(began)
	for _, a := range actions {
		h.carryOut(a)
	}
}

func (h *host) spent(began time.Time) {
	took := time.Since(began)
	h.f.sum.cpu += took
	h.slowest = max(h.slowest, took)
}

func (h *host) carryOut(action engine.Action) {
	switch a := action.(type) {
	case *engine.SendFrame:
		h.send(a)
	case *engine.OpenLink:
		h.open(h.f.byName[a.Target])
	case *engine.ReadPlatform:
		h.read(a.Resource)
	case *engine.CheckDocument:
		h.check(a)
	case *engine.Log:
		if a.Message == "document in force" {
			h.version, h.inForce = h.f.version, h.f.now
		}
	}
}

// check parses a document as a daemon does: apart from the engine, and as slowly
// as it really is.
func (h *host) check(a *engine.CheckDocument) {
	began := time.Now()
	doc, err := document.Parse(a.Text)
	took := time.Since(began)
	h.f.sum.parse += took
	h.f.after(took, func() {
		h.step(&engine.DocumentChecked{Version: a.Version, Text: a.Text, Document: doc, Err: err})
	})
}

func (h *host) delayTo(to *host) time.Duration {
	switch {
	case h.place.centre == to.place.centre:
		return centreDelay
	case h.region == to.region:
		return regionDelay
	}
	return farDelay
}

func (h *host) open(to *host) {
	if h.links[to] {
		return
	}
	h.links[to], to.links[h] = true, true
	h.f.after(2*h.delayTo(to), func() {
		h.step(&engine.LinkChanged{Peer: to.id, Up: true})
		to.step(&engine.LinkChanged{Peer: h.id, Up: true})
	})
}

func (h *host) send(a *engine.SendFrame) {
	to := h.f.byName[a.To.Target]
	began := time.Now()
	data, err := wire.Encode(&a.Frame)
	h.spent(began)
	if err != nil || !h.links[to] {
		panic("a frame that cannot be sent")
	}
	h.f.sum.frames++
	h.f.sum.bytes += len(data) + frameOverhead
	if a.Frame.Document != nil {
		h.f.sum.documents++
	}
	h.f.after(h.delayTo(to), func() { to.receive(h.id, data) })
}

func (h *host) receive(from wire.NodeID, data []byte) {
	began := time.Now()
	frame, err := wire.Decode(data)
	h.spent(began)
	if err != nil {
		panic(err)
	}
	h.f.leaving.notice(h, from, frame)
	h.step(&engine.FrameReceived{From: from, Frame: *frame})
}

func (h *host) read(r engine.Resource) {
	h.f.sum.reads++
	if r == engine.ResourceMembers {
		h.f.sum.listReads++
		h.f.after(platformDelay, func() { h.step(&engine.MembersSeen{List: h.f.list}) })
		return
	}
	h.f.after(platformDelay, func() {
		h.step(&engine.DocumentSeen{Version: documentVersion(h.f.version), Text: h.f.text})
	})
}
