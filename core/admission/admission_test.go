package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/shallotspool/shallotspool/core/fixedseed"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) { fixedseed.Run(m) }

// TestControllerKeepsItsPromises drives a Controller at random: no run begins
// over the limit, the queue keeps its bound, no item is lost or told twice, and
// none is refused for lack of room while a worse one waits.
func TestControllerKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{Initial: 3, Min: 1, Max: 12, MaxQueue: 6, Adaptive: true, Ranked: true, Timed: true}
		m := model{t: t, c: New(cfg), waiting: map[uint64]Item{}}
		m.c.SetClasses(3)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			m.now += time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1, 2:
				m.offer()
			case 3:
				m.finish()
			default:
				m.withdrawOrTick()
			}
			m.drain()
			if m.c.Queued() != len(m.waiting) || m.c.Queued() > cfg.MaxQueue {
				t.Fatalf("%d queued, %d known to wait", m.c.Queued(), len(m.waiting))
			}
		}
	})
}

type model struct {
	t       *rapid.T
	c       *Controller
	now     time.Duration
	nextID  uint64
	waiting map[uint64]Item
	running []uint64
}

func (m *model) offer() {
	m.nextID++
	item := Item{
		ID:       m.nextID,
		Rank:     RankOf(uint8(rapid.IntRange(0, 2).Draw(m.t, "class")), uint16(rapid.IntRange(0, 3).Draw(m.t, "priority"))),
		Deadline: m.now + time.Duration(rapid.IntRange(1, 400).Draw(m.t, "wait"))*time.Millisecond,
	}
	hopeless := m.c.hopeless(m.now, item)
	switch m.c.Offer(m.now, item) {
	case Run:
		m.runs(item.ID)
	case Wait:
		m.waiting[item.ID] = item
	default:
		m.refusedFairly(item, hopeless)
	}
}

func (m *model) refusedFairly(item Item, hopeless bool) {
	for _, other := range m.waiting {
		if !hopeless && other.Rank > item.Rank {
			m.t.Fatalf("refused rank %d while %d waits", item.Rank, other.Rank)
		}
	}
}

func (m *model) runs(id uint64) {
	m.running = append(m.running, id)
	if m.c.InFlight() > m.c.Limit() || m.c.InFlight() != len(m.running) {
		m.t.Fatalf("%d run, %d known to, limit %d", m.c.InFlight(), len(m.running), m.c.Limit())
	}
}

func (m *model) finish() {
	if len(m.running) == 0 {
		return
	}
	own := time.Duration(rapid.IntRange(1, 100).Draw(m.t, "own")) * time.Millisecond
	m.c.Done(m.now, Sample{ID: m.running[0], Own: own, OK: rapid.Bool().Draw(m.t, "ok")})
	m.running = m.running[1:]
}

func (m *model) withdrawOrTick() {
	id := rapid.Uint64Range(1, m.nextID+1).Draw(m.t, "id")
	if _, waits := m.waiting[id]; waits {
		m.c.Withdraw(id)
		delete(m.waiting, id)
		return
	}
	m.c.Tick(m.now)
}

func (m *model) drain() {
	for {
		item, d, ok := m.c.Next(m.now)
		if !ok {
			return
		}
		if _, waits := m.waiting[item.ID]; !waits {
			m.t.Fatalf("item %d told twice", item.ID)
		}
		delete(m.waiting, item.ID)
		if d == Run {
			m.runs(item.ID)
		}
	}
}
