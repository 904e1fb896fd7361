package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/shallotspool/shallotspool/core/balancer"
	"github.com/shallotspool/shallotspool/core/fixedseed"
	"github.com/shallotspool/shallotspool/core/membership"
	"github.com/shallotspool/shallotspool/core/spillover"
	"github.com/shallotspool/shallotspool/core/wire"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) { fixedseed.Run(m) }

// newPeers returns n serving peers that admit all ranks: the first localCount of
// them in data centre dc0, the others in dc1.
func newPeers(n, localCount int) []*membership.Peer {
	var peers []*membership.Peer
	for i := range n {
		dataCentre := "dc0"
		if i >= localCount {
			dataCentre = "dc1"
		}
		peers = append(peers, &membership.Peer{
			Instance: membership.Instance{Target: fmt.Sprintf("s-%d", i), Service: "s", DataCentre: dataCentre},
			State:    wire.NodeServing, Linked: true, Incarnation: 1,
			Load: wire.Load{Limit: 20, AdmissionLevel: 0xffff},
		})
	}
	return peers
}

func newBalancer() *balancer.Balancer {
	return balancer.New(balancer.Config{
		Seed: 1, SelfTarget: "other-1", DataCentre: "dc0", EjectOutliers: true, SlowStart: true, Spill: true,
	}, 0)
}

// TestEjectionInvariants applies random changes to peers and random results of
// attempts. At most half of the targets may be ejected, a target must be chosen
// whenever any accepts work, and all must be readmitted once attempts succeed.
func TestEjectionInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		peers := newPeers(rapid.IntRange(1, 60).Draw(t, "peers"), rapid.IntRange(0, 60).Draw(t, "local"))
		b := newBalancer()
		now := time.Minute
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			i := rapid.IntRange(0, len(peers)-1).Draw(t, "peer")
			switch rapid.IntRange(0, 3).Draw(t, "change") {
			case 0:
				peers[i].Linked = !peers[i].Linked
			case 1:
				peers[i].Leaving = !peers[i].Leaving
			case 2:
				peers[i].Incarnation++
			}
			p := b.Pick("s", peers, balancer.Options{Now: now})
			if (p == nil) == anyAcceptsWork(peers) {
				t.Fatalf("picked %v of %d peers; a peer must be picked if and only if any accepts work", p, len(peers))
			}
			if ejected, size := b.Ejected("s"); ejected > size/2 {
				t.Fatalf("%d of %d are ejected", ejected, size)
			}
			if p != nil {
				// The attempt ends at the time at which it starts.
				b.AttemptStarted(now, p.Target)
				// ResultFailed is listed twice to be drawn more often.
				b.AttemptFinished(now, p.Target, now, rapid.SampledFrom([]balancer.Result{
					balancer.ResultOK, balancer.ResultFailed, balancer.ResultFailed, balancer.ResultTimeout, balancer.ResultCancelled,
				}).Draw(t, "result"))
			}
		}
		checkAllReadmitted(t, b, peers, now)
	})
}

func anyAcceptsWork(peers []*membership.Peer) bool {
	for _, p := range peers {
		if p.AcceptsWork() {
			return true
		}
	}
	return false
}

// checkAllReadmitted lets all attempts succeed and checks that no target is ejected
// in the end. They are retryable, since only such attempts probe a target at first.
func checkAllReadmitted(t *rapid.T, b *balancer.Balancer, peers []*membership.Peer, now time.Duration) {
	for _, p := range peers {
		p.Leaving, p.Linked = false, true
	}
	for range 100 * len(peers) {
		now += 20 * time.Millisecond
		p := b.Pick("s", peers, balancer.Options{Now: now, Retryable: true})
		// The attempt ends at the time at which it starts.
		b.AttemptStarted(now, p.Target)
		b.AttemptFinished(now, p.Target, now, balancer.ResultOK)
	}
	if ejected, size := b.Ejected("s"); ejected != 0 {
		t.Fatalf("%d of %d are still ejected", ejected, size)
	}
}

// TestFailingTargetIsEjected checks that a target gets no more attempts after three
// failures in a row.
func TestFailingTargetIsEjected(t *testing.T) {
	peers := newPeers(4, 4)
	b := newBalancer()
	now, attempts := time.Minute, 0
	for range 1000 {
		p := b.Pick("s", peers, balancer.Options{Now: now})
		// The attempt ends at the time at which it starts.
		b.AttemptStarted(now, p.Target)
		result := balancer.ResultOK
		if p == peers[0] {
			attempts++
			result = balancer.ResultFailed
		}
		b.AttemptFinished(now, p.Target, now, result)
	}
	if attempts != 3 {
		t.Fatalf("%d attempts to a failing target, want 3", attempts)
	}
}

// TestSpillIsBounded checks that a loaded data centre sheds part of its work to
// another one, but not more than the bound.
func TestSpillIsBounded(t *testing.T) {
	peers := newPeers(8, 4)
	for _, p := range peers[:4] {
		p.Load.InFlight = 40 // twice the limit
	}
	b := newBalancer()
	const picks = 1000
	remote := 0
	for range picks {
		if b.Pick("s", peers, balancer.Options{Now: time.Minute}).DataCentre != "dc0" {
			remote++
		}
	}
	if float64(remote) > spillover.MaxRemoteShare*picks+1 || remote < picks/5 {
		t.Fatalf("%d of %d choices went from a loaded data centre to the other, want %d to %.0f", remote, picks, picks/5, spillover.MaxRemoteShare*picks+1)
	}
}

func TestColdTargetShareGrows(t *testing.T) {
	peers := newPeers(4, 4)
	b := newBalancer()
	b.Pick("s", peers, balancer.Options{Now: time.Minute})
	peers[0].Incarnation = 2
	share := func(now time.Duration) int {
		open, cold := []string{}, 0
		for range 40 {
			p := b.Pick("s", peers, balancer.Options{Now: now})
			b.AttemptStarted(now, p.Target)
			open = append(open, p.Target)
			if p == peers[0] {
				cold++
			}
		}
		// All attempts end at the time at which they started.
		for _, name := range open {
			b.AttemptFinished(now, name, now, balancer.ResultOK)
		}
		return cold
	}
	first, later := share(time.Minute), share(time.Minute+5*time.Second)
	// One of four warm targets gets about 10 of the 40 choices.
	if first > 4 || later < 6 {
		t.Fatalf("of 40 choices a restarted target got %d at first, want at most 4, and %d after 5 s, want 6 or more", first, later)
	}
}

func TestAdmissionLevelExcludesTargetsUntilItExpires(t *testing.T) {
	peers := newPeers(2, 2)
	b := newBalancer()
	for _, p := range peers {
		p.Load.AdmissionLevel = 0x0100
	}
	o := balancer.Options{Now: time.Minute, Rank: 0x0200}
	if p := b.Pick("s", peers, o); p != nil {
		t.Fatalf("%s was picked for a rank that it refuses", p.Target)
	}
	o.Now += 2 * time.Second // exceeds the 1 s for which a level is valid
	if b.Pick("s", peers, o) == nil {
		t.Fatal("no target was picked although the levels have expired")
	}
}

// BenchmarkPick picks from many more peers than the subset of a node holds.
func BenchmarkPick(b *testing.B) {
	peers := newPeers(4300, 300)
	underTest := newBalancer()
	b.ReportAllocs()
	for b.Loop() {
		p := underTest.Pick("s", peers, balancer.Options{Now: time.Minute})
		// The attempt ends at the time at which it starts.
		underTest.AttemptStarted(time.Minute, p.Target)
		underTest.AttemptFinished(time.Minute, p.Target, time.Minute, balancer.ResultOK)
	}
}
