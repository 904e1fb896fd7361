package mesh

import (
	"testing"
	"time"
)

// TestHeartbeatsArePartialBelowCapacity checks that most heartbeats are partial while
// all services are well below capacity, that the receiver keeps the omitted
// statistics, and that all heartbeats are full near capacity.
func TestHeartbeatsArePartialBelowCapacity(t *testing.T) {
	nodes := newFleet(t, testRoute("a", true))
	sender, receiver := nodes[0], nodes[3]
	root := RouteID(testRoute("a", true))
	full, partial := 0, 0
	exchange := func(from, to time.Duration, load Load) {
		full, partial = 0, 0
		for now := from; now < to; now += HeartbeatInterval {
			sender.ReceiveHeartbeat(now, nodes[1].cfg.Instance, Heartbeat{Incarnation: 1, Service: "a", Load: load})
			sender.UpdatePlan(now)
			h := sender.Heartbeat(now)
			h.Roots = []RootStat{{Root: root, SlotsInUse: 2, RunRate: 20}}
			sender.DueHeartbeats(now, func(to DueHeartbeat) {
				if to.Instance != receiver.cfg.Instance {
					return
				}
				receiver.ReceiveHeartbeat(now, sender.cfg.Instance, h.For(to))
				if to.Partial {
					partial++
				} else {
					full++
				}
			})
			if got := receiver.peer(sender.cfg.Instance).heartbeat.Roots; len(got) != 1 || got[0].SlotsInUse != 2 {
				t.Fatalf("at %v: receiver has roots %+v, want those of the last full heartbeat", now, got)
			}
		}
	}
	// 10 s have 50 heartbeats. Below capacity a full one is due every 2 s.
	exchange(time.Second, 11*time.Second, Load{Running: 1, Limit: 9})
	if full > 7 || partial < 40 {
		t.Errorf("below capacity: %d full heartbeats, %d partial, want at most 7 and at least 40", full, partial)
	}
	exchange(11*time.Second, 21*time.Second, Load{Running: 18, Queued: 9, Limit: 18})
	if partial > 1 {
		t.Errorf("near capacity: %d full heartbeats, %d partial, want at most 1 partial", full, partial)
	}
}

// TestRestartWithClockSetBackIsHeard guards against a node that is ignored by all others
// after a restart, because its clock was set back and its incarnation is lower than before.
func TestRestartWithClockSetBackIsHeard(t *testing.T) {
	nodes := newFleet(t, testRoute("a", true))
	receiver, sender := nodes[0], nodes[1].cfg.Instance
	receiver.ReceiveHeartbeat(time.Second, sender, Heartbeat{Incarnation: 200, Interval: HeartbeatInterval, Revision: 1})
	late := time.Second + 2*HeartbeatInterval
	receiver.ReceiveHeartbeat(late, sender, Heartbeat{Incarnation: 100, Interval: HeartbeatInterval, Revision: 2})
	if got := receiver.peer(sender).heartbeat.Revision; got != 1 {
		t.Errorf("revision %d, want 1: the heartbeat is a late one of an earlier run", got)
	}
	restarted := time.Second + (maxMissedHeartbeats+2)*HeartbeatInterval
	receiver.ReceiveHeartbeat(restarted, sender, Heartbeat{Incarnation: 100, Interval: HeartbeatInterval, Revision: 3})
	if got := receiver.peer(sender).heartbeat.Revision; got != 3 {
		t.Errorf("revision %d, want 3: the later run has ended", got)
	}
}
