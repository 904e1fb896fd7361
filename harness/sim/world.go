// Package sim runs the nodes' state machines under virtual time against small
// fakes: links that delay, lose and cut, upstreams with slots, and callers. One
// seed always gives the same run.
package sim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/shallotspool/shallotspool/core/document"
	"github.com/shallotspool/shallotspool/core/engine"
	"github.com/shallotspool/shallotspool/core/member"
	"github.com/shallotspool/shallotspool/core/owner"
)

// Link times, one way.
const (
	localDelay  = 200 * time.Microsecond
	centreDelay = time.Millisecond
	callerDelay = 8 * time.Millisecond
)

type timer struct {
	at  time.Duration
	seq uint64
	do  func()
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push is for container/heap only.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop is for container/heap only.
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = timer{}
	*h = old[:len(old)-1]
	return last
}

// Setup describes a world.
type Setup struct {
	Seed        uint64
	Document    []byte
	DataCentres int
	// Shape gives each service's upstreams, by service name.
	Shape map[string]Shape
	// Parallel lets upstreams make all their calls at once.
	Parallel bool
	// Configure may change a node's settings before it starts.
	Configure func(*engine.Config)
}

// World is everything that runs in one virtual time.
type World struct {
	Random *rand.Rand
	Stats  Stats
	Hosts  []*Host
	Doc    *document.Document
	// Cut tells which pairs of data centres have no connection.
	Cut func(a, b string) bool
	// Published gives the text that the platform shows a node, nil for none.
	Published func(h *Host) []byte
	// Loss and Copies are the shares of messages between nodes that are lost
	// and that come again after up to MaxDelay, which also disorders them.
	Loss, Copies float64
	MaxDelay     time.Duration
	// PlatformAway stops the platform's answers.
	PlatformAway bool
	// ListLag is how far the member list is behind.
	ListLag time.Duration
	// OnRun and OnAction see what upstreams start and what nodes ask for.
	OnRun    func(h *Host, r *engine.Request)
	OnAction func(h *Host, a engine.Action)
	// OnReply sees what callers of Offer are told of each of their sends, by the
	// node where it entered.
	OnReply func(entry *Host, send *engine.Request, r engine.Reply)

	setup   Setup
	now     time.Duration
	seq     uint64
	timers  timerHeap
	byName  map[string]*Host
	members []member.Instance
}

// NewWorld returns a world with one node beside each target of the document.
func NewWorld(s Setup) (*World, error) {
	doc, err := document.Parse(s.Document)
	if err != nil {
		return nil, err
	}
	w := &World{
		Random: rand.New(rand.NewPCG(s.Seed, 1)), Doc: doc, setup: s,
		byName: map[string]*Host{}, Cut: func(a, b string) bool { return false },
	}
	w.Published = func(*Host) []byte { return s.Document }
	w.Stats.init()
	for _, service := range doc.Services {
		for i := 1; i <= service.Targets; i++ {
			w.addHost(service.Name, owner.TargetName(service.Name, i), i)
		}
	}
	for _, h := range w.Hosts {
		h.Start()
	}
	return w, nil
}

func (w *World) addHost(service, target string, i int) {
	centre := fmt.Sprintf("dc%d", i%w.setup.DataCentres)
	h := newHost(w, service, target, centre)
	w.Hosts = append(w.Hosts, h)
	w.byName[target] = h
	w.members = append(w.members, member.Instance{Target: target, Service: service, DataCentre: centre})
}

// Now returns the virtual time.
func (w *World) Now() time.Duration { return w.now }

// Host returns the node of the named target.
func (w *World) Host(target string) *Host { return w.byName[target] }

// After runs do in d from now.
func (w *World) After(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.timers, timer{at: w.now + d, seq: w.seq, do: do})
}

// Run lets time pass until the given instant.
func (w *World) Run(until time.Duration) {
	for len(w.timers) > 0 && w.timers[0].at <= until {
		t := heap.Pop(&w.timers).(timer)
		w.now = t.at
		t.do()
	}
	w.now = until
}

// deliver carries something from one node to another; lost is called instead
// when the link is cut or loses it.
func (w *World) deliver(from, to *Host, do, lost func()) {
	delay := centreDelay
	if from.centre == to.centre {
		delay = localDelay
	}
	if w.Cut(from.centre, to.centre) || w.Loss > 0 && w.Random.Float64() < w.Loss {
		w.After(delay, lost)
		return
	}
	if w.MaxDelay > 0 && w.Random.IntN(8) == 0 {
		delay += time.Duration(w.Random.Int64N(int64(w.MaxDelay) / 64))
	}
	w.After(delay, do)
	if w.Copies > 0 && w.Random.Float64() < w.Copies {
		w.After(delay+time.Duration(w.Random.Int64N(int64(w.MaxDelay))), do)
	}
}

// jitter draws an exponential time of the given mean.
func (w *World) jitter(mean time.Duration) time.Duration {
	return time.Duration(w.Random.ExpFloat64() * float64(mean))
}
