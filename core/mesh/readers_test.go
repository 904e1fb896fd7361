package mesh

import (
	"slices"
	"testing"
	"time"

	"github.com/shallotspool/shallotspool/core/registry"
	"github.com/shallotspool/shallotspool/core/route"
)

// readerFleet is a set of nodes in one data centre that read the store or follow the
// readers, as decided by Node.ShouldFollow.
type readerFleet struct {
	t     *testing.T
	nodes []*Node
	now   time.Duration
	// storeCutOff holds the nodes that get no answer from the store.
	storeCutOff map[*Node]bool
	// silent holds the nodes whose heartbeats are lost.
	silent map[*Node]bool
}

func newReaderFleet(t *testing.T) *readerFleet {
	f := &readerFleet{t: t, nodes: newFleet(t, testRoute("a", true)), storeCutOff: map[*Node]bool{}, silent: map[*Node]bool{}}
	for _, n := range f.nodes {
		n.StoreLost()
	}
	return f
}

// advance simulates a number of heartbeat intervals. In each of them the store
// delivers changes to the readers.
func (f *readerFleet) advance(intervals int, changes ...registry.Change) {
	for range intervals {
		f.now += HeartbeatInterval
		for _, n := range f.nodes {
			f.read(n, changes)
		}
		for _, n := range f.nodes {
			for _, other := range f.nodes {
				if other != n && !f.silent[n] {
					other.ReceiveHeartbeat(f.now, n.cfg.Instance, n.Heartbeat(f.now))
				}
			}
		}
		for _, n := range f.nodes {
			if instance, ok := n.NewerPeer(f.now); ok {
				n.ApplyState(f.now, f.node(instance).StateSince(f.now, n.StoreVersion()))
			}
		}
	}
}

// read lets one node read the store, or leave reading it to others.
func (f *readerFleet) read(n *Node, changes []registry.Change) {
	follows := n.ShouldFollow(f.now)
	if follows != n.following {
		if follows {
			n.FollowReaders()
		} else {
			n.ResumeReading()
		}
	}
	switch {
	case follows:
	case f.storeCutOff[n]:
		n.StoreLost()
	default:
		n.Registry().MarkStoreUp(f.now)
		n.StoreAnswered(f.now)
		n.Registry().Apply(f.now, changes)
		n.RegistryChanged()
	}
	if len(n.Registry().Tick(f.now)) > 0 {
		n.RegistryChanged()
	}
}

func (f *readerFleet) node(instance string) *Node {
	for _, n := range f.nodes {
		if n.cfg.Instance == instance {
			return n
		}
	}
	f.t.Fatalf("no node %s", instance)
	return nil
}

func (f *readerFleet) readers() (list []*Node) {
	for _, n := range f.nodes {
		if n.readsStore(f.now) {
			list = append(list, n)
		}
	}
	return list
}

func (f *readerFleet) countKnowing(id string) (count int) {
	for _, n := range f.nodes {
		if n.Registry().Get(id) != nil {
			count++
		}
	}
	return count
}

// TestReadersPerDataCentre checks that some nodes of a data centre read the store,
// and that the changes they read reach the others within one heartbeat interval.
func TestReadersPerDataCentre(t *testing.T) {
	f := newReaderFleet(t)
	f.advance(int(registry.ReturnGracePeriod/HeartbeatInterval) + 2)
	if got := len(f.readers()); got != readersPerDataCentre {
		t.Fatalf("%d nodes read the store, want %d", got, readersPerDataCentre)
	}
	added := registry.Upstream{ID: "new", Service: "a", Address: "10.0.9.9:80", Instance: "10.0.9.9", DataCentre: "x", Slots: 5, Revision: 20}
	f.advance(1, registry.Change{ID: "new", Revision: 20, Upstream: &added})
	f.advance(1)
	if got := f.countKnowing("new"); got != len(f.nodes) {
		t.Errorf("%d nodes know an upstream that was added, want all %d", got, len(f.nodes))
	}
	f.advance(1, registry.Change{ID: "new", Revision: 21, Removed: true})
	f.advance(1)
	if got := f.countKnowing("new"); got != 0 {
		t.Errorf("%d nodes know an upstream that was removed, want none", got)
	}
}

// TestReadersAreReplaced checks that another node takes over when a reader loses the
// store, and hands back when it returns.
func TestReadersAreReplaced(t *testing.T) {
	f := newReaderFleet(t)
	f.advance(5)
	first := f.readers()[0]
	f.storeCutOff[first] = true
	f.advance(int(storeTimeout/HeartbeatInterval) + 3)
	if got := f.readers(); len(got) != readersPerDataCentre || slices.Contains(got, first) {
		t.Errorf("%d readers after one lost the store, want %d others", len(got), readersPerDataCentre)
	}
	delete(f.storeCutOff, first)
	f.advance(5)
	if got := len(f.readers()); got != readersPerDataCentre || !first.readsStore(f.now) {
		t.Errorf("%d readers after it regained the store, itself reading: %v; want %d, true", got, first.readsStore(f.now), readersPerDataCentre)
	}
}

// TestFollowersRemoveLapsedUpstream checks that nodes that do not read the store also
// remove an upstream whose registration lapsed during an outage and did not return.
func TestFollowersRemoveLapsedUpstream(t *testing.T) {
	f := newReaderFleet(t)
	f.advance(5)
	id := f.nodes[0].Registry().ServiceUpstreams("b")[0].ID
	for _, n := range f.nodes {
		f.storeCutOff[n] = true
	}
	f.advance(int(storeTimeout/HeartbeatInterval) + 3)
	clear(f.storeCutOff)
	f.advance(1, registry.Change{ID: id, Revision: 30, Removed: true})
	if got := f.countKnowing(id); got != len(f.nodes) {
		t.Errorf("%d nodes know the upstream just after the outage, want all %d", got, len(f.nodes))
	}
	f.advance(int(registry.ReturnGracePeriod/HeartbeatInterval) + 4)
	if got := f.countKnowing(id); got != 0 {
		t.Errorf("%d nodes still know the upstream after the grace period, want none", got)
	}
}

// TestLapsedUpstreamIsRemovedAtNewReaders guards against an upstream that left and is used for
// good, because the nodes that read the store stopped while its registration had lapsed there, and
// the nodes that read it from then on had taken it over as present.
func TestLapsedUpstreamIsRemovedAtNewReaders(t *testing.T) {
	// The store was lost before the first answers, so that removals are in a grace period.
	f := newReaderFleet(t)
	f.advance(5)
	id := f.nodes[0].Registry().ServiceUpstreams("b")[0].ID
	f.advance(2, registry.Change{ID: id, Revision: 30, Removed: true})
	if got := f.countKnowing(id); got != len(f.nodes) {
		t.Fatalf("%d nodes know the upstream in the grace period, want all %d", got, len(f.nodes))
	}
	for _, n := range f.readers() {
		f.silent[n], f.storeCutOff[n] = true, true
	}
	f.advance(int((registry.ReturnGracePeriod+drainBound)/HeartbeatInterval) + 1)
	for _, n := range f.nodes {
		if !f.silent[n] && n.Registry().Get(id) != nil {
			t.Errorf("%s (reads %v) still knows the upstream", n.cfg.Instance, !n.following)
		}
	}
}

// TestNewReaderRemovesUpstreamsAtOnce checks that a node that takes over from readers
// that became silent, or that lost only their own connection to the store, removes
// unregistered upstreams without a grace period.
func TestNewReaderRemovesUpstreamsAtOnce(t *testing.T) {
	for _, silent := range []bool{true, false} {
		f := newReaderFleet(t)
		f.advance(int(registry.ReturnGracePeriod/HeartbeatInterval) + 2)
		for _, n := range f.readers() {
			f.silent[n], f.storeCutOff[n] = silent, true
		}
		f.advance(int(storeTimeout/HeartbeatInterval) + 3)
		id := f.nodes[0].Registry().ServiceUpstreams("b")[0].ID
		f.advance(2, registry.Change{ID: id, Revision: 30, Removed: true})
		for _, n := range f.nodes {
			if !f.silent[n] && n.Registry().Get(id) != nil {
				t.Errorf("readers silent %v: %s still knows the removed upstream", silent, n.cfg.Instance)
			}
		}
	}
}

// TestReaderTakesNewerTableOfPeer guards against a node that goes on with an older table
// because it started after the store was restored from a copy, while other nodes have the
// newer one.
func TestReaderTakesNewerTableOfPeer(t *testing.T) {
	f := newReaderFleet(t)
	f.advance(5)
	newer := &route.Table{Version: 7, Routes: f.nodes[0].Table().Routes}
	newer.BuildIndex()
	reader := f.readers()[0]
	for _, n := range f.nodes {
		if n != reader {
			n.SetTable(f.now, newer)
		}
	}
	f.advance(int(newerStateDelay/HeartbeatInterval) + 2)
	if got := reader.Table().Version; got != newer.Version || !reader.readsStore(f.now) {
		t.Errorf("reader has version %d, reads the store %v; want version %d, true", got, reader.readsStore(f.now), newer.Version)
	}
}

// TestReaderTakesNewerRegistrationsOfPeer guards against a node whose watch is on a silent
// connection and that goes on with upstreams which, as other nodes know, have left.
func TestReaderTakesNewerRegistrationsOfPeer(t *testing.T) {
	f := newReaderFleet(t)
	f.advance(20) // no outage is left
	reader, id := f.readers()[0], f.nodes[0].Registry().ServiceUpstreams("b")[0].ID
	other := f.nodes[0]
	if other == reader {
		other = f.nodes[1]
	}
	known := reader.StoreVersion()
	other.Registry().Apply(f.now, []registry.Change{{ID: id, Revision: known.Position.Revision + 1, Removed: true}})
	other.RegistryChanged()
	f.now += HeartbeatInterval
	reader.ReceiveHeartbeat(f.now, other.cfg.Instance, other.Heartbeat(f.now))
	if _, ok := reader.NewerPeer(f.now); ok {
		t.Error("a node that reads the store does not wait for its own answer")
	}
	f.now += newerStateDelay
	reader.ReceiveHeartbeat(f.now, other.cfg.Instance, other.Heartbeat(f.now))
	instance, ok := reader.NewerPeer(f.now)
	if !ok || instance != other.cfg.Instance {
		t.Fatalf("state is fetched from %q, want %s", instance, other.cfg.Instance)
	}
	state := other.StateSince(f.now, known)
	restored := state
	restored.Era++
	reader.ApplyState(f.now, restored)
	if reader.Registry().Get(id) == nil {
		t.Error("the state of another era is applied while the store answers")
	}
	reader.ApplyState(f.now, state)
	if reader.Registry().Get(id) != nil {
		t.Error("an upstream is used that another node knows to be gone")
	}
}
