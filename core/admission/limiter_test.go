package admission

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"
)

// simulatedRun is a call inside a simulatedUpstream; endsAt is set once it has a
// slot.
type simulatedRun struct {
	endsAt, startedAt time.Duration
	id                uint64
}

type runHeap []simulatedRun

func (h runHeap) Len() int           { return len(h) }
func (h runHeap) Less(i, j int) bool { return h[i].endsAt < h[j].endsAt }
func (h runHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *runHeap) Push(x any)        { *h = append(*h, x.(simulatedRun)) }
func (h *runHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// simulatedUpstream works on slots calls at once, each for an exponentially
// distributed time with the mean meanWork; further calls queue inside it.
type simulatedUpstream struct {
	controller *Controller
	random     *rand.Rand
	slots      int
	meanWork   time.Duration
	now        time.Duration
	running    runHeap
	queued     []simulatedRun
	lastID     uint64
	refused    int
	completed  int
}

func newSimulatedUpstream(seed uint64, slots int) *simulatedUpstream {
	cfg := Config{Initial: 20, Min: 1, Max: 2000, MaxQueue: 2000, AdaptiveLimit: true, OrderByRank: true, LimitQueueTime: true}
	return &simulatedUpstream{
		controller: New(cfg), random: rand.New(rand.NewPCG(seed, 7)), slots: slots, meanWork: 50 * time.Millisecond,
	}
}

func (u *simulatedUpstream) exponential(mean time.Duration) time.Duration {
	return time.Duration(u.random.ExpFloat64() * float64(mean))
}

func (u *simulatedUpstream) start(id uint64) {
	u.queued = append(u.queued, simulatedRun{startedAt: u.now, id: id})
	u.fillSlots()
}

func (u *simulatedUpstream) fillSlots() {
	for len(u.running) < u.slots && len(u.queued) > 0 {
		r := u.queued[0]
		u.queued = u.queued[1:]
		r.endsAt = u.now + u.exponential(u.meanWork)
		heap.Push(&u.running, r)
	}
}

func (u *simulatedUpstream) takeDecisions() {
	for {
		req, d, ok := u.controller.NextDecision(u.now)
		if !ok {
			return
		}
		if d == Admit {
			u.start(req.ID)
		} else {
			u.refused++
		}
	}
}

// run offers calls until the given time at load times the capacity of the
// upstream, and returns the mean limit over that time.
func (u *simulatedUpstream) run(load float64, until time.Duration) float64 {
	interarrival := func() time.Duration {
		return u.exponential(time.Duration(float64(u.meanWork) / float64(u.slots) / load))
	}
	arrival, tick := until+1, u.now // until+1: no arrivals
	if load > 0 {
		arrival = u.now + interarrival()
	}
	sum, count := 0.0, 0
	for {
		next := min(arrival, tick)
		if len(u.running) > 0 {
			next = min(next, u.running[0].endsAt)
		}
		if next > until {
			u.now = until
			return sum / float64(count)
		}
		u.now = next
		switch {
		case next == arrival:
			arrival += interarrival()
			u.offer()
		case next == tick:
			tick += 10 * time.Millisecond
			u.controller.Tick(u.now)
			sum, count = sum+u.controller.limiter.limit, count+1
		default:
			r := heap.Pop(&u.running).(simulatedRun)
			u.completed++
			u.fillSlots()
			u.controller.Done(u.now, Sample{ID: r.id, SelfTime: u.now - r.startedAt, OK: true})
		}
		u.takeDecisions()
	}
}

func (u *simulatedUpstream) offer() {
	u.lastID++
	req := Request{
		ID: u.lastID, Deadline: u.now + time.Second,
		Rank: RankOf(uint8(u.random.IntN(4)), uint16(u.random.IntN(Priorities))),
	}
	switch u.controller.Offer(u.now, req) {
	case Admit:
		u.start(req.ID)
	case Refuse:
		u.refused++
	}
}

const (
	// minLimit and maxLimit bound the adaptive limit during overload, as multiples
	// of the slots of the upstream.
	minLimit = 0.9
	maxLimit = 2.0
	// minCompletedShare is the least share of its capacity that the upstream has
	// to complete during overload.
	minCompletedShare = 0.9
	// maxRefusedShare is the highest ratio of refused to completed calls at ordinary
	// load.
	maxRefusedShare = 0.001
)

// checkOverload offers three times the capacity of the upstream. After the time
// settle it checks the mean limit and the share of the capacity that is completed.
func (u *simulatedUpstream) checkOverload(t *testing.T, phase string, settle time.Duration) {
	t.Helper()
	u.run(3, u.now+settle)
	completedBefore, duration := u.completed, 10*time.Second
	limit := u.run(3, u.now+duration) / float64(u.slots)
	capacity := duration.Seconds() / u.meanWork.Seconds() * float64(u.slots)
	share := float64(u.completed-completedBefore) / capacity
	if limit < minLimit || limit > maxLimit || share < minCompletedShare {
		t.Errorf("%s, %d slots: the limit is %.2f times the slots, want %.1f to %.1f; %.2f of the capacity completed, want %.1f or more",
			phase, u.slots, limit, minLimit, maxLimit, share, minCompletedShare)
	}
}

// TestLimitTracksSlots checks that the limit follows the capacity of an upstream
// through ordinary load, overload, idleness, a slow-down by a factor of four and
// the recovery from it.
func TestLimitTracksSlots(t *testing.T) {
	for _, slots := range []int{190, 55, 25, 16} {
		for seed := uint64(1); seed <= 3; seed++ {
			u := newSimulatedUpstream(seed, slots)
			u.run(0.7, 3*time.Second)
			u.checkOverload(t, "first overload", 6*time.Second)
			// The calls that remain from the overload may still change the limit.
			u.run(0, u.now+2*time.Second)
			before := u.controller.limiter.limit
			u.run(0, u.now+time.Minute)
			if u.controller.limiter.limit != before {
				t.Errorf("%d slots, idle: limit went from %.1f to %.1f, want no change", slots, before, u.controller.limiter.limit)
			}
			refused, completed := u.refused, u.completed
			u.run(0.7, u.now+20*time.Second)
			refused, completed = u.refused-refused, u.completed-completed
			if float64(refused) > maxRefusedShare*float64(completed) {
				t.Errorf("%d slots: %d refused and %d completed at ordinary load, want a ratio of at most %v", slots, refused, completed, maxRefusedShare)
			}
			u.checkOverload(t, "after idleness", 6*time.Second)
			u.meanWork *= 4
			u.checkOverload(t, "slowed", 6*time.Second)
			u.meanWork /= 4
			u.checkOverload(t, "recovered", 8*time.Second)
		}
	}
}

// TestShortRunNoiseKeepsLimit checks that the limit does not decrease when runs
// of 0.1 ms, one at a time, take six times as long in every second series of 200.
// Noise of the machine must not look like a queue inside the upstream.
func TestShortRunNoiseKeepsLimit(t *testing.T) {
	const usual, slow, gap = 100 * time.Microsecond, 600 * time.Microsecond, time.Millisecond
	l := newLimiter(Config{Initial: 20, Min: 1, Max: 1000})
	now := time.Duration(0)
	for i := range 20_000 {
		selfTime := usual
		if i/200%2 == 1 {
			selfTime = slow
		}
		lowConcurrency := l.isLowConcurrency(1)
		l.runStarted(now, 1)
		now += selfTime
		l.runDone(now, selfTime, selfTime, lowConcurrency)
		now += gap
		l.tick(now, false)
		if l.current() < 20 {
			t.Fatalf("the limit is %d after run %d, want 20 or more", l.current(), i)
		}
	}
}
