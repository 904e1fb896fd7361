package mesh

import (
	"testing"
	"time"

	"github.com/shallotspool/shallotspool/core/registry"
	"github.com/shallotspool/shallotspool/core/store"
)

// readingNode returns a node that has listed two upstreams.
func readingNode(t *testing.T) *Node {
	n := New(Config{Instance: "10.0.0.1", Service: "a", DataCentre: "x", Seed: 1, RetryBounds: testRetryBounds})
	if _, err := n.ApplyRead(0, StoreRead{List: true}, store.Changes{Revision: 20, Upstreams: testRegistrations()}); err != nil {
		t.Fatal(err)
	}
	return n
}

// removeAfter applies the answer to the next read, which says that an upstream is gone, and
// returns whether that is in force.
func removeAfter(t *testing.T, n *Node, now time.Duration) (inForce bool) {
	const id = "i-10.0.0.3"
	read := n.NextRead()
	changes := store.Changes{Revision: 21, Upstreams: []registry.Change{{ID: id, Revision: 21, Removed: true}}}
	if _, err := n.ApplyRead(now, read, changes); err != nil {
		t.Fatal(err)
	}
	return n.Registry().Get(id) == nil
}

// TestOneFailedReadIsNoOutage guards against a watch that is cut while the store answers and is
// taken for an outage, in which removals are not in force.
func TestOneFailedReadIsNoOutage(t *testing.T) {
	n := readingNode(t)
	if failure := n.ReadFailed(); failure.Lost || failure.Pause != 0 {
		t.Errorf("got %+v after one failed read, want a check at once", failure)
	}
	if read := n.NextRead(); !read.Check || read.List || n.Registry().StoreDown() {
		t.Errorf("the next read is %+v, want a watch that checks", read)
	}
	if !removeAfter(t, n, 5*time.Second) {
		t.Error("a removal after a cut watch is not in force")
	}
	if n.NextRead().Check {
		t.Error("the read after a check that was answered is a check")
	}
}

// TestStartIsNoOutage guards against a node that treats what the store says after its first answer as
// after an outage, so that upstreams which left get requests for a grace period more.
func TestStartIsNoOutage(t *testing.T) {
	for failures, outage := range []bool{false, false, true} {
		n := New(Config{Instance: "10.0.0.1", Service: "a", DataCentre: "x", Seed: 1, RetryBounds: testRetryBounds})
		n.StartReading()
		for range failures {
			n.ReadFailed()
		}
		if !n.learnsFromPeers() {
			t.Errorf("%d failed reads: the state of other nodes is not used before the first answer", failures)
		}
		if read := n.NextRead(); !read.List {
			t.Errorf("%d failed reads: the next read is %+v, want a listing", failures, read)
		}
		if _, err := n.ApplyRead(time.Second, n.NextRead(), store.Changes{Revision: 20, Upstreams: testRegistrations()}); err != nil {
			t.Fatal(err)
		}
		if n.learnsFromPeers() {
			t.Errorf("%d failed reads: the state of other nodes is used while the store answers", failures)
		}
		if inForce := removeAfter(t, n, time.Second); inForce == outage {
			t.Errorf("%d failed reads before the first answer: removal in force %v, want %v", failures, inForce, !outage)
		}
	}
}

// TestFailedCheckIsAnOutage guards against upstreams whose registrations lapsed while the store
// was away and that get no requests before they had their time to return.
func TestFailedCheckIsAnOutage(t *testing.T) {
	n := readingNode(t)
	n.ReadFailed()
	if failure := n.ReadFailed(); !failure.Lost || failure.Pause <= 0 || !n.Registry().StoreDown() {
		t.Errorf("got %+v after a failed check, want the store lost and a pause", failure)
	}
	back := 5 * time.Second
	if removeAfter(t, n, back) {
		t.Error("a removal during an outage is in force before the upstream could return")
	}
	n.Registry().Tick(back + registry.ReturnGracePeriod)
	if n.Registry().Get("i-10.0.0.3") != nil {
		t.Error("an upstream that did not return is still known")
	}
	// The next outage again takes two failures.
	if n.ReadFailed().Lost {
		t.Error("one failed read after an outage is taken for another one")
	}
}

// TestChecksOfEndedWatchesAreSpaced guards against reads without a pause while each watch ends at
// once, and against a pause that takes up the time in which a removal must be in force.
func TestChecksOfEndedWatchesAreSpaced(t *testing.T) {
	n := readingNode(t)
	for i := range 20 {
		pause := n.ReadFailed().Pause
		if i > 0 && (pause < minReadPause/2 || pause > maxCheckPause*3/2) {
			t.Errorf("pause %v before check %d, want %v to %v", pause, i, minReadPause/2, maxCheckPause*3/2)
		}
		if _, err := n.ApplyRead(time.Second, n.NextRead(), store.Changes{Revision: 20}); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := n.ApplyRead(time.Second, n.NextRead(), store.Changes{Revision: 20}); err != nil {
		t.Fatal(err)
	}
	if pause := n.ReadFailed().Pause; pause != 0 {
		t.Errorf("pause %v after a watch that was answered, want none", pause)
	}
}
