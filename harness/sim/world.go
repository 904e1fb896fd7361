// Package sim runs the state machines of nodes in a deterministic simulation with
// virtual time. It simulates the network between nodes, with delays, losses and
// partitions, the upstreams, the platform and the callers. The same seed always
// gives the same run.
package sim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/shallotspool/shallotspool/core/document"
	"github.com/shallotspool/shallotspool/core/engine"
	"github.com/shallotspool/shallotspool/core/idempotency"
	"github.com/shallotspool/shallotspool/core/membership"
)

// One-way network delays: between instances in one data centre, between data
// centres, and between a caller and its entry node.
const (
	sameCentreDelay  = 200 * time.Microsecond
	crossCentreDelay = time.Millisecond
	callerDelay      = 8 * time.Millisecond
)

// timer is a scheduled action. seq orders timers of the same time.
type timer struct {
	at     time.Duration
	seq    uint64
	action func()
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

// Config configures a simulation.
type Config struct {
	Seed     uint64
	Document []byte
	// DataCentres is the number of data centres; the instances of each service are
	// distributed over them in turn.
	DataCentres int
	// Upstreams holds the capacity of the upstreams by service name.
	Upstreams map[string]UpstreamConfig
	// ParallelCalls tells whether an upstream makes all calls for a request at once.
	ParallelCalls bool
	// ConfigureNode may change the configuration of each node before it starts.
	ConfigureNode func(*engine.Config)
}

// World is the state of one simulation: all instances, the network between them
// and the virtual clock.
type World struct {
	Random   *rand.Rand
	Stats    Stats
	Hosts    []*Host
	Document *document.Document
	// Disconnected tells whether two data centres are disconnected.
	Disconnected func(a, b string) bool
	// PublishedDocument returns the document that the platform gives to a node, nil
	// for none.
	PublishedDocument func(h *Host) []byte
	// LossRatio and DuplicateRatio are the ratios of messages between nodes that are
	// lost and that are delivered twice. Duplicates require a MaxDuplicateDelay.
	LossRatio, DuplicateRatio float64
	// MaxDuplicateDelay is the maximum delay of a duplicate. If it is set, one in
	// eight messages is delayed by up to 1/64 of it, so messages may be reordered.
	MaxDuplicateDelay time.Duration
	// PlatformDown makes the platform unavailable.
	PlatformDown bool
	// MemberListDelay is the delay until the platform's member list shows that an
	// instance is leaving or no longer leaving.
	MemberListDelay time.Duration
	// OnRun is called when an upstream starts to run a request.
	OnRun func(h *Host, r *engine.Request)
	// OnAction is called for each action of a node.
	OnAction func(h *Host, a engine.Action)
	// OnReply is called when an entry node replies to a send of a caller's request.
	OnReply func(entry *Host, send *engine.Request, r engine.Reply)

	config        Config
	now           time.Duration
	seq           uint64
	timers        timerHeap
	hostsByTarget map[string]*Host
	members       []membership.Instance
}

// NewWorld returns a simulation with one running instance for each target of the
// document.
func NewWorld(config Config) (*World, error) {
	doc, err := document.Parse(config.Document)
	if err != nil {
		return nil, err
	}
	w := &World{
		Random: rand.New(rand.NewPCG(config.Seed, 1)), Document: doc, config: config,
		hostsByTarget: map[string]*Host{}, Disconnected: func(a, b string) bool { return false },
	}
	w.PublishedDocument = func(*Host) []byte { return config.Document }
	w.Stats.init()
	for _, service := range doc.Services {
		for i := 1; i <= service.TargetCount; i++ {
			w.addHost(service.Name, idempotency.TargetName(service.Name, i), i)
		}
	}
	for _, h := range w.Hosts {
		h.Start()
	}
	return w, nil
}

// addHost adds the instance with the given number within its service, without
// starting it.
func (w *World) addHost(service, target string, number int) {
	dataCentre := fmt.Sprintf("dc%d", number%w.config.DataCentres)
	h := newHost(w, service, target, dataCentre)
	w.Hosts = append(w.Hosts, h)
	w.hostsByTarget[target] = h
	w.members = append(w.members, membership.Instance{Target: target, Service: service, DataCentre: dataCentre})
}

// Now returns the virtual time.
func (w *World) Now() time.Duration { return w.now }

// Host returns the instance of the named target.
func (w *World) Host(target string) *Host { return w.hostsByTarget[target] }

// After runs action after the virtual time d.
func (w *World) After(d time.Duration, action func()) {
	w.seq++
	heap.Push(&w.timers, timer{at: w.now + d, seq: w.seq, action: action})
}

// RunUntil runs all actions up to the given virtual time and advances the clock to
// it.
func (w *World) RunUntil(until time.Duration) {
	for len(w.timers) > 0 && w.timers[0].at <= until {
		t := heap.Pop(&w.timers).(timer)
		w.now = t.at
		t.action()
	}
	w.now = until
}

// deliver runs arrive when a message from one node has reached another, a second
// time for a duplicate. If the network is partitioned or loses the message, it runs
// lost instead.
func (w *World) deliver(from, to *Host, arrive, lost func()) {
	delay := crossCentreDelay
	if from.dataCentre == to.dataCentre {
		delay = sameCentreDelay
	}
	if w.Disconnected(from.dataCentre, to.dataCentre) || w.LossRatio > 0 && w.Random.Float64() < w.LossRatio {
		w.After(delay, lost)
		return
	}
	if w.MaxDuplicateDelay > 0 && w.Random.IntN(8) == 0 {
		delay += time.Duration(w.Random.Int64N(int64(w.MaxDuplicateDelay) / 64))
	}
	w.After(delay, arrive)
	if w.DuplicateRatio > 0 && w.Random.Float64() < w.DuplicateRatio {
		w.After(delay+time.Duration(w.Random.Int64N(int64(w.MaxDuplicateDelay))), arrive)
	}
}

// exponentialTime returns an exponentially distributed random duration with the
// given mean.
func (w *World) exponentialTime(mean time.Duration) time.Duration {
	return time.Duration(w.Random.ExpFloat64() * float64(mean))
}
