package mesh

import (
	"testing"
	"time"

	"github.com/shallotspool/shallotspool/core/registry"
)

// readerFleet is a fleet in one data centre whose nodes read the store, or follow
// those who do, as Follows says.
type readerFleet struct {
	t     *testing.T
	nodes []*Node
	now   time.Duration
	// cut are the nodes that the store does not answer.
	cut map[*Node]bool
	// silent are the nodes that nobody hears.
	silent map[*Node]bool
}

func newReaderFleet(t *testing.T) *readerFleet {
	f := &readerFleet{t: t, nodes: newFleet(t, testRoute("a", true)), cut: map[*Node]bool{}, silent: map[*Node]bool{}}
	for _, n := range f.nodes {
		n.StoreLost()
	}
	return f
}

// pass plays heartbeats, in each of which the store tells those who read changes.
func (f *readerFleet) pass(beats int, changes ...registry.Change) {
	for range beats {
		f.now += HeartbeatInterval
		for _, n := range f.nodes {
			f.read(n, changes)
		}
		for _, n := range f.nodes {
			for _, other := range f.nodes {
				if other != n && !f.silent[n] {
					other.Hear(f.now, n.cfg.Instance, n.Heartbeat(f.now))
				}
			}
		}
		for _, n := range f.nodes {
			if instance, ok := n.AskPeer(f.now); ok {
				n.CatchUp(f.now, f.node(instance).Snapshot(f.now, n.Known()))
			}
		}
	}
}

// read lets one node read the store, or follow those who do.
func (f *readerFleet) read(n *Node, changes []registry.Change) {
	follows := n.Follows(f.now)
	if follows != n.following {
		if follows {
			n.Follow()
		} else {
			n.Resume()
		}
	}
	switch {
	case follows:
	case f.cut[n]:
		n.StoreLost()
	default:
		n.Registry().Answering(f.now)
		n.StoreAnswered(f.now)
		n.Registry().Apply(f.now, changes)
		n.Registered()
	}
	if len(n.Registry().Tick(f.now)) > 0 {
		n.Registered()
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
		if n.reads(f.now) {
			list = append(list, n)
		}
	}
	return list
}

func (f *readerFleet) knowing(id string) (count int) {
	for _, n := range f.nodes {
		if n.Registry().Get(id) != nil {
			count++
		}
	}
	return count
}

// TestFewNodesReadTheStore: two nodes of a data centre read the store, and what
// they learn reaches the others within a heartbeat.
func TestFewNodesReadTheStore(t *testing.T) {
	f := newReaderFleet(t)
	f.pass(int(registry.ReturnGrace/HeartbeatInterval) + 2)
	if got := len(f.readers()); got != readersPerDataCentre {
		t.Fatalf("%d nodes read the store", got)
	}
	added := registry.Upstream{ID: "new", Service: "a", Address: "10.0.9.9:80", Instance: "10.0.9.9", DataCentre: "x", Slots: 5, Revision: 20}
	f.pass(1, registry.Change{ID: "new", Revision: 20, Upstream: &added})
	f.pass(1)
	if got := f.knowing("new"); got != len(f.nodes) {
		t.Errorf("%d nodes know an upstream that came", got)
	}
	f.pass(1, registry.Change{ID: "new", Revision: 21, Removed: true})
	f.pass(1)
	if got := f.knowing("new"); got != 0 {
		t.Errorf("%d nodes know an upstream that went", got)
	}
}

// TestReadersAreReplaced: when a reader loses the store another node takes its
// place, and gives it back.
func TestReadersAreReplaced(t *testing.T) {
	f := newReaderFleet(t)
	f.pass(5)
	first := f.readers()[0]
	f.cut[first] = true
	f.pass(int(storeFresh/HeartbeatInterval) + 3)
	if got := f.readers(); len(got) != readersPerDataCentre || got[0] == first || got[1] == first {
		t.Errorf("%d readers after one lost the store", len(got))
	}
	delete(f.cut, first)
	f.pass(5)
	if got := len(f.readers()); got != readersPerDataCentre || !first.reads(f.now) {
		t.Errorf("%d readers after its return, itself %v", got, first.reads(f.now))
	}
}

// TestFollowersGiveUpWhatDidNotComeBack: an upstream that lapsed in an outage and
// did not return is given up by nodes that do not read the store too.
func TestFollowersGiveUpWhatDidNotComeBack(t *testing.T) {
	f := newReaderFleet(t)
	f.pass(5)
	id := f.nodes[0].Registry().Service("b")[0].ID
	for _, n := range f.nodes {
		f.cut[n] = true
	}
	f.pass(int(storeFresh/HeartbeatInterval) + 3)
	clear(f.cut)
	f.pass(1, registry.Change{ID: id, Revision: 30, Removed: true})
	if got := f.knowing(id); got != len(f.nodes) {
		t.Errorf("%d nodes know it just after the outage", got)
	}
	f.pass(int(registry.ReturnGrace/HeartbeatInterval) + 4)
	if got := f.knowing(id); got != 0 {
		t.Errorf("%d nodes still know it", got)
	}
}

// TestSuccessorRemovesAtOnce: a node that takes over from readers that fell silent,
// or were cut off from the store alone, gives up what leaves at once.
func TestSuccessorRemovesAtOnce(t *testing.T) {
	for _, silent := range []bool{true, false} {
		f := newReaderFleet(t)
		f.pass(int(registry.ReturnGrace/HeartbeatInterval) + 2)
		for _, n := range f.readers() {
			f.silent[n], f.cut[n] = silent, true
		}
		f.pass(int(storeFresh/HeartbeatInterval) + 3)
		id := f.nodes[0].Registry().Service("b")[0].ID
		f.pass(2, registry.Change{ID: id, Revision: 30, Removed: true})
		for _, n := range f.nodes {
			if !f.silent[n] && n.Registry().Get(id) != nil {
				t.Errorf("readers silent %v: %s still knows it", silent, n.cfg.Instance)
			}
		}
	}
}
