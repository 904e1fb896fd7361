package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/shallotspool/shallotspool/core/fixedseed"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) { fixedseed.Run(m) }

// TestControllerInvariants applies random operations to a Controller. No run may
// start above the limit, the queue must keep its bound, no call may be lost or
// returned twice, and none may be refused for lack of space while a less important
// call waits.
func TestControllerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{Initial: 3, Min: 1, Max: 12, MaxQueue: 6, AdaptiveLimit: true, OrderByRank: true, LimitQueueTime: true}
		m := model{t: t, controller: New(cfg), waiting: map[uint64]Request{}}
		m.controller.SetClassCount(3)
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
			m.takeDecisions()
			if m.controller.Queued() != len(m.waiting) || m.controller.Queued() > cfg.MaxQueue {
				t.Fatalf("%d calls queued, want %d and at most %d", m.controller.Queued(), len(m.waiting), cfg.MaxQueue)
			}
		}
	})
}

// model tracks the calls that a Controller should have running and waiting.
type model struct {
	t          *rapid.T
	controller *Controller
	now        time.Duration
	lastID     uint64
	waiting    map[uint64]Request
	running    []uint64
}

func (m *model) offer() {
	m.lastID++
	req := Request{
		ID:       m.lastID,
		Rank:     RankOf(uint8(rapid.IntRange(0, 2).Draw(m.t, "class")), uint16(rapid.IntRange(0, 3).Draw(m.t, "priority"))),
		Deadline: m.now + time.Duration(rapid.IntRange(1, 400).Draw(m.t, "wait"))*time.Millisecond,
	}
	missesDeadline := m.controller.missesDeadline(m.now, req)
	switch m.controller.Offer(m.now, req) {
	case Admit:
		m.recordRun(req.ID)
	case Enqueue:
		m.waiting[req.ID] = req
	default:
		m.checkRefusal(req, missesDeadline)
	}
}

// checkRefusal fails if req was refused while a less important call waits, unless
// req would have missed its deadline.
func (m *model) checkRefusal(req Request, missesDeadline bool) {
	for _, other := range m.waiting {
		if !missesDeadline && other.Rank > req.Rank {
			m.t.Fatalf("a call of rank %d was refused while the less important rank %d waits", req.Rank, other.Rank)
		}
	}
}

func (m *model) recordRun(id uint64) {
	m.running = append(m.running, id)
	if m.controller.InFlight() > m.controller.Limit() || m.controller.InFlight() != len(m.running) {
		m.t.Fatalf("%d calls running, want %d and at most %d", m.controller.InFlight(), len(m.running), m.controller.Limit())
	}
}

func (m *model) finish() {
	if len(m.running) == 0 {
		return
	}
	selfTime := time.Duration(rapid.IntRange(1, 100).Draw(m.t, "own")) * time.Millisecond
	m.controller.Done(m.now, Sample{ID: m.running[0], SelfTime: selfTime, OK: rapid.Bool().Draw(m.t, "ok")})
	m.running = m.running[1:]
}

func (m *model) withdrawOrTick() {
	id := rapid.Uint64Range(1, m.lastID+1).Draw(m.t, "id")
	if _, waits := m.waiting[id]; waits {
		m.controller.Withdraw(id)
		delete(m.waiting, id)
		return
	}
	m.controller.Tick(m.now)
}

// takeDecisions takes all pending decisions on waiting calls.
func (m *model) takeDecisions() {
	for {
		req, d, ok := m.controller.NextDecision(m.now)
		if !ok {
			return
		}
		if _, waits := m.waiting[req.ID]; !waits {
			m.t.Fatalf("call %d was returned but does not wait", req.ID)
		}
		delete(m.waiting, req.ID)
		if d == Admit {
			m.recordRun(req.ID)
		}
	}
}
