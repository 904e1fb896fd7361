package member_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/shallotspool/shallotspool/core/member"
	"github.com/shallotspool/shallotspool/core/wire"
)

func list(from, to int) []member.Instance {
	var l []member.Instance
	for i := from; i <= to; i++ {
		l = append(l, member.Instance{Target: fmt.Sprintf("s-%d", i), Service: "s", DataCentre: fmt.Sprintf("dc%d", i%3)})
	}
	return l
}

func run(i int, incarnation uint64) wire.NodeID {
	return wire.NodeID{Target: fmt.Sprintf("s-%d", i), Incarnation: incarnation}
}

func newView() *member.View {
	return member.NewView(member.Config{Self: run(1, 10), Service: "s", DataCentre: "dc1"})
}

func linked(v *member.View, now time.Duration, ids ...wire.NodeID) {
	for _, id := range ids {
		v.LinkChanged(now, id, true)
		v.Heartbeat(v.Fresh(now, id), &wire.State{State: wire.NodeServing, NextMS: 250})
	}
}

// TestLeavingBeforeTheList: a node's own word that it leaves counts at once,
// whatever the list and late frames of its run say; its next run is new.
func TestLeavingBeforeTheList(t *testing.T) {
	v := newView()
	v.Merge(0, list(1, 3))
	linked(v, 0, run(2, 5))
	p := v.Peer("s-2")
	v.Heartbeat(v.Fresh(1, run(2, 5)), &wire.State{State: wire.NodeLeaving})
	v.Merge(2, list(1, 3))
	v.Heartbeat(v.Fresh(3, run(2, 5)), &wire.State{State: wire.NodeServing})
	if p.Takes() {
		t.Fatal("a leaving node takes work")
	}
	if v.Fresh(4, run(2, 4)) != nil {
		t.Fatal("a frame of an earlier run counts")
	}
	v.Heartbeat(v.Fresh(5, run(2, 6)), &wire.State{State: wire.NodeServing})
	if !p.Takes() {
		t.Fatal("the next run takes no work")
	}
}

// TestListLagsBehindRestart: the list calls an instance leaving; that ends the
// run known then, and not the next one.
func TestListLagsBehindRestart(t *testing.T) {
	v := newView()
	v.Merge(0, list(1, 3))
	linked(v, 0, run(2, 5))
	leaving := list(1, 3)
	leaving[1].Leaving, leaving[0].Leaving = true, true
	v.Merge(time.Second, leaving)
	if v.Peer("s-2").Takes() {
		t.Fatal("takes work though listed as leaving")
	}
	if !v.Peer("s-1").Takes() {
		t.Fatal("believes the list about its own, earlier run")
	}
	linked(v, 2*time.Second, run(2, 6))
	v.Merge(3*time.Second, leaving)
	if !v.Peer("s-2").Takes() {
		t.Fatal("a new run takes no work while the list lags")
	}
}

// TestListShrinks: a list that is empty or lost half its lines counts only when
// it stays so, or when links say the same.
func TestListShrinks(t *testing.T) {
	for _, shrunk := range [][]member.Instance{nil, list(1, 5)} {
		v := newView()
		v.Merge(0, list(1, 12))
		v.Merge(time.Second, shrunk)
		if !v.Doubted() || !v.Peer("s-9").Takes() {
			t.Fatal("a list that shrank by half was believed at once")
		}
		v.Merge(3*time.Minute, shrunk)
		if v.Peer("s-9").Takes() {
			t.Fatal("the list was never believed")
		}
		v.Tick(4 * time.Minute)
		v.Tick(20 * time.Minute)
		if v.Peer("s-9") != nil {
			t.Fatal("an instance neither listed nor heard is kept")
		}
	}
	v := newView()
	v.Merge(0, list(1, 12))
	for i := 6; i <= 12; i++ {
		linked(v, 0, run(i, 5))
		v.LinkChanged(time.Second, run(i, 5), false)
	}
	v.Merge(2*time.Second, list(1, 5))
	if v.Doubted() && v.Peer("s-9").Takes() {
		t.Fatal("links that broke do not confirm the list")
	}
}

// TestHeardOutlivesList: a node that is still heard stays, though the list no
// longer names it.
func TestHeardOutlivesList(t *testing.T) {
	v := newView()
	v.Merge(0, list(1, 12))
	linked(v, 0, run(12, 5))
	v.Merge(time.Second, list(1, 11))
	v.Tick(20 * time.Minute)
	if p := v.Peer("s-12"); p == nil || !p.Linked {
		t.Fatal("a linked node was dropped")
	}
}

// TestLinkBeforeList: a link that opens before its other end is known counts once
// it is.
func TestLinkBeforeList(t *testing.T) {
	v := newView()
	v.LinkChanged(0, run(2, 5), true)
	v.LinkChanged(0, run(3, 5), true)
	v.LinkChanged(0, run(3, 5), false)
	v.Merge(time.Second, list(1, 3))
	if linked := v.Linked(); len(linked) != 1 || linked[0].ID() != run(2, 5) {
		t.Fatalf("linked: %v", linked)
	}
}

// TestNewsPassOn: news are passed on once, also by who heard them from the node
// itself.
func TestNewsPassOn(t *testing.T) {
	v := newView()
	v.Merge(0, list(1, 3))
	linked(v, 0, run(2, 5))
	v.Heartbeat(v.Fresh(1, run(2, 5)), &wire.State{State: wire.NodeLeaving})
	news := &wire.Member{Node: run(2, 5), Service: "s", DataCentre: "dc2", State: wire.NodeLeaving}
	if !v.Told(2, news) || v.Told(3, news) {
		t.Fatal("news that the node itself told are not passed on once")
	}
	first := &wire.Member{Node: run(3, 5), Service: "s", DataCentre: "dc0", State: wire.NodeServing}
	if v.Told(4, first) {
		t.Fatal("the start of an instance that everybody has in the list is passed on")
	}
	if next := (&wire.Member{Node: run(3, 6), Service: "s", DataCentre: "dc0", State: wire.NodeStarting}); !v.Told(5, next) {
		t.Fatal("a new run is not passed on")
	}
}

// TestSilence: a linked node that misses the heartbeats it promised gets no new
// work until it is heard; a pause of this node itself is no silence of others.
func TestSilence(t *testing.T) {
	v := newView()
	v.Merge(0, list(1, 3))
	linked(v, 0, run(2, 5), run(3, 5))
	for now := time.Duration(0); now < 2*time.Second; now += 100 * time.Millisecond {
		v.Fresh(now, run(3, 5))
		v.Tick(now)
	}
	if v.Peer("s-2").Takes() || !v.Peer("s-3").Takes() {
		t.Fatal("silence was not noticed, or of the wrong node")
	}
	v.Tick(30 * time.Second)
	if !v.Peer("s-3").Takes() {
		t.Fatal("this node's own pause counts as silence")
	}
	v.Fresh(30*time.Second, run(2, 5))
	if !v.Peer("s-2").Takes() {
		t.Fatal("heard again, and still no work")
	}
}

// TestIncarnations: whatever order frames, links and news come in, the newest
// run known never goes back, and a run once leaving never takes work.
func TestIncarnations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := newView()
		v.Merge(0, list(1, 3))
		p := v.Peer("s-2")
		newest, left := uint64(0), map[uint64]bool{}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			id := run(2, rapid.Uint64Range(1, 4).Draw(t, "run"))
			state := wire.NodeState(rapid.IntRange(1, 4).Draw(t, "state"))
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				v.LinkChanged(0, id, rapid.Bool().Draw(t, "up"))
			case 1:
				if p := v.Fresh(0, id); p != nil {
					v.Heartbeat(p, &wire.State{State: state})
					left[id.Incarnation] = left[id.Incarnation] || state >= wire.NodeLeaving
				}
			case 2:
				if v.Told(0, &wire.Member{Node: id, Service: "s", DataCentre: "dc2", State: state}) {
					left[id.Incarnation] = left[id.Incarnation] || state >= wire.NodeLeaving
				}
			case 3:
				v.Merge(0, list(1, 3))
			}
			if p.Incarnation < newest {
				t.Fatalf("run %d after %d", p.Incarnation, newest)
			}
			newest = p.Incarnation
			if left[newest] && p.Takes() {
				t.Fatalf("run %d left and takes work", newest)
			}
		}
	})
}

// TestBounds: in a large fleet the links asked for and the nodes that calls are
// divided over stay few, are the same every time, and move little when one of
// them goes.
func TestBounds(t *testing.T) {
	v := newView()
	var all []member.Instance
	var callees []string
	for i := 1; i <= 4300; i++ {
		all = append(all, member.Instance{
			Target: fmt.Sprintf("s-%d", i), Service: fmt.Sprintf("service-%d", i%40), DataCentre: fmt.Sprintf("dc%d", i%14),
		})
	}
	for i := range 15 {
		callees = append(callees, fmt.Sprintf("service-%d", i))
	}
	v.Merge(0, all)
	links := v.Links(time.Second, callees)
	if len(links) < 20 || len(links) > 48 {
		t.Fatalf("%d links", len(links))
	}
	subset := v.Service("service-3")
	if len(subset) != member.MaxSubset {
		t.Fatalf("%d nodes in the subset", len(subset))
	}
	gone := subset[4].Target
	v.Merge(2*time.Second, slices.DeleteFunc(slices.Clone(all), func(i member.Instance) bool { return i.Target == gone }))
	kept := 0
	for _, p := range v.Service("service-3") {
		if slices.Contains(subset, p) {
			kept++
		}
	}
	if kept < member.MaxSubset-1 {
		t.Fatalf("only %d of the subset are kept", kept)
	}
}
