package sidecar

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/shallotspool/shallotspool/core/mesh"
	"github.com/shallotspool/shallotspool/core/registry"
	"github.com/shallotspool/shallotspool/core/store"
)

// readPause is the mean pause after an answer of the store that cannot be used.
const readPause = 100 * time.Millisecond

// followPollInterval is the mean time between two checks of a node that does not read
// the store whether enough other nodes still do.
const followPollInterval = 200 * time.Millisecond

// runStoreReads keeps the routing table and the registry up to date until the node
// stops. While enough other nodes read the store, it leaves reading to them.
func (s *Sidecar) runStoreReads() {
	r := storeReadLoop{sidecar: s, available: true}
	s.mu.Lock()
	s.node.StartReading()
	s.mu.Unlock()
	for s.ctx.Err() == nil {
		s.mu.Lock()
		follows, due := s.node.ShouldFollow(s.now()), s.node.ReadDue(s.now())
		s.mu.Unlock()
		switch {
		case follows:
			r.followReaders()
		case due:
			r.readOnce()
		default:
			s.sleepWithJitter(mesh.ExchangeInterval)
		}
	}
}

// storeReadLoop is the state of reading the store. available is false from when the store
// is lost until a read succeeds or this node follows others. following means that other
// nodes read the store for this one.
type storeReadLoop struct {
	sidecar              *Sidecar
	available, following bool
	// position is that of the last successful read.
	position registry.Position
}

// followReaders makes the node follow the nodes that read the store, unless it already
// does, and waits for one poll interval.
func (r *storeReadLoop) followReaders() {
	if !r.following {
		r.following, r.available = true, true
		r.sidecar.mu.Lock()
		r.sidecar.node.FollowReaders()
		r.sidecar.mu.Unlock()
		r.sidecar.log.Info("store left to other nodes", field("era", r.position.Era), field("revision", r.position.Revision))
	}
	r.sidecar.sleepWithJitter(followPollInterval)
}

// readOnce performs one list or watch request and applies its result.
func (r *storeReadLoop) readOnce() {
	if r.following {
		r.following = false
		r.resumeReading()
		r.sidecar.log.Info("store read again", field("era", r.position.Era), field("revision", r.position.Revision))
	}
	r.sidecar.mu.Lock()
	read := r.sidecar.node.NextRead()
	r.sidecar.mu.Unlock()
	var changes store.Changes
	var err error
	if read.List {
		changes, err = r.sidecar.store.List()
	} else if read.Check {
		changes, err = r.sidecar.store.Watch(read.After.Revision, 0, mesh.CheckTime)
	} else {
		changes, err = r.sidecar.store.Watch(read.After.Revision, mesh.WatchTime, mesh.WatchSlack)
	}
	if err == nil {
		err = r.sidecar.applyChanges(read, changes, !r.available)
	}
	switch {
	case err == nil:
		if !read.List && changes.Position().After(r.position) {
			r.sidecar.sleepWithJitter(mesh.BatchDelay)
		}
		r.available, r.position = true, changes.Position()
	case errors.Is(err, mesh.ErrStoreRestored):
		r.sidecar.log.Warn("store restored", field("era", changes.Era), field("revision", changes.Revision),
			field("previous_era", r.position.Era), field("previous_revision", r.position.Revision), field("listed", read.List))
		r.sidecar.sleepWithJitter(readPause)
	case errors.Is(err, store.ErrRevisionGone):
		r.sidecar.log.Warn("store history gone", field("era", r.position.Era), field("revision", r.position.Revision))
		r.sidecar.historyGone()
	case errors.Is(err, store.ErrUnreadable) && !read.List:
		r.sidecar.log.Warn("store response not readable", field("era", r.position.Era), field("revision", r.position.Revision), field("error", err))
		r.sidecar.historyGone()
		r.sidecar.sleepWithJitter(readPause)
	default:
		r.handleError(err)
	}
}

// historyGone makes the next read a listing.
func (s *Sidecar) historyGone() {
	s.mu.Lock()
	s.node.HistoryGone()
	s.mu.Unlock()
}

// resumeReading continues from the position that this node reached while it followed
// other nodes.
func (r *storeReadLoop) resumeReading() {
	r.sidecar.mu.Lock()
	r.sidecar.node.ResumeReading()
	r.position = r.sidecar.node.StoreVersion().Position
	r.sidecar.mu.Unlock()
}

// handleError records a failed read, logs it if the store was answering before, and waits before
// the next read.
func (r *storeReadLoop) handleError(err error) {
	r.sidecar.mu.Lock()
	failure := r.sidecar.node.ReadFailed()
	r.sidecar.mu.Unlock()
	switch {
	case !failure.Lost:
		r.sidecar.log.Info("read of store failed", field("era", r.position.Era), field("revision", r.position.Revision), field("error", err))
	case r.available:
		r.available = false
		r.sidecar.log.Warn("store lost", field("era", r.position.Era), field("revision", r.position.Revision), field("error", err))
	}
	r.sidecar.sleep(failure.Pause)
}

// sleepWithJitter sleeps for a random time between 0.5 and 1.5 times d, or until the
// node stops.
func (s *Sidecar) sleepWithJitter(d time.Duration) { s.sleep(d/2 + rand.N(d)) }

// sleep sleeps for d, or until the node stops.
func (s *Sidecar) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.ctx.Done():
	}
}

// applyChanges applies the result of a read and logs what changed. recovered means that
// the store responds again after an outage. Its error is mesh.ErrStoreRestored.
func (s *Sidecar) applyChanges(read mesh.StoreRead, changes store.Changes, recovered bool) error {
	s.mu.Lock()
	known := s.node.StoreVersion().Position
	inForce, err := s.node.ApplyRead(s.now(), read, changes)
	s.mu.Unlock()
	if err != nil {
		return err
	}
	if recovered {
		s.log.Info("store regained", field("revision", changes.Revision), field("era", changes.Era))
	}
	for _, t := range inForce {
		s.log.Info("table in force", field("version", t.Version), field("routes", len(t.Routes)), field("revision", changes.Revision),
			field("era", changes.Era), field("from", sourceStore))
	}
	s.metrics.AddToCounter(invalidValuesName, int64(len(changes.Invalid)))
	for _, invalid := range changes.Invalid {
		s.log.Warn("invalid value in store", field("key", invalid.Key), field("revision", invalid.Revision), field("error", invalid.Err))
	}
	for _, change := range changes.Upstreams {
		learned := registry.Position{Era: change.Era, Revision: change.Revision}
		if read.List || learned.After(known) {
			s.logUpstream(change, sourceStore)
		}
	}
	return nil
}

// sourceStore is the value of the log field "from" for changes that were read from the
// store.
const sourceStore = "store"

// logUpstream logs that an upstream was registered or removed. from names the source of
// the change: the store or another instance.
func (s *Sidecar) logUpstream(change registry.Change, from string) {
	switch {
	case change.Removed:
		s.log.Info("upstream removed", field("upstream", change.ID), field("era", change.Era), field("revision", change.Revision), field("from", from))
	case change.Upstream != nil:
		s.log.Info("upstream registered", field("upstream", change.ID), field("service", change.Upstream.Service),
			field("address", change.Upstream.Address), field("draining", change.Upstream.Draining), field("born", change.Upstream.Born),
			field("sequence", change.Upstream.Sequence), field("era", change.Era), field("revision", change.Revision), field("from", from))
	}
}
