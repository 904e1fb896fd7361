package mesh

import (
	"testing"
	"time"
)

// TestCalmHeartbeatsAreShort: while the fleet is calm most heartbeats leave out
// what changes slowly, and the hearer keeps what it knew; under pressure all say
// everything.
func TestCalmHeartbeatsAreShort(t *testing.T) {
	nodes := newFleet(t, testRoute("a", true))
	teller, hearer := nodes[0], nodes[3]
	root := RouteID(testRoute("a", true))
	whole, partial := 0, 0
	play := func(from, to time.Duration, load Load) {
		whole, partial = 0, 0
		for now := from; now < to; now += HeartbeatInterval {
			teller.Hear(now, nodes[1].cfg.Instance, Heartbeat{Incarnation: 1, Service: "a", Load: load})
			teller.Plan(now)
			b := teller.Heartbeat(now)
			b.Roots = []RootStat{{Root: root, Busy: 2, Runs: 20}}
			teller.Beats(now, func(to Beat) {
				if to.Instance != hearer.cfg.Instance {
					return
				}
				hearer.Hear(now, teller.cfg.Instance, b.For(to))
				if to.Partial {
					partial++
				} else {
					whole++
				}
			})
			if got := hearer.peer(teller.cfg.Instance).beat.Roots; len(got) != 1 || got[0].Busy != 2 {
				t.Fatalf("at %v the hearer knows %+v", now, got)
			}
		}
	}
	play(time.Second, 11*time.Second, Load{Running: 1, Limit: 9})
	if whole > 7 || partial < 40 {
		t.Errorf("calm: %d whole heartbeats, %d partial ones", whole, partial)
	}
	play(11*time.Second, 21*time.Second, Load{Running: 18, Queued: 9, Limit: 18})
	if partial > 1 {
		t.Errorf("under pressure: %d whole heartbeats, %d partial ones", whole, partial)
	}
}
