package membership_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/shallotspool/shallotspool/core/membership"
	"github.com/shallotspool/shallotspool/core/wire"
)

// instances returns the list entries s-first to s-last, distributed over three data
// centres.
func instances(first, last int) []membership.Instance {
	var list []membership.Instance
	for i := first; i <= last; i++ {
		list = append(list, membership.Instance{Target: fmt.Sprintf("s-%d", i), Service: "s", DataCentre: fmt.Sprintf("dc%d", i%3)})
	}
	return list
}

func nodeID(i int, incarnation uint64) wire.NodeID {
	return wire.NodeID{Target: fmt.Sprintf("s-%d", i), Incarnation: incarnation}
}

// newView returns the view of run 10 of the node s-1.
func newView() *membership.View {
	return membership.NewView(membership.Config{Self: nodeID(1, 10), Service: "s", DataCentre: "dc1"})
}

// openLinks opens links to the given runs, each followed by a heartbeat.
func openLinks(v *membership.View, now time.Duration, ids ...wire.NodeID) {
	for _, id := range ids {
		v.LinkChanged(now, id, true)
		v.HandleHeartbeat(v.RecordFrame(now, id), &wire.Heartbeat{State: wire.NodeServing, NextHeartbeatMS: 250})
	}
}

// TestOwnLeavingStateOverridesList: the state "leaving" that a node reports
// takes effect immediately and is undone neither by the list nor by late frames
// of the same run, but by its next run.
func TestOwnLeavingStateOverridesList(t *testing.T) {
	v := newView()
	v.MergeList(0, instances(1, 3))
	openLinks(v, 0, nodeID(2, 5))
	p := v.Peer("s-2")
	v.HandleHeartbeat(v.RecordFrame(1, nodeID(2, 5)), &wire.Heartbeat{State: wire.NodeLeaving})
	v.MergeList(2, instances(1, 3))
	v.HandleHeartbeat(v.RecordFrame(3, nodeID(2, 5)), &wire.Heartbeat{State: wire.NodeServing})
	if p.AcceptsWork() {
		t.Fatal("a leaving node gets new work")
	}
	if v.RecordFrame(4, nodeID(2, 4)) != nil {
		t.Fatal("a frame of an earlier run was accepted")
	}
	v.HandleHeartbeat(v.RecordFrame(5, nodeID(2, 6)), &wire.Heartbeat{State: wire.NodeServing})
	if !p.AcceptsWork() {
		t.Fatal("the next run gets no work")
	}
}

// TestListedLeavingAppliesToOldIncarnation: an entry marked as leaving applies
// to the run known when the mark appeared, not to the next one, while the list
// lags behind.
func TestListedLeavingAppliesToOldIncarnation(t *testing.T) {
	v := newView()
	v.MergeList(0, instances(1, 3))
	openLinks(v, 0, nodeID(2, 5))
	leaving := instances(1, 3)
	leaving[1].Leaving, leaving[0].Leaving = true, true
	v.MergeList(time.Second, leaving)
	if v.Peer("s-2").AcceptsWork() {
		t.Fatal("a node listed as leaving gets new work")
	}
	if !v.Peer("s-1").AcceptsWork() {
		t.Fatal("the list marked this node as leaving because of its earlier run")
	}
	openLinks(v, 2*time.Second, nodeID(2, 6))
	v.MergeList(3*time.Second, leaving)
	if !v.Peer("s-2").AcceptsWork() {
		t.Fatal("a new run gets no work while the list lags behind")
	}
}

// TestShrunkListNeedsConfirmation: a list that is empty or lost half of its
// entries is accepted only once it has remained so, or if the links confirm the
// loss.
func TestShrunkListNeedsConfirmation(t *testing.T) {
	for _, shrunk := range [][]membership.Instance{nil, instances(1, 5)} {
		v := newView()
		v.MergeList(0, instances(1, 12))
		v.MergeList(time.Second, shrunk)
		if !v.ListShrunk() || !v.Peer("s-9").AcceptsWork() {
			t.Fatal("a list that lost half of its entries was accepted immediately")
		}
		// Later than shrinkConfirmDelay, 2 min.
		v.MergeList(3*time.Minute, shrunk)
		if v.Peer("s-9").AcceptsWork() {
			t.Fatal("the shrunk list was not accepted after the delay")
		}
		// The second tick is later than removalDelay, 5 min.
		v.Tick(4 * time.Minute)
		v.Tick(20 * time.Minute)
		if v.Peer("s-9") != nil {
			t.Fatal("an instance neither listed nor heard from was kept")
		}
	}
	v := newView()
	v.MergeList(0, instances(1, 12))
	for i := 6; i <= 12; i++ {
		openLinks(v, 0, nodeID(i, 5))
		v.LinkChanged(time.Second, nodeID(i, 5), false)
	}
	v.MergeList(2*time.Second, instances(1, 5))
	if v.ListShrunk() && v.Peer("s-9").AcceptsWork() {
		t.Fatal("lost links do not confirm the shrunk list")
	}
}

// TestLinkedPeerOutlivesList: a linked node is kept although the list no longer
// contains it.
func TestLinkedPeerOutlivesList(t *testing.T) {
	v := newView()
	v.MergeList(0, instances(1, 12))
	openLinks(v, 0, nodeID(12, 5))
	v.MergeList(time.Second, instances(1, 11))
	v.Tick(20 * time.Minute)
	if p := v.Peer("s-12"); p == nil || !p.Linked {
		t.Fatal("a linked node was removed")
	}
}

// TestLinkOpenedBeforeList: a link that opens before its other end is known
// takes effect once the node is listed.
func TestLinkOpenedBeforeList(t *testing.T) {
	v := newView()
	v.LinkChanged(0, nodeID(2, 5), true)
	v.LinkChanged(0, nodeID(3, 5), true)
	v.LinkChanged(0, nodeID(3, 5), false)
	v.MergeList(time.Second, instances(1, 3))
	if linked := v.LinkedPeers(); len(linked) != 1 || linked[0].ID() != nodeID(2, 5) {
		t.Fatalf("linked nodes: %v", linked)
	}
}

// TestGossipIsForwardedOnce: a change is forwarded exactly once, even by a node
// that already heard of it from the node concerned.
func TestGossipIsForwardedOnce(t *testing.T) {
	v := newView()
	v.MergeList(0, instances(1, 3))
	openLinks(v, 0, nodeID(2, 5))
	v.HandleHeartbeat(v.RecordFrame(1, nodeID(2, 5)), &wire.Heartbeat{State: wire.NodeLeaving})
	gossip := &wire.Member{Node: nodeID(2, 5), Service: "s", DataCentre: "dc2", State: wire.NodeLeaving}
	if !v.MergeGossip(2, gossip) || v.MergeGossip(3, gossip) {
		t.Fatal("gossip already known from the node itself was not forwarded exactly once")
	}
	first := &wire.Member{Node: nodeID(3, 5), Service: "s", DataCentre: "dc0", State: wire.NodeServing}
	if v.MergeGossip(4, first) {
		t.Fatal("the first start of a listed instance was forwarded")
	}
	if next := (&wire.Member{Node: nodeID(3, 6), Service: "s", DataCentre: "dc0", State: wire.NodeStarting}); !v.MergeGossip(5, next) {
		t.Fatal("a new run was not forwarded")
	}
}

// TestSilentPeerGetsNoWork: a linked node that misses its announced heartbeats
// gets no new work until it is heard from again. A pause of this node itself is
// not counted as silence of the others.
func TestSilentPeerGetsNoWork(t *testing.T) {
	v := newView()
	v.MergeList(0, instances(1, 3))
	openLinks(v, 0, nodeID(2, 5), nodeID(3, 5))
	// 2 s exceed three heartbeat intervals of 250 ms and silenceSlack.
	for now := time.Duration(0); now < 2*time.Second; now += 100 * time.Millisecond {
		v.RecordFrame(now, nodeID(3, 5))
		v.Tick(now)
	}
	if v.Peer("s-2").AcceptsWork() || !v.Peer("s-3").AcceptsWork() {
		t.Fatal("the silent node gets work, or the other node gets none")
	}
	v.Tick(30 * time.Second)
	if !v.Peer("s-3").AcceptsWork() {
		t.Fatal("the pause of this node was counted as silence of another")
	}
	v.RecordFrame(30*time.Second, nodeID(2, 5))
	if !v.Peer("s-2").AcceptsWork() {
		t.Fatal("a node that was heard from again gets no work")
	}
}

// TestIncarnationNeverDecreases: in whatever order frames, links and gossip
// arrive, the known incarnation never decreases, and a run that was leaving
// never gets work again.
func TestIncarnationNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := newView()
		v.MergeList(0, instances(1, 3))
		p := v.Peer("s-2")
		newest, leaving := uint64(0), map[uint64]bool{}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			id := nodeID(2, rapid.Uint64Range(1, 4).Draw(t, "run"))
			state := wire.NodeState(rapid.IntRange(1, 4).Draw(t, "state"))
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				v.LinkChanged(0, id, rapid.Bool().Draw(t, "up"))
			case 1:
				if p := v.RecordFrame(0, id); p != nil {
					v.HandleHeartbeat(p, &wire.Heartbeat{State: state})
					leaving[id.Incarnation] = leaving[id.Incarnation] || state >= wire.NodeLeaving
				}
			case 2:
				if v.MergeGossip(0, &wire.Member{Node: id, Service: "s", DataCentre: "dc2", State: state}) {
					leaving[id.Incarnation] = leaving[id.Incarnation] || state >= wire.NodeLeaving
				}
			case 3:
				v.MergeList(0, instances(1, 3))
			}
			if p.Incarnation < newest {
				t.Fatalf("incarnation decreased to %d from %d", p.Incarnation, newest)
			}
			newest = p.Incarnation
			if leaving[newest] && p.AcceptsWork() {
				t.Fatalf("run %d is leaving and gets work", newest)
			}
		}
	})
}

// TestLargeFleetSelectionIsBoundedAndStable: in a large fleet the number of
// links and the subset of a service are limited, and the removal of one node
// changes little of the subset.
func TestLargeFleetSelectionIsBoundedAndStable(t *testing.T) {
	v := newView()
	var all []membership.Instance
	var callees []string
	for i := 1; i <= 4300; i++ {
		all = append(all, membership.Instance{
			Target: fmt.Sprintf("s-%d", i), Service: fmt.Sprintf("service-%d", i%40), DataCentre: fmt.Sprintf("dc%d", i%14),
		})
	}
	for i := range 15 {
		callees = append(callees, fmt.Sprintf("service-%d", i))
	}
	v.MergeList(0, all)
	// At most 2 links to each of 15 callees, 4 in the own data centre and 2 in others;
	// some of them coincide.
	links := v.LinksToOpen(time.Second, callees)
	if len(links) < 20 || len(links) > 48 {
		t.Fatalf("%d links, want 20 to 48", len(links))
	}
	subset := v.ServicePeers("service-3")
	if len(subset) != membership.MaxSubset {
		t.Fatalf("the subset has %d nodes, want %d", len(subset), membership.MaxSubset)
	}
	removed := subset[4].Target
	v.MergeList(2*time.Second, slices.DeleteFunc(slices.Clone(all), func(i membership.Instance) bool { return i.Target == removed }))
	kept := 0
	for _, p := range v.ServicePeers("service-3") {
		if slices.Contains(subset, p) {
			kept++
		}
	}
	if kept < membership.MaxSubset-1 {
		t.Fatalf("%d nodes of the subset were kept, want at least %d", kept, membership.MaxSubset-1)
	}
}
