package mesh

import (
	"testing"
	"time"

	"github.com/shallotspool/shallotspool/core/registry"
	"github.com/shallotspool/shallotspool/core/store"
)

// TestStartReadsTheStoreRarely guards against a fleet that starts at once and reads the store
// at every node, again and again, while its upstreams register.
func TestStartReadsTheStoreRarely(t *testing.T) {
	const nodes, dataCentres, registrationTime = 100, 5, 1500 * time.Millisecond
	for seed := uint64(1); seed <= 4; seed++ {
		f := newExchangeFleet(nodes, dataCentres, seed)
		entries := f.entries
		f.entries = nil
		for _, m := range f.members {
			f.start(m)
			m.node.StartReading()
		}
		reads := 0
		watching := map[*exchangeMember]bool{}
		f.run(8*time.Second, func() {
			// Upstreams register one after the other, half a second after the start.
			visible := min(max(int((f.now-500*time.Millisecond)*nodes/registrationTime), 0), nodes)
			for _, m := range f.members {
				n := m.node
				if n.ShouldFollow(f.now) {
					if !n.following {
						n.FollowReaders()
					}
					if instance, ok := n.NewerPeer(f.now); ok {
						n.ApplyState(f.now, f.byIP[instance].node.StateSince(f.now, n.StoreVersion()))
					}
					continue
				}
				if !n.ReadDue(f.now) {
					continue
				}
				if n.following {
					n.ResumeReading()
				}
				read := n.NextRead()
				changed := uint64(visible) > read.After.Revision
				// A watch ends with the first change.
				if !read.List && !changed {
					if !watching[m] {
						watching[m] = true
						reads++
					}
					n.StoreAnswered(f.now)
					continue
				}
				if !watching[m] {
					reads++
				}
				watching[m] = false
				changes := store.Changes{Revision: uint64(visible)}
				for i, c := range entries[:visible] {
					if read.List || uint64(i) >= read.After.Revision {
						c.Revision = uint64(i + 1)
						changes.Upstreams = append(changes.Upstreams, c)
					}
				}
				if _, err := n.ApplyRead(f.now, read, changes); err != nil {
					t.Fatal(err)
				}
			}
		})
		for _, m := range f.members {
			if got := m.node.Registry().Len(); got != nodes {
				t.Errorf("seed %d: %s knows %d upstreams, want all %d", seed, m.ip, got, nodes)
			}
		}
		// A node needs one read to learn of the others, and another one if that came too early.
		// Readers read while upstreams register: twice a data centre, at most every 100 ms.
		if most := 2*nodes + 2*dataCentres*int(registrationTime/(100*time.Millisecond)); reads > most {
			t.Errorf("seed %d: %d reads, want at most %d", seed, reads, most)
		} else {
			t.Logf("seed %d: %d reads, at most %d", seed, reads, most)
		}
	}
}

// TestRestartedNodeIgnoresDepartedUpstream guards against a node that uses an upstream again
// which had left before the node was restarted, because another node still lists it.
func TestRestartedNodeIgnoresDepartedUpstream(t *testing.T) {
	nodes := newFleet(t, testRoute("a", true))
	restarted, stale := nodes[0], nodes[1]
	removed := registry.Change{ID: "i-10.0.0.3", Revision: 20, Removed: true}
	changes := store.Changes{Revision: 20}
	for _, c := range testRegistrations() {
		if c.ID != removed.ID {
			changes.Upstreams = append(changes.Upstreams, c)
		}
	}
	if _, err := restarted.ApplyRead(time.Second, StoreRead{List: true}, changes); err != nil {
		t.Fatal(err)
	}
	restarted.FollowReaders()
	restarted.ApplyState(2*time.Second, stale.StateSince(2*time.Second, restarted.StoreVersion()))
	if restarted.Registry().Get(removed.ID) != nil {
		t.Error("an upstream that had left is known again")
	}
}
