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
	// silentAt is when all connections to the store that were open then went silent for good.
	silentAt time.Duration
	// storeLost are the nodes that the store does not answer.
	storeLost []*exchangeMember
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
	// connectedAt is when the node opened its connection to the store, 0 if it has none.
	connectedAt time.Duration
}

// timeout returns how long the node waits for the answer to its read.
func (r *simReader) timeout() time.Duration {
	switch {
	case r.read.List:
		return testListTimeout
	case r.read.Check:
		return CheckTime
	}
	return WatchTime + WatchSlack
}

// testListTimeout is how long a node waits for a listing.
const testListTimeout = 1500 * time.Millisecond

func newDrainFleet(t *testing.T, nodes, dataCentres int, seed uint64) *drainFleet {
	f := &drainFleet{
		t: t, exchangeFleet: newExchangeFleet(nodes, dataCentres, seed),
		readers: map[*exchangeMember]*simReader{}, appliedAt: map[*exchangeMember]time.Duration{},
	}
	f.changes = slices.Clone(f.entries)
	for _, m := range f.members {
		f.readers[m] = &simReader{syncAt: time.Duration(f.random.Int64N(int64(300 * time.Millisecond)))}
		m.node.StartReading()
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
		if r.connectedAt == 0 {
			r.connectedAt = f.now
		}
	}
	if slices.Contains(f.storeLost, m) || f.silentAt > 0 && r.connectedAt <= f.silentAt && f.now >= f.silentAt {
		f.waitInVain(m, r, now)
		return
	}
	f.continueRead(m, r, now)
}

// waitInVain ends a read on a silent connection once the node does not wait any more. The node
// opens another connection for the next one.
func (f *drainFleet) waitInVain(m *exchangeMember, r *simReader, now time.Duration) {
	if f.now >= r.startedAt+r.timeout() {
		r.watching, r.connectedAt, r.nextAt = false, 0, now+m.node.ReadFailed().Pause
	}
}

// continueRead ends a read that is answered or cut.
func (f *drainFleet) continueRead(m *exchangeMember, r *simReader, now time.Duration) {
	after := r.read.After.Revision
	waits := !r.read.List && !r.read.Check && uint64(len(f.changes)) <= after && f.now < r.startedAt+WatchTime
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
		r.nextAt = now + BatchDelay/2 + time.Duration(f.random.Int64N(int64(BatchDelay)))
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

// silenceBound is how long after connections went silent a change must be in force that the store
// acknowledged drainBound before.
const silenceBound = 3 * time.Second

// TestRemovalIsInForceAfterConnectionsGoSilent guards against requests to an upstream that left,
// or by an earlier table, because a node noticed too late that its watch was on a connection
// which had gone silent for good.
func TestRemovalIsInForceAfterConnectionsGoSilent(t *testing.T) {
	sizes := [][2]int{{1, 1}, {7, 1}, {12, 3}}
	if !testing.Short() {
		sizes = append(sizes, [2]int{84, 6})
	}
	for _, size := range sizes {
		for seed := range uint64(2) {
			for moment := 50 * time.Millisecond; moment < silenceBound; moment += 400 * time.Millisecond {
				troubles := []string{"none", "reader killed", "reader frozen", "data centre cut off"}
				switch {
				case size[0] == 1:
					troubles = troubles[:1]
				case size[0] > 12 && moment != 850*time.Millisecond:
					continue
				}
				for _, trouble := range troubles {
					f := newDrainFleet(t, size[0], size[1], seed)
					f.run(6*time.Second+time.Duration(f.random.Int64N(int64(2*WatchTime))), f.step)
					f.silentAt = f.now
					f.disturb(trouble)
					f.run(moment, f.step)
					f.remove()
					due := max(f.removedAt+drainBound, f.silentAt+silenceBound)
					f.run(due+2*time.Second-f.now, f.step)
					for _, m := range f.members {
						applied, ok := f.appliedAt[m]
						if m.running() && (!ok || applied > due) {
							t.Errorf("%d nodes, seed %d, removal %v after the silence, %s: %s applied it %v after the acknowledgement, %v after the silence",
								size[0], seed, moment, trouble, m.ip, applied-f.removedAt, applied-f.silentAt)
						}
					}
				}
			}
		}
	}
}

// TestRemovalIsInForceJustAfterReadersStarted guards against requests to an upstream that left,
// because its registration lapsed at nodes that had read the store for the first time, and the
// others took it over from these as present, some of them for good.
func TestRemovalIsInForceJustAfterReadersStarted(t *testing.T) {
	sizes := [][2]int{{7, 1}, {12, 3}}
	if !testing.Short() {
		sizes = append(sizes, [2]int{84, 6})
	}
	for _, size := range sizes {
		for moment := 50 * time.Millisecond; moment < registry.ReturnGracePeriod; moment += 250 * time.Millisecond {
			for _, restarts := range []int{1, 2} {
				for _, cuts := range []int{0, 20} {
					if size[0] > 12 && (restarts == 1 || cuts == 0) {
						continue
					}
					f := newDrainFleet(t, size[0], size[1], 1)
					f.run(6*time.Second, f.step)
					restarted := f.restartReaders(restarts)
					for i := range cuts {
						f.cutAt = append(f.cutAt, f.now+time.Duration(i)*100*time.Millisecond)
					}
					f.run(moment, f.step)
					f.remove()
					f.run(4*time.Second, f.step)
					f.expectInForceBesides(restarted, fmt.Sprintf("%d nodes, %d starts %v before, %d cuts", size[0], restarts, moment, cuts))
				}
			}
		}
	}
}

// TestRemovalIsInForceAfterTwoNodesLoseStore guards against requests to an upstream that left, because
// all nodes of a data centre that read the store lost it at one moment, and the others noticed it
// later than the bound.
func TestRemovalIsInForceAfterTwoNodesLoseStore(t *testing.T) {
	sizes := [][2]int{{5, 1}, {7, 1}, {12, 3}}
	if !testing.Short() {
		sizes = append(sizes, [2]int{84, 6})
	}
	for _, size := range sizes {
		for seed := range uint64(4) {
			for moment := time.Duration(0); moment < WatchTime; moment += 150 * time.Millisecond {
				if size[0] > 12 && (seed > 0 || moment > 0) {
					continue
				}
				f := newDrainFleet(t, size[0], size[1], seed)
				f.run(6*time.Second+time.Duration(f.random.Int64N(int64(WatchTime))), f.step)
				lost := f.loseStore(2)
				f.run(moment, f.step)
				f.remove()
				f.run(4*time.Second, f.step)
				f.expectInForceBesides(lost, fmt.Sprintf("%d nodes, seed %d, removal %v after the loss", size[0], seed, moment))
			}
		}
	}
}

// loseStore cuts a number of nodes of the last data centre that read the store off from it, and
// returns them.
func (f *drainFleet) loseStore(count int) []*exchangeMember {
	last := f.members[len(f.members)-1]
	for _, m := range f.members {
		if len(f.storeLost) < count && m.dataCentre == last.dataCentre && m.node.readsStore(f.clock(m)) {
			f.storeLost = append(f.storeLost, m)
		}
	}
	return f.storeLost
}

// expectInForceBesides checks that all nodes but some applied the removal in time.
func (f *drainFleet) expectInForceBesides(some []*exchangeMember, name string) {
	f.t.Helper()
	for _, m := range f.members {
		if applied, ok := f.appliedAt[m]; !slices.Contains(some, m) && (!ok || applied-f.removedAt > drainBound) {
			f.t.Errorf("%s: %s (reads %v) applied the removal %v (%v) after the acknowledgement, want within %v", name, m.ip, !m.node.following, applied-f.removedAt, ok, drainBound)
		}
	}
}

// restartReaders starts up to count nodes of the last data centre anew that read the store, and
// returns them.
func (f *drainFleet) restartReaders(count int) (restarted []*exchangeMember) {
	last := f.members[len(f.members)-1]
	for _, m := range f.members {
		if len(restarted) < count && m != last && m.dataCentre == last.dataCentre && m.node.readsStore(f.clock(m)) {
			f.startEmpty(m)
			m.node.StartReading()
			f.readers[m] = &simReader{syncAt: f.now + time.Duration(f.random.Int64N(int64(300*time.Millisecond)))}
			restarted = append(restarted, m)
		}
	}
	return restarted
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
