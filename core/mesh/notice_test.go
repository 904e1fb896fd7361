package mesh

import (
	"testing"
	"time"

	"github.com/shallotspool/shallotspool/core/concurrency"
	"github.com/shallotspool/shallotspool/core/registry"
)

// countStarts offers requests at the rate of 100 a second and returns how many run.
func countStarts(n *Node, from, d time.Duration) (started int) {
	for now := from; now < from+d; now += 10 * time.Millisecond {
		w := Work{ID: uint64(now), RequestID: now.String(), Deadline: now + time.Second}
		if n.OfferWork(now, w) == concurrency.Admit {
			started++
			n.WorkDone(now, w, time.Millisecond, RunSucceeded)
			continue
		}
		n.WorkRefused(w)
	}
	return started
}

// TestLimitEndsWithTheAnswersThatNameIt checks that a limit holds from the answer that
// names it to the first that does not, or until another upstream has taken the place.
func TestLimitEndsWithTheAnswersThatNameIt(t *testing.T) {
	n := newFleet(t, testRoute("a", true))[0]
	limited := Notice{RateLimit: 5, Limited: true}
	n.RecordNotice(0, limited)
	if got := countStarts(n, time.Second, 4*time.Second); got > 25 || got < 15 {
		t.Errorf("%d requests in 4 s under a limit of 5 a second, want about 20", got)
	}
	if got := n.Load().Limit; got != 1 {
		t.Errorf("reported limit %d, want 1, as 5 short requests a second keep less than one slot busy", got)
	}
	n.RecordNotice(5*time.Second, Notice{})
	if got := countStarts(n, 6*time.Second, time.Second); got != 100 {
		t.Errorf("%d of 100 requests ran after the limit ended, want all", got)
	}
	n.RecordNotice(7*time.Second, limited)
	next := *n.ownRegistration()
	next.Born++
	next.Revision = 20
	n.Registry().Apply(0, []registry.Change{{ID: next.ID, Revision: 20, Upstream: &next}})
	n.RegistryChanged()
	if got := countStarts(n, 8*time.Second, time.Second); got != 100 {
		t.Errorf("%d of 100 requests ran at the next upstream, want all", got)
	}
}

// TestRestartedNodeLearnsLimitFromOthers guards against a burst at an upstream in need
// just after the node beside it has restarted, before the first answer.
func TestRestartedNodeLearnsLimitFromOthers(t *testing.T) {
	nodes := newFleet(t, testRoute("a", true))
	entry := nodes[3]
	c, step := entry.StartCall(time.Second, IncomingRequest{ID: "r", Host: "h", Path: "/a/1"})
	if step.Target.Limited {
		t.Fatal("a limit is known before any answer")
	}
	instance := step.Target.Instance
	entry.EndAttempt(time.Second, c, Outcome{Kind: OutcomeAnswered, Status: 200, Notice: Notice{RateLimit: 5, Limited: true}})
	for {
		c, step = entry.StartCall(2*time.Second, IncomingRequest{ID: "r", Host: "h", Path: "/a/1"})
		if step.Target.Instance == instance {
			break
		}
		entry.AbandonCall(2*time.Second, c)
	}
	if !step.Target.Limited || step.Target.RateLimit != 5 {
		t.Fatalf("target %+v, want a limit of 5", step.Target)
	}
	restarted := newFleet(t, testRoute("a", true))[0]
	restarted.AdoptLimit(2*time.Second, step.Target.RateLimit)
	if got := countStarts(restarted, 2*time.Second, time.Second); got > 10 {
		t.Errorf("%d requests in a second, want about 5", got)
	}
	restarted.RecordNotice(4*time.Second, Notice{})
	restarted.AdoptLimit(4*time.Second, 5)
	if got := countStarts(restarted, 4*time.Second, time.Second); got != 100 {
		t.Errorf("%d of 100 requests ran, want all: the upstream itself no longer names a limit", got)
	}
}
