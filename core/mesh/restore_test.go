package mesh

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shallotspool/shallotspool/core/registry"
	"github.com/shallotspool/shallotspool/core/route"
	"github.com/shallotspool/shallotspool/core/store"
)

// The times of the simulation. The bounds are those of the platform: a node that was
// undisturbed for contactTime, as was the store, follows a change within changeBound.
const (
	restoreStep   = 50 * time.Millisecond
	restoreLength = 40 * time.Second
	contactTime   = 3 * time.Second
	changeBound   = 2 * time.Second
	renewalPeriod = 1500 * time.Millisecond
	entryLifetime = 4500 * time.Millisecond
	// maxCopyAge is the greatest age of the copy from which the store is restored.
	maxCopyAge = 5 * time.Second
	// readTimeout is how long a read without a response lasts.
	readTimeout = 2800 * time.Millisecond
)

// simStore is the platform's store. It keeps all changes that a restore has not undone.
type simStore struct {
	era, revision, oldest uint64
	changes               []simChange
	// history holds the revision at each step.
	history []uint64
	// answers and acceptsWrites tell whether it serves nodes and writers. silent tells that
	// reads hang while it does not answer.
	answers, acceptsWrites, silent bool
	restoredAt, disturbedAt        time.Duration
}

// simChange is one write: a table or, if that is nil, a change of a registration.
type simChange struct {
	revision uint64
	table    *route.Table
	change   registry.Change
}

func (s *simStore) write(c simChange) {
	s.revision++
	c.revision, c.change.Revision = s.revision, s.revision
	if c.change.Upstream != nil {
		u := *c.change.Upstream
		u.Revision = s.revision
		c.change.Upstream = &u
	}
	s.changes = append(s.changes, c)
}

func (s *simStore) restore(now time.Duration, revision uint64) {
	s.changes = slices.DeleteFunc(s.changes, func(c simChange) bool { return c.revision > revision })
	s.revision, s.oldest, s.restoredAt = revision, min(s.oldest, revision), now
	s.era++
}

// newest returns the current table and registrations.
func (s *simStore) newest() (table *route.Table, entries map[string]registry.Change) {
	entries = map[string]registry.Change{}
	for _, c := range s.changes {
		switch {
		case c.table != nil:
			table = c.table
		case c.change.Removed:
			delete(entries, c.change.ID)
		default:
			entries[c.change.ID] = c.change
		}
	}
	return table, entries
}

// read answers one read. waiting means that a watch has no changes yet.
func (s *simStore) read(read StoreRead) (out store.Changes, waiting bool, err error) {
	out.Revision, out.Era = s.revision, s.era
	if read.List {
		table, entries := s.newest()
		out.Tables = append(out.Tables, table)
		for _, change := range entries {
			out.Upstreams = append(out.Upstreams, s.stamped(change))
		}
		slices.SortFunc(out.Upstreams, func(a, b registry.Change) int { return int(a.Revision) - int(b.Revision) })
		return out, false, nil
	}
	if read.After.Revision < s.oldest || read.After.Revision > s.revision {
		return out, false, store.ErrRevisionGone
	}
	for _, c := range s.changes {
		switch {
		case c.revision <= read.After.Revision:
		case c.table != nil:
			out.Tables = append(out.Tables, c.table)
		default:
			out.Upstreams = append(out.Upstreams, s.stamped(c.change))
		}
	}
	return out, len(out.Tables)+len(out.Upstreams) == 0, nil
}

// stamped returns a change with the era of the answer that it is part of.
func (s *simStore) stamped(c registry.Change) registry.Change {
	c.Era = s.era
	return c
}

// simUpstream is one upstream with the state that it writes to the store.
type simUpstream struct {
	registry.Upstream
	gone             bool
	renewAt, leaveAt time.Duration
	// storedUsable is whether the store says that it takes requests, and storedSince since
	// when.
	storedUsable bool
	storedSince  time.Duration
}

// simNode is a node with the state of its read loop.
type simNode struct {
	*Node
	number                int
	readAt, readStartedAt time.Duration
	cutUntil, silentUntil time.Duration
	disturbedAt, syncAt   time.Duration
	// saw holds the upstreams that the node knew since it started, knewStopped those of
	// them that it knew to be draining or gone.
	saw, knewStopped         map[string]bool
	lastVersion              route.Version
	heartbeatAt, incarnation time.Duration
}

// restoreWorld is a fleet whose store is restored from older copies in series, beside
// other faults.
type restoreWorld struct {
	t         *testing.T
	random    *rand.Rand
	now       time.Duration
	store     simStore
	nodes     []*simNode
	upstreams map[string]*simUpstream
	table     *route.Table
	// tableAt is when the newest table was first acknowledged, rewriteTableAt when the
	// operator next checks that it is stored.
	tableAt, rewriteTableAt time.Duration
	nextFault               time.Duration
	outageEnds              time.Duration
	log                     []string
}

const simNodes = 6

func newRestoreWorld(t *testing.T, seed uint64) *restoreWorld {
	w := &restoreWorld{t: t, random: rand.New(rand.NewPCG(seed, 7)), upstreams: map[string]*simUpstream{}, nextFault: contactTime}
	w.store = simStore{era: 1, answers: true, acceptsWrites: true}
	w.publish()
	for i := range simNodes {
		w.addUpstream(i, "first")
	}
	for i := range simNodes {
		w.nodes = append(w.nodes, &simNode{number: i})
		w.startNode(w.nodes[i])
	}
	return w
}

func (w *restoreWorld) note(format string, args ...any) {
	w.log = append(w.log, fmt.Sprintf("%6d ms  era %d revision %d: ", w.now.Milliseconds(), w.store.era, w.store.revision)+fmt.Sprintf(format, args...))
}

func (w *restoreWorld) failf(format string, args ...any) {
	w.t.Helper()
	w.note(format, args...)
	for _, line := range w.log {
		w.t.Log(line)
	}
	w.t.FailNow()
}

func simInstance(i int) string { return fmt.Sprintf("10.0.0.%d", i+1) }

func simDataCentre(i int) string { return string(rune('a' + i/3)) }

func (w *restoreWorld) startNode(n *simNode) {
	n.incarnation++
	n.Node = New(Config{Instance: simInstance(n.number), Incarnation: int64(n.incarnation), Service: "a", DataCentre: simDataCentre(n.number), Seed: 1, RetryBounds: testRetryBounds})
	n.StoreLost()
	n.disturbedAt, n.saw, n.knewStopped, n.lastVersion = w.now, map[string]bool{}, map[string]bool{}, 0
	n.readAt, n.readStartedAt = w.now, 0
}

func (w *restoreWorld) publish() {
	version := route.Version(1)
	if w.table != nil {
		version = w.table.Version + 1 + route.Version(w.random.IntN(3))
	}
	w.table = &route.Table{Version: version}
	w.table.BuildIndex()
	w.tableAt = w.now
	w.store.write(simChange{table: w.table})
	w.note("version %d written", version)
}

func (w *restoreWorld) addUpstream(instance int, name string) {
	u := &simUpstream{renewAt: w.now + renewalPeriod, Upstream: registry.Upstream{
		ID: fmt.Sprintf("%s-%d", name, instance), Service: "a", Address: simInstance(instance) + ":80", Instance: simInstance(instance),
		DataCentre: simDataCentre(instance), Slots: 5, Born: int64(w.now) + 1, Sequence: 1,
	}}
	w.upstreams[u.ID] = u
	w.writeUpstream(u)
}

func (w *restoreWorld) writeUpstream(u *simUpstream) {
	entry := u.Upstream
	w.store.write(simChange{change: registry.Change{ID: u.ID, Upstream: &entry}})
	w.note("%s written, draining %v, born %d, sequence %d", u.ID, u.Draining, u.Born, u.Sequence)
}

// runWriters lets the upstreams and the operator write what the store lacks, and removes
// the entries of upstreams that no longer renew them.
func (w *restoreWorld) runWriters() {
	if !w.store.acceptsWrites {
		return
	}
	table, entries := w.store.newest()
	if w.now >= w.rewriteTableAt && table.Version < w.table.Version {
		w.store.write(simChange{table: w.table})
		w.note("version %d written again", w.table.Version)
	}
	for _, id := range w.sortedUpstreams() {
		u := w.upstreams[id]
		stored, known := entries[id]
		switch {
		case u.gone && known && w.now >= w.store.restoredAt+entryLifetime:
			w.store.write(simChange{change: registry.Change{ID: id, Removed: true}})
			w.note("entry of %s lapsed", id)
		case u.gone || w.now < u.renewAt:
		default:
			u.renewAt = w.now + renewalPeriod
			u.Sequence++
			if !known || stored.Upstream.Draining != u.Draining || stored.Upstream.Born != u.Born {
				w.writeUpstream(u)
			}
		}
		if !u.gone && u.leaveAt > 0 && w.now >= u.leaveAt {
			u.gone = true
			w.store.write(simChange{change: registry.Change{ID: id, Removed: true}})
			w.note("%s left", id)
		}
	}
}

func (w *restoreWorld) sortedUpstreams() (ids []string) {
	for id := range w.upstreams {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (w *restoreWorld) randomTime(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)))
}

// injectFaults starts and ends the faults and the planned changes.
func (w *restoreWorld) injectFaults() {
	if w.outageEnds > 0 && w.now >= w.outageEnds {
		w.outageEnds, w.store.answers, w.store.acceptsWrites, w.store.disturbedAt = 0, true, true, w.now
		w.note("store answers")
	}
	if w.now < w.nextFault || w.now > restoreLength-2*contactTime-changeBound {
		return
	}
	w.nextFault = w.now + w.randomTime(100*time.Millisecond, 2500*time.Millisecond)
	n := w.nodes[w.random.IntN(len(w.nodes))]
	switch w.random.IntN(9) {
	case 0, 1:
		if w.store.acceptsWrites {
			w.publish()
		}
	case 2:
		w.changeUpstream()
	case 3, 4, 5:
		w.takeStoreAway()
	case 6:
		w.note("node %d restarted", n.number)
		w.startNode(n)
	case 7:
		n.cutUntil = w.now + w.randomTime(time.Second, 4*time.Second)
		n.disturbedAt = n.cutUntil
		w.note("node %d cut off from the store until %d ms", n.number, n.cutUntil.Milliseconds())
	case 8:
		n.silentUntil = w.now + w.randomTime(time.Second, 3*time.Second)
		n.disturbedAt = n.silentUntil
		w.note("node %d frozen until %d ms", n.number, n.silentUntil.Milliseconds())
	}
}

// changeUpstream drains an upstream, or starts one where none is left.
func (w *restoreWorld) changeUpstream() {
	if !w.store.acceptsWrites {
		return
	}
	ids := w.sortedUpstreams()
	u := w.upstreams[ids[w.random.IntN(len(ids))]]
	switch {
	case !u.gone && !u.Draining:
		u.Draining, u.leaveAt = true, w.now+w.randomTime(2*time.Second, 4*time.Second)
		u.Sequence++
		w.writeUpstream(u)
	case u.gone:
		instance := slices.IndexFunc(w.nodes, func(n *simNode) bool { return simInstance(n.number) == u.Instance })
		for _, other := range w.upstreams {
			if other.Instance == u.Instance && !other.gone {
				return
			}
		}
		w.addUpstream(instance, fmt.Sprintf("next%d", w.now.Milliseconds()))
	}
}

// takeStoreAway starts an outage of the store. Mostly it is restored during the outage,
// and in some of these cases writers reach it before the nodes do.
func (w *restoreWorld) takeStoreAway() {
	if w.outageEnds > 0 {
		return
	}
	w.outageEnds = w.now + w.randomTime(100*time.Millisecond, 2500*time.Millisecond)
	w.store.answers, w.store.acceptsWrites, w.store.silent = false, false, w.random.IntN(2) == 0
	w.store.disturbedAt = w.outageEnds
	w.note("store away until %d ms, silent %v", w.outageEnds.Milliseconds(), w.store.silent)
	if w.random.IntN(4) == 0 {
		return
	}
	age := int(w.randomTime(0, maxCopyAge) / restoreStep)
	w.store.restore(w.now, w.store.history[max(len(w.store.history)-1-age, 0)])
	w.rewriteTableAt = w.outageEnds + w.randomTime(0, time.Second)
	for _, u := range w.upstreams {
		u.renewAt = w.outageEnds + w.randomTime(0, renewalPeriod)
	}
	if w.random.IntN(2) == 0 {
		w.store.acceptsWrites, w.rewriteTableAt = true, w.now
		for _, u := range w.upstreams {
			u.renewAt = w.now + w.randomTime(0, w.outageEnds-w.now)
		}
	}
	w.note("store restored, accepts writes %v", w.store.acceptsWrites)
}

// runNode lets a node read the store or follow others, and take state from a peer.
func (w *restoreWorld) runNode(n *simNode) {
	if w.now < n.silentUntil {
		return
	}
	if len(n.Registry().Tick(w.now)) > 0 {
		n.RegistryChanged()
	}
	if w.now >= n.syncAt {
		n.syncAt = w.now + 300*time.Millisecond
		if instance, ok := n.NewerPeer(w.now); ok {
			i := slices.IndexFunc(w.nodes, func(other *simNode) bool { return simInstance(other.number) == instance })
			if w.now >= w.nodes[i].silentUntil {
				n.ApplyState(w.now, w.nodes[i].StateSince(w.now, n.StoreVersion()))
			}
		}
	}
	if w.now < n.readAt {
		return
	}
	if follows := n.ShouldFollow(w.now); follows != n.following {
		if follows {
			n.FollowReaders()
		} else {
			n.ResumeReading()
		}
	}
	if n.following {
		n.readAt, n.readStartedAt = w.now+200*time.Millisecond, 0
		return
	}
	w.readStore(n)
}

func (w *restoreWorld) readStore(n *simNode) {
	if n.readStartedAt == 0 {
		n.readStartedAt = w.now
	}
	if cut := w.now < n.cutUntil; cut || !w.store.answers {
		if hangs := cut || w.store.silent; !hangs || w.now >= n.readStartedAt+readTimeout {
			n.StoreLost()
			n.readAt, n.readStartedAt = w.now+w.randomTime(50*time.Millisecond, 1500*time.Millisecond), 0
		}
		return
	}
	read := n.NextRead()
	changes, waiting, err := w.store.read(read)
	switch {
	case err != nil:
		n.HistoryGone()
	case waiting && read.After.Era == w.store.era && w.now < n.readStartedAt+2*time.Second:
		return
	default:
		if _, err := n.ApplyRead(w.now, read, changes); err != nil {
			w.note("node %d: %v", n.number, err)
		}
	}
	n.readAt, n.readStartedAt = w.now, 0
	if !waiting && !read.List {
		n.readAt = w.now + w.randomTime(75*time.Millisecond, 225*time.Millisecond)
	}
}

func (w *restoreWorld) sendHeartbeats() {
	for _, n := range w.nodes {
		if w.now < n.heartbeatAt || w.now < n.silentUntil {
			continue
		}
		n.heartbeatAt = w.now + HeartbeatInterval
		for _, other := range w.nodes {
			if other != n && w.now >= other.silentUntil {
				other.ReceiveHeartbeat(w.now, simInstance(n.number), n.Heartbeat(w.now))
			}
		}
	}
}

// usable reports whether a node may send requests to an upstream.
func (n *simNode) usable(id string) bool {
	for _, u := range n.Registry().ServiceUpstreams("a") {
		if u.ID == id && !u.Draining {
			return true
		}
	}
	return false
}

// trackStored notes what the store says of each upstream.
func (w *restoreWorld) trackStored() {
	_, entries := w.store.newest()
	for id, u := range w.upstreams {
		entry, known := entries[id]
		if usable := known && !entry.Upstream.Draining; usable != u.storedUsable {
			u.storedUsable, u.storedSince = usable, w.now
		}
	}
}

// check checks what every node knows. What an older copy says of an upstream that stopped
// since binds only the nodes that knew better.
func (w *restoreWorld) check() {
	w.trackStored()
	for _, n := range w.nodes {
		version := n.StoreVersion().Version
		if version < n.lastVersion {
			w.failf("node %d went back from version %d to %d", n.number, n.lastVersion, version)
		}
		n.lastVersion = version
		calm := w.now >= max(n.disturbedAt, w.store.disturbedAt)+contactTime
		if calm && w.now >= w.tableAt+changeBound && version < w.table.Version {
			w.failf("node %d has version %d, want %d", n.number, version, w.table.Version)
		}
		for _, id := range w.sortedUpstreams() {
			u := w.upstreams[id]
			stopped, usable := u.gone || u.Draining, n.usable(id)
			n.saw[id] = n.saw[id] || n.Registry().Get(id) != nil
			n.knewStopped[id] = n.knewStopped[id] || stopped && !usable && n.saw[id]
			if stopped && usable && n.knewStopped[id] {
				w.failf("node %d uses %s again, which it knew to be draining or gone", n.number, id)
			}
			if calm && u.storedUsable != stopped && w.now >= u.storedSince+changeBound && usable == stopped {
				w.failf("node %d: %s usable %v, want %v", n.number, id, usable, !stopped)
			}
		}
	}
}

func (w *restoreWorld) run() {
	for ; w.now < restoreLength; w.now += restoreStep {
		w.store.history = append(w.store.history, w.store.revision)
		w.injectFaults()
		w.runWriters()
		w.sendHeartbeats()
		for _, n := range w.nodes {
			w.runNode(n)
		}
		w.check()
	}
}

// restoreSeeds is the number of seeds of the test in a normal run.
const restoreSeeds = 100

// TestRestoresInSeries guards against nodes that miss tables or registrations, or use an
// upstream again that they knew to be gone, after the store was restored from an older
// copy, once or several times, with other faults at the same time.
func TestRestoresInSeries(t *testing.T) {
	for seed := range uint64(restoreSeeds) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) { newRestoreWorld(t, seed).run() })
	}
}
