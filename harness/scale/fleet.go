// Package scale measures the cost of the control plane per node and the time until a
// new document is in force on all nodes, in fleets of several sizes. It runs complete
// engines under virtual time and passes every frame through the wire codec.
package scale

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/shallotspool/shallotspool/core/admission"
	"github.com/shallotspool/shallotspool/core/document"
	"github.com/shallotspool/shallotspool/core/engine"
	"github.com/shallotspool/shallotspool/core/membership"
	"github.com/shallotspool/shallotspool/core/replication"
	"github.com/shallotspool/shallotspool/core/wire"
)

// The network delays, one way: within a data centre, within a region of several data
// centres, between regions, and to the platform.
const (
	dataCentreCount  = 14
	regionCount      = 4
	dataCentreDelay  = 250 * time.Microsecond
	regionDelay      = time.Millisecond
	interRegionDelay = 40 * time.Millisecond
	platformDelay    = 5 * time.Millisecond
	// frameOverhead is the size of the TCP, IP and WebSocket headers of a frame, in
	// bytes.
	frameOverhead = 60
)

// event is a function that runs at a virtual time. Events of the same time run in the
// order of seq.
type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

// eventQueue is a min-heap of events by time.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return last
}

// fleetTotals are sums over all nodes of a fleet.
type fleetTotals struct {
	frames          int
	bytes           int
	documents       int // frames that carry a document
	platformReads   int
	memberListReads int
	// cpuTime is the elapsed real time of the engine's steps and of the codec.
	cpuTime time.Duration
	// parseTime is the time spent on parsing documents, which is not part of cpuTime.
	parseTime time.Duration
}

// fleet holds all simulated nodes, the network and the platform's state.
type fleet struct {
	now           time.Duration
	seq           uint64
	events        eventQueue
	random        *rand.Rand
	hosts         []*host
	hostsByTarget map[string]*host
	memberList    []membership.Instance
	totals        fleetTotals
	// leaveObserver observes the node that leaves at the end of the run.
	leaveObserver leaveObserver

	// version and text are the document that the platform serves.
	version uint64
	text    []byte
}

// host is one simulated node.
type host struct {
	fleet     *fleet
	id        wire.NodeID
	placement placement
	region    int
	node      *engine.Node
	links     map[*host]bool
	// version is the version of the document in force, inForceAt when it came into force.
	inForceAt time.Duration
	version   uint64
	// slowestStep is the longest time that one engine step or one encoding or decoding
	// of a frame took.
	slowestStep time.Duration
}

// newFleet returns a started fleet with the given number of nodes.
func newFleet(nodes int, seed uint64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), hostsByTarget: map[string]*host{}, version: 1, text: documentText(nodes, 1)}
	for i, p := range placeNodes(nodes) {
		h := &host{fleet: f, id: wire.NodeID{Target: p.target, Incarnation: 1}, placement: p, region: i % dataCentreCount % regionCount, links: map[*host]bool{}}
		f.hosts = append(f.hosts, h)
		f.hostsByTarget[p.target] = h
		// Nothing connects to these addresses, but they are part of member frames and so
		// of the measured traffic.
		f.memberList = append(f.memberList, membership.Instance{
			Target: p.target, Service: p.service, DataCentre: p.dataCentre,
			PeerAddress: "10.000.000.001:7101", LinkAddress: "10.000.000.001:7102",
		})
	}
	for _, h := range f.hosts {
		h.start()
	}
	return f
}

// start creates the engine and starts its ticks at a random time within one second.
func (h *host) start() {
	h.node = engine.New(engine.Config{
		Self: h.id, Service: h.placement.service, DataCentre: h.placement.dataCentre, Seed: h.fleet.random.Uint64(),
		Policy: engine.FullPolicy(), Admission: admission.Config{Initial: 20, Min: 1, Max: 2000, MaxQueue: 2000},
		PeerQueryTimeout: replication.DefaultPeerQueryTimeout, AsyncParsing: true, MaxCalls: 20000,
	}, h.fleet.now)
	h.fleet.schedule(time.Duration(h.fleet.random.Int64N(int64(time.Second))), h.tick)
}

// tick passes a Tick to the engine and schedules the next one.
func (h *host) tick() {
	h.step(&engine.Tick{})
	h.fleet.schedule(engine.TickInterval, h.tick)
}

// schedule calls do after d of virtual time.
func (f *fleet) schedule(d time.Duration, do func()) {
	f.seq++
	heap.Push(&f.events, event{at: f.now + d, seq: f.seq, do: do})
}

// run runs the events up to the virtual time end. It stops early if done returns true.
func (f *fleet) run(end time.Duration, done func() bool) {
	for len(f.events) > 0 && f.events[0].at <= end && !done() {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.do()
	}
}

// neverDone is a condition that lets run continue to its end.
func neverDone() bool { return false }

// step passes an event to the engine and executes the resulting actions, which do not
// count as the engine's time.
func (h *host) step(ev engine.Event) {
	start := time.Now()
	actions := h.node.Step(h.fleet.now, ev)
	h.recordCPUTime(start)
	for _, a := range actions {
		h.execute(a)
	}
}

// recordCPUTime adds the elapsed time since start to the CPU time of the fleet and updates
// the slowest step of the node.
func (h *host) recordCPUTime(start time.Time) {
	elapsed := time.Since(start)
	h.fleet.totals.cpuTime += elapsed
	h.slowestStep = max(h.slowestStep, elapsed)
}

// execute executes an action of the engine.
func (h *host) execute(action engine.Action) {
	switch a := action.(type) {
	case *engine.SendFrame:
		h.sendFrame(a)
	case *engine.OpenLink:
		h.openLink(h.fleet.hostsByTarget[a.Target])
	case *engine.ReadPlatform:
		h.readPlatform(a.Resource)
	case *engine.ParseDocument:
		h.parseDocument(a)
	case *engine.Log:
		if a.Message == "document in force" {
			h.version, h.inForceAt = h.fleet.version, h.fleet.now
		}
	}
}

// parseDocument parses a document outside the engine, as the daemon does. The result
// arrives after as much virtual time as parsing really took.
func (h *host) parseDocument(a *engine.ParseDocument) {
	start := time.Now()
	doc, err := document.Parse(a.Text)
	elapsed := time.Since(start)
	h.fleet.totals.parseTime += elapsed
	h.fleet.schedule(elapsed, func() {
		h.step(&engine.DocumentParsed{Version: a.Version, Text: a.Text, Document: doc, Err: err})
	})
}

// delayTo returns the one-way network delay to another host.
func (h *host) delayTo(to *host) time.Duration {
	switch {
	case h.placement.dataCentre == to.placement.dataCentre:
		return dataCentreDelay
	case h.region == to.region:
		return regionDelay
	}
	return interRegionDelay
}

// openLink opens a link to another host, which takes one round trip.
func (h *host) openLink(to *host) {
	if h.links[to] {
		return
	}
	h.links[to], to.links[h] = true, true
	h.fleet.schedule(2*h.delayTo(to), func() {
		h.step(&engine.LinkChanged{Peer: to.id, Up: true})
		to.step(&engine.LinkChanged{Peer: h.id, Up: true})
	})
}

// sendFrame encodes a frame and delivers it after the network delay.
func (h *host) sendFrame(a *engine.SendFrame) {
	to := h.fleet.hostsByTarget[a.To.Target]
	start := time.Now()
	data, err := wire.Encode(&a.Frame)
	h.recordCPUTime(start)
	if err != nil || !h.links[to] {
		panic(fmt.Sprintf("frame from %s to %s: encoding error %v, linked %t", h.id.Target, a.To.Target, err, h.links[to]))
	}
	h.fleet.totals.frames++
	h.fleet.totals.bytes += len(data) + frameOverhead
	if a.Frame.Document != nil {
		h.fleet.totals.documents++
	}
	h.fleet.schedule(h.delayTo(to), func() { to.receive(h.id, data) })
}

// receive decodes a frame and passes it to the engine.
func (h *host) receive(from wire.NodeID, data []byte) {
	start := time.Now()
	frame, err := wire.Decode(data)
	h.recordCPUTime(start)
	if err != nil {
		panic(err)
	}
	h.fleet.leaveObserver.onFrame(h, from, frame)
	h.step(&engine.FrameReceived{From: from, Frame: *frame})
}

// readPlatform answers a read of the member list or the document after platformDelay.
func (h *host) readPlatform(r engine.Resource) {
	h.fleet.totals.platformReads++
	if r == engine.ResourceMembers {
		h.fleet.totals.memberListReads++
		h.fleet.schedule(platformDelay, func() { h.step(&engine.MembersRead{Instances: h.fleet.memberList}) })
		return
	}
	h.fleet.schedule(platformDelay, func() {
		h.step(&engine.DocumentRead{Version: documentVersion(h.fleet.version), Text: h.fleet.text})
	})
}
