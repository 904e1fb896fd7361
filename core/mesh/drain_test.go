package mesh

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shallotspool/shallotspool/core/registry"
	"github.com/shallotspool/shallotspool/core/store"
)

// The bounds on the parts of drainBound, which docs/design/platform.md lists: until a node that
// reads the store has applied a removal, and until a node that follows it has.
const (
	drainBound  = 2 * time.Second
	readerBound = 900 * time.Millisecond
)

// drainFleet is an exchangeFleet whose nodes read a store or follow those that do.
type drainFleet struct {
	*exchangeFleet
	t       *testing.T
	readers map[*exchangeMember]*simReader
	// changes are what the store holds, in the order of their revisions.
	changes []registry.Change
	// cutAt are the times at which the store ends all watches that wait.
	cutAt []time.Duration
	// removedAt is when the entry removed was removed, appliedAt when each node applied that.
	removed   string
	removedAt time.Duration
	appliedAt map[*exchangeMember]time.Duration
}

// simReader is the state of the read loop of one node.
type simReader struct {
	read           StoreRead
	watching       bool
	startedAt      time.Duration
	nextAt, syncAt time.Duration
}

func newDrainFleet(t *testing.T, nodes, dataCentres int, seed uint64) *drainFleet {
	f := &drainFleet{
		t: t, exchangeFleet: newExchangeFleet(nodes, dataCentres, seed),
		readers: map[*exchangeMember]*simReader{}, appliedAt: map[*exchangeMember]time.Duration{},
	}
	f.changes = slices.Clone(f.entries)
	for _, m := range f.members {
		f.readers[m] = &simReader{syncAt: time.Duration(f.random.Int64N(int64(300 * time.Millisecond)))}
		m.node.StoreLost()
	}
	return f
}

// step runs the read loops of all nodes for one step.
func (f *drainFleet) step() {
	for _, m := range f.members {
		if !m.running() {
			continue
		}
		f.stepMember(m, f.readers[m], f.clock(m))
		if _, applied := f.appliedAt[m]; f.removed != "" && !applied && !f.usable(m) {
			f.appliedAt[m] = f.now
		}
	}
}

// usable reports whether a node may send requests to the upstream that was removed.
func (f *drainFleet) usable(m *exchangeMember) bool {
	u := m.node.Registry().Get(f.removed)
	return u != nil && !u.Draining
}

func (f *drainFleet) stepMember(m *exchangeMember, r *simReader, now time.Duration) {
	n := m.node
	if len(n.Registry().Tick(now)) > 0 {
		n.RegistryChanged()
	}
	if now >= r.syncAt {
		r.syncAt = now + 300*time.Millisecond
		f.sync(m, now)
	}
	if !r.watching && now < r.nextAt {
		return
	}
	if !r.watching && n.ShouldFollow(now) {
		if !n.following {
			n.FollowReaders()
		}
		r.nextAt = now + 100*time.Millisecond + time.Duration(f.random.Int64N(int64(200*time.Millisecond)))
		return
	}
	if !r.watching {
		if n.following {
			n.ResumeReading()
		}
		r.read, r.watching, r.startedAt = n.NextRead(), true, f.now
	}
	f.continueRead(m, r, now)
}

// continueRead ends a read that is answered or cut.
func (f *drainFleet) continueRead(m *exchangeMember, r *simReader, now time.Duration) {
	after := r.read.After.Revision
	waits := !r.read.List && !r.read.Check && uint64(len(f.changes)) <= after && f.now < r.startedAt+2*time.Second
	if waits && slices.ContainsFunc(f.cutAt, func(at time.Duration) bool { return at > f.now-ExchangeInterval && at <= f.now && at > r.startedAt }) {
		r.watching = false
		r.nextAt = now + m.node.ReadFailed().Pause
		return
	}
	if waits {
		return
	}
	r.watching, r.nextAt = false, now
	changes := store.Changes{Revision: uint64(len(f.changes))}
	for i, c := range f.changes {
		gone := c.Removed || slices.ContainsFunc(f.changes[i+1:], func(later registry.Change) bool { return later.ID == c.ID })
		if uint64(i) >= after || r.read.List && !gone {
			changes.Upstreams = append(changes.Upstreams, c)
		}
	}
	if _, err := m.node.ApplyRead(now, r.read, changes); err != nil {
		f.t.Fatal(err)
	}
	if !r.read.List && len(changes.Upstreams) > 0 {
		r.nextAt = now + 75*time.Millisecond + time.Duration(f.random.Int64N(int64(150*time.Millisecond)))
	}
}

// sync lets a node take newer state from another one.
func (f *drainFleet) sync(m *exchangeMember, now time.Duration) {
	instance, ok := m.node.NewerPeer(now)
	if !ok {
		return
	}
	other := f.byIP[instance]
	if !other.running() || other.isolated || m.isolated || f.cut[[2]string{m.dataCentre, other.dataCentre}] {
		m.node.StateFetchFailed(now, instance)
		return
	}
	m.node.ApplyState(now, other.node.StateSince(f.clock(other), m.node.StoreVersion()))
}

// remove removes the entry of an instance of the last data centre from the store.
func (f *drainFleet) remove() {
	f.removed, f.removedAt = "i-"+f.members[len(f.members)-1].ip, f.now
	f.changes = append(f.changes, registry.Change{ID: f.removed, Revision: uint64(len(f.changes) + 1), Removed: true})
}

// TestRemovalIsInForceWhateverHappenedToTheWatch guards against requests to an upstream later
// than drainBound after the store said that it is gone, because the watches of the nodes that
// read the store were cut, at any moment and again and again, or one of these nodes stopped.
func TestRemovalIsInForceWhateverHappenedToTheWatch(t *testing.T) {
	const settle = 6 * time.Second
	sizes := [][2]int{{12, 3}, {84, 6}}
	if !testing.Short() {
		sizes = append(sizes, [2]int{195, 5})
	}
	for _, size := range sizes {
		moments := []time.Duration{-2 * time.Second, -500 * time.Millisecond, -100 * time.Millisecond, -50 * time.Millisecond, 0, 50 * time.Millisecond, 200 * time.Millisecond}
		series, troubles := []int{1, 40}, []string{"none", "reader killed", "reader frozen", "data centre cut off"}
		switch {
		case size[0] > 100:
			moments, series, troubles = moments[5:6], series[1:], troubles[2:3]
		case size[0] > 12:
			moments, series = moments[5:6], series[1:]
		}
		for _, moment := range moments {
			for _, cuts := range series {
				for _, trouble := range troubles {
					f := newDrainFleet(t, size[0], size[1], 3)
					f.run(settle, f.step)
					at := f.now + time.Second
					for i := range cuts {
						f.cutAt = append(f.cutAt, at+moment+time.Duration(i-cuts/2)*100*time.Millisecond)
					}
					f.run(time.Second, f.step)
					f.disturb(trouble)
					f.remove()
					f.run(3*time.Second, f.step)
					f.expectInForce(fmt.Sprintf("%d nodes, %d cuts around %v, %s", size[0], cuts, moment, trouble))
				}
			}
		}
	}
}

// disturb stops a node that reads the store, or cuts the last data centre off from the others.
func (f *drainFleet) disturb(trouble string) {
	last := f.members[len(f.members)-1]
	for _, m := range f.members {
		reads := m.node.readsStore(f.clock(m)) && m.dataCentre == last.dataCentre
		switch {
		case trouble == "data centre cut off":
			f.cut[[2]string{m.dataCentre, last.dataCentre}] = m.dataCentre != last.dataCentre
			f.cut[[2]string{last.dataCentre, m.dataCentre}] = m.dataCentre != last.dataCentre
		case reads && trouble == "reader killed":
			f.kill(m)
			return
		case reads && trouble == "reader frozen":
			f.pause(m)
			return
		}
	}
}

// expectInForce checks that all running nodes applied the removal in time.
func (f *drainFleet) expectInForce(name string) {
	f.t.Helper()
	readers := 0
	for _, m := range f.members {
		if !m.running() {
			continue
		}
		bound := drainBound
		if !m.node.following {
			readers++
			bound = readerBound
		}
		if applied, ok := f.appliedAt[m]; !ok || applied-f.removedAt > bound {
			f.t.Errorf("%s: %s (reads %v) applied the removal after %v, want within %v", name, m.ip, !m.node.following, applied-f.removedAt, bound)
		}
	}
	if most := 4 * (1 + f.dataCentres()); readers == 0 || readers > most {
		f.t.Errorf("%s: %d nodes read the store, want 1 to %d", name, readers, most)
	}
}

func (f *drainFleet) dataCentres() int {
	names := map[string]bool{}
	for _, m := range f.members {
		names[m.dataCentre] = true
	}
	return len(names)
}
