package admission

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestLowClassIsNotStarvedBesideImportant guards against a class that is served less than a
// quarter as often as all calls, because the calls of a more important one alone exceed the
// upstream. Each class offers three times what the upstream takes; calls above the level are
// refused at the entry.
func TestLowClassIsNotStarvedBesideImportant(t *testing.T) {
	const step, workTime, slots, offersPerStep = time.Millisecond, 20 * time.Millisecond, 10, 3
	const offerProbability = float64(slots) * float64(step) / float64(workTime)
	c := New(Config{Initial: slots, Min: 1, Max: slots, MaxQueue: 100, OrderByRank: true, LimitQueueTime: true})
	c.SetClassCount(2)
	random := rand.New(rand.NewPCG(1, 1))
	var offered, served [2]float64
	type run struct {
		id     uint64
		endsAt time.Duration
	}
	var running []run // in the order of their ends
	classes := []int{}
	for now := time.Duration(0); now < 20*time.Second; now += step {
		for len(running) > 0 && running[0].endsAt <= now {
			served[classes[running[0].id]]++
			c.Done(now, Sample{ID: running[0].id, SelfTime: workTime, OK: true})
			running = running[1:]
		}
		for i := range offersPerStep * len(offered) {
			class := i % len(offered)
			if random.Float64() >= offerProbability {
				continue
			}
			offered[class]++
			req := Request{ID: uint64(len(classes)), Rank: RankOf(uint8(class), uint16(random.IntN(Priorities))), Deadline: now + time.Second}
			if req.Rank > c.Level() {
				continue
			}
			classes = append(classes, class)
			if c.Offer(now, req) == Admit {
				running = append(running, run{req.ID, now + workTime})
			}
		}
		c.Tick(now)
		for req, d, ok := c.NextDecision(now); ok; req, d, ok = c.NextDecision(now) {
			if d == Admit {
				running = append(running, run{req.ID, now + workTime})
			}
		}
	}
	all := (served[0] + served[1]) / (offered[0] + offered[1])
	if low := served[1] / offered[1]; low < all/4 {
		t.Errorf("%.3f of the less important class served, of all %.3f, want at least a quarter of that", low, all)
	}
}
