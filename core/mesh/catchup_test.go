package mesh

import (
	"slices"
	"testing"
	"time"

	"github.com/shallotspool/shallotspool/core/route"
)

// behindFleet returns a node that follows the readers, which all have newer state, and the
// instances of these.
func behindFleet(t *testing.T) (f *readerFleet, follower *Node, readers []string) {
	f = newReaderFleet(t)
	f.advance(20)
	for _, n := range f.nodes {
		if n.readsStore(f.now) {
			readers = append(readers, n.cfg.Instance)
			newer := &route.Table{Version: 9, Routes: n.Table().Routes}
			newer.BuildIndex()
			n.SetTable(f.now, newer)
		} else {
			follower = n
		}
	}
	if len(readers) != readersPerDataCentre || follower == nil {
		t.Fatalf("%d nodes read the store, want %d and at least one that follows", len(readers), readersPerDataCentre)
	}
	f.now += HeartbeatInterval
	for _, reader := range readers {
		follower.ReceiveHeartbeat(f.now, reader, f.node(reader).Heartbeat(f.now))
	}
	return f, follower, readers
}

// TestFollowerTurnsToOthersIfStateCannotBeFetched guards against a node that asks one other for
// ever for a state that it cannot use, though a third node or the store could give it.
func TestFollowerTurnsToOthersIfStateCannotBeFetched(t *testing.T) {
	f, n, readers := behindFleet(t)
	var asked []string
	for range readers {
		next, ok := n.NewerPeer(f.now)
		if !ok || slices.Contains(asked, next) {
			t.Fatalf("%q is asked after %q failed, want another node", next, asked)
		}
		n.StateFetchFailed(f.now, next)
		asked = append(asked, next)
	}
	if _, ok := n.NewerPeer(f.now); ok || !n.ShouldFollow(f.now) {
		t.Errorf("a node is asked again at once, or the store is read at once")
	}
	later := f.now + catchUpPatience
	if n.ShouldFollow(later) {
		t.Error("the store is left to others whose state cannot be fetched")
	}
	if got := n.CatchUpFailingFor(later); got != catchUpPatience {
		t.Errorf("failing for %v, want %v", got, catchUpPatience)
	}
	// A failure of the past does not keep a node from following.
	n.ApplyState(later, f.node(asked[0]).StateSince(later, n.StoreVersion()))
	if !n.ShouldFollow(later) || n.CatchUpFailingFor(later+time.Second) != 0 {
		t.Error("a node that has caught up reads the store")
	}
}
