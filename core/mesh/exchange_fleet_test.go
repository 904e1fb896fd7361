package mesh

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/shallotspool/shallotspool/core/registry"
	"github.com/shallotspool/shallotspool/core/route"
)

// exchangeFleet is a fleet of nodes that exchange messages under virtual time. Messages may be
// lost, delayed, reordered and duplicated; nodes may be killed, started, paused and cut off.
type exchangeFleet struct {
	now     time.Duration
	random  *rand.Rand
	members []*exchangeMember
	byIP    map[string]*exchangeMember
	queue   deliveries
	order   int
	table   *route.Table
	entries []registry.Change
	// lossRatio, duplicateRatio and maxDelay apply to every message.
	lossRatio, duplicateRatio float64
	maxDelay                  time.Duration
	// cut holds the pairs of data centres, sender first, between which messages are lost.
	cut map[[2]string]bool
	// betweenBytes counts the bytes of messages between data centres.
	betweenBytes int
}

// exchangeMember is one instance of an exchangeFleet.
type exchangeMember struct {
	node                         *Node
	ip, dataCentre, service      string
	incarnation                  int64
	alive, paused, isolated      bool
	tickOffset                   time.Duration
	sentBytes, receivedBytes     int
	killedAt, startedAt, pauseAt time.Duration
	// offset is subtracted from the time of the fleet to get the clock of the node, which
	// stands still while it is paused.
	offset time.Duration
	slots  int
	// demandPerTick is the number of requests that callers send to the node in each
	// ExchangeInterval.
	demandPerTick int
	// earlier is set for an instance whose node knows no relays. It does nothing but send its
	// heartbeat to all others and note from which of them heartbeats came.
	earlier bool
	sentAt  time.Duration
	heard   map[string]time.Duration
}

type delivery struct {
	at    time.Duration
	order int
	to    *exchangeMember
	from  *exchangeMember
	data  []byte
}

type deliveries []delivery

func (d deliveries) Len() int { return len(d) }
func (d deliveries) Less(i, j int) bool {
	return d[i].at < d[j].at || d[i].at == d[j].at && d[i].order < d[j].order
}
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *deliveries) Push(x any)   { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	old := *d
	last := old[len(old)-1]
	*d = old[:len(old)-1]
	return last
}

// newExchangeFleet returns a fleet of nodes of four services in several data centres.
func newExchangeFleet(nodes, dataCentres int, seed uint64) *exchangeFleet {
	f := &exchangeFleet{random: rand.New(rand.NewPCG(seed, 5)), byIP: map[string]*exchangeMember{}, cut: map[[2]string]bool{}, maxDelay: 3 * time.Millisecond}
	f.table = &route.Table{Version: 1, Services: map[string]route.Service{}}
	services := []string{"front", "middle", "wide", "deep"}
	for _, s := range services {
		f.table.Routes = append(f.table.Routes, testRoute(s, true))
	}
	f.table.BuildIndex()
	for i := range nodes {
		ip := fmt.Sprintf("10.1.%d.%d", i/250, i%250+1)
		m := &exchangeMember{
			ip: ip, dataCentre: fmt.Sprint("dc", i%dataCentres), service: services[i/dataCentres%len(services)], slots: 20,
			tickOffset: time.Duration(f.random.Int64N(int64(ExchangeInterval))),
		}
		f.members, f.byIP[ip] = append(f.members, m), m
		f.entries = append(f.entries, registry.Change{ID: "i-" + ip, Revision: uint64(i + 1), Upstream: &registry.Upstream{
			ID: "i-" + ip, Service: m.service, Address: ip + ":80", Instance: ip, DataCentre: m.dataCentre, Slots: m.slots, Revision: uint64(i + 1),
		}})
	}
	for _, m := range f.members {
		f.start(m)
	}
	return f
}

// start starts the node of an instance anew. It knows the table and all upstreams.
func (f *exchangeFleet) start(m *exchangeMember) {
	f.startEmpty(m)
	m.node.SetTable(f.now, f.table)
	m.node.Registry().Replace(f.now, f.entries, registry.Position{Revision: uint64(len(f.entries))})
	m.node.RegistryChanged()
}

// startEmpty starts the node of an instance anew, without any state.
func (f *exchangeFleet) startEmpty(m *exchangeMember) {
	m.incarnation = max(m.incarnation+1, int64(f.now/time.Microsecond)+1)
	m.node = New(Config{
		Instance: m.ip, Incarnation: m.incarnation, Service: m.service, DataCentre: m.dataCentre, Seed: f.random.Uint64(),
		RetryBounds: testRetryBounds, StartedAt: f.now,
	})
	m.alive, m.paused, m.offset, m.startedAt = true, false, 0, f.now
}

func (f *exchangeFleet) kill(m *exchangeMember) {
	m.alive, m.killedAt = false, f.now
}

func (f *exchangeFleet) pause(m *exchangeMember) {
	m.paused, m.pauseAt = true, f.now
}

// wake ends a pause. The clock of the node did not run meanwhile.
func (f *exchangeFleet) wake(m *exchangeMember) {
	m.paused = false
	m.offset += f.now - m.pauseAt
}

func (m *exchangeMember) running() bool { return m.alive && !m.paused }

// run advances the fleet. each is called after every step of ExchangeInterval.
func (f *exchangeFleet) run(d time.Duration, each func()) {
	for end := f.now + d; f.now < end; {
		step := f.now
		for _, m := range f.members {
			if m.running() {
				f.tick(m, step+m.tickOffset)
			}
		}
		f.now = step + ExchangeInterval
		f.deliver(f.now)
		if each != nil {
			each()
		}
	}
}

// tick lets a node plan and send its messages.
func (f *exchangeFleet) tick(m *exchangeMember, at time.Duration) {
	f.deliver(at)
	if m.earlier {
		f.tickEarlier(m, at)
		return
	}
	now := at - m.offset
	for i := range m.demandPerTick {
		m.node.StartCall(now, IncomingRequest{ID: fmt.Sprint(m.ip, now, i), Host: "h", Path: "/front/1", Fingerprint: uint64(i), Timeout: time.Second})
	}
	if (f.now/ExchangeInterval)%4 == time.Duration(len(m.ip)+int(m.ip[len(m.ip)-1]))%4 {
		m.node.UpdatePlan(now)
	} else {
		m.node.Replan(now)
	}
	for _, out := range m.node.DueMessages(now) {
		var encoded any = out.Message
		if out.Legacy {
			encoded = LegacyHeartbeat(*out.Message.Heartbeat)
		}
		data, err := cbor.Marshal(encoded)
		if err != nil || len(data) > MaxMessageBytes {
			panic(fmt.Sprintf("message of %d bytes, error %v", len(data), err))
		}
		for _, ip := range out.To {
			f.send(m, f.byIP[ip], at, data)
		}
	}
}

// earlierInterval is the interval of heartbeats of nodes that know no relays.
const earlierInterval = time.Second

// tickEarlier sends the heartbeat of a node that knows no relays.
func (f *exchangeFleet) tickEarlier(m *exchangeMember, at time.Duration) {
	if at < m.sentAt+earlierInterval {
		return
	}
	m.sentAt = at
	data, err := cbor.Marshal(LegacyHeartbeat{
		Incarnation: m.incarnation, Interval: earlierInterval, Service: m.service, Load: Load{Limit: concurrencyLimit(m.slots)},
	})
	if err != nil {
		panic(err)
	}
	for _, other := range f.members {
		if other != m {
			f.send(m, other, at, data)
		}
	}
}

const testDatagramHeader = 28

func (f *exchangeFleet) send(from, to *exchangeMember, at time.Duration, data []byte) {
	from.sentBytes += len(data) + testDatagramHeader
	if from.dataCentre != to.dataCentre {
		f.betweenBytes += len(data) + testDatagramHeader
	}
	if from.isolated || to.isolated || f.cut[[2]string{from.dataCentre, to.dataCentre}] || f.random.Float64() < f.lossRatio {
		return
	}
	copies := 1
	if f.random.Float64() < f.duplicateRatio {
		copies = 2
	}
	for range copies {
		f.order++
		delay := 200*time.Microsecond + time.Duration(f.random.Int64N(int64(f.maxDelay)))
		heap.Push(&f.queue, delivery{at: at + delay, order: f.order, to: to, from: from, data: data})
	}
}

// deliver delivers the messages that have arrived by a time.
func (f *exchangeFleet) deliver(until time.Duration) {
	for len(f.queue) > 0 && f.queue[0].at <= until {
		d := heap.Pop(&f.queue).(delivery)
		if !d.to.alive {
			continue
		}
		if d.to.paused {
			// The datagram waits in the socket's buffer.
			d.at = until + ExchangeInterval
			heap.Push(&f.queue, d)
			if d.at <= until {
				return
			}
			continue
		}
		d.to.receivedBytes += len(d.data) + testDatagramHeader
		d.to.receive(d.at-d.to.offset, d.from.ip, d.data)
	}
}

// receive passes a datagram to the node.
func (m *exchangeMember) receive(now time.Duration, from string, data []byte) {
	const cborArray = 4
	isArray := data[0]>>5 == cborArray
	var message Message
	var legacy LegacyHeartbeat
	switch {
	case m.earlier && isArray:
		m.heard[from] = now
	case m.earlier:
	case isArray:
		if err := cbor.Unmarshal(data, &legacy); err != nil {
			panic(err)
		}
		m.node.ReceiveLegacyHeartbeat(now, from, Heartbeat(legacy))
	default:
		if err := cbor.Unmarshal(data, &message); err != nil {
			panic(err)
		}
		m.node.ReceiveMessage(now, from, message)
	}
}

// clock returns the time on the clock of a node.
func (f *exchangeFleet) clock(m *exchangeMember) time.Duration { return f.now - m.offset }

func (f *exchangeFleet) countAlive(of func(*exchangeMember) bool) (count int) {
	for _, m := range f.members {
		if m.running() && !m.isolated && of(m) {
			count++
		}
	}
	return count
}

// knows reports what the plan of a node is based on: the numbers of nodes and of slots, in
// its own data centre and in the others.
func (f *exchangeFleet) knows(m *exchangeMember) (own, others int, slots float64) {
	known := m.node.fleetSums(f.clock(m))
	for _, part := range []*sums{known.own, known.others} {
		for _, s := range part.services {
			for _, c := range s.Capacities {
				slots += float64(c.Slots)
			}
		}
	}
	return known.own.nodes, known.others.nodes, slots
}
