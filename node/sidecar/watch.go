package sidecar

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/shallotspool/shallotspool/core/registry"
	"github.com/shallotspool/shallotspool/core/route"
	"github.com/shallotspool/shallotspool/core/store"
)

const (
	// watchWait is how long one watch waits for changes, and watchSlack how much
	// later its answer may come before the connection counts as silent. Together
	// they stay below the three seconds in which a node has to notice.
	watchWait  = 2 * time.Second
	watchSlack = 800 * time.Millisecond
	// gatherTime is the pause after changes, in which further ones gather: reads
	// are priced, and the shortest bound on acting on a change is two seconds.
	gatherTime = 150 * time.Millisecond
	// firstBackoff and maxBackoff bound the wait after a failed read.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = time.Second
)

// followPoll is how often a node that leaves reading to others looks whether they
// still do.
const followPoll = 200 * time.Millisecond

// readStore keeps the table and the registry current until the node stops, or
// leaves that to other nodes while they do.
func (s *Sidecar) readStore() {
	r := storeReader{s: s, answering: true, backoff: firstBackoff}
	// What a node knows before its first read is nothing, as in an outage.
	s.storeLost()
	for s.ctx.Err() == nil {
		s.mu.Lock()
		follows := s.node.Follows(s.now())
		s.mu.Unlock()
		if follows {
			r.follow()
			continue
		}
		r.read()
	}
}

func (s *Sidecar) storeLost() {
	s.mu.Lock()
	s.node.StoreLost()
	s.mu.Unlock()
}

// storeReader is where the reading of the store stands.
type storeReader struct {
	s                            *Sidecar
	listed, answering, following bool
	revision                     uint64
	backoff                      time.Duration
}

// follow waits while other nodes read the store.
func (r *storeReader) follow() {
	if !r.following {
		r.following, r.answering = true, true
		r.s.mu.Lock()
		r.s.node.Follow()
		r.s.mu.Unlock()
		r.s.log.Info("store left to other nodes", field("revision", r.revision))
	}
	r.s.pause(followPoll)
}

// read makes one read and takes its outcome in.
func (r *storeReader) read() {
	if r.following {
		r.following = false
		r.resume()
		r.s.log.Info("store read again", field("revision", r.revision))
	}
	var changes store.Changes
	var err error
	if r.listed {
		changes, err = r.s.store.Watch(r.revision, watchWait, watchSlack)
	} else {
		changes, err = r.s.store.List()
	}
	switch {
	case err == nil:
		r.s.takeChanges(changes, !r.listed, !r.answering)
		if r.listed && changes.Revision > r.revision {
			r.s.pause(gatherTime)
		}
		r.listed, r.answering, r.backoff, r.revision = true, true, firstBackoff, changes.Revision
	case errors.Is(err, store.ErrHistory):
		r.s.log.Warn("store history gone", field("revision", r.revision))
		r.listed = false
	default:
		r.failed(err)
	}
}

// resume goes on from where the nodes that were followed had come to.
func (r *storeReader) resume() {
	r.s.mu.Lock()
	r.s.node.Resume()
	r.revision = r.s.node.Known().Revision
	r.s.mu.Unlock()
	r.listed = r.revision > 0
}

func (r *storeReader) failed(err error) {
	if r.answering {
		r.answering = false
		r.s.log.Warn("store lost", field("revision", r.revision), field("error", err))
		r.s.storeLost()
	}
	r.s.pause(r.backoff)
	r.backoff = min(2*r.backoff, maxBackoff)
}

// pause waits for about d, or until the node stops.
func (s *Sidecar) pause(d time.Duration) {
	timer := time.NewTimer(d/2 + rand.N(d))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.ctx.Done():
	}
}

// takeChanges puts what a read brought in force; whole tells that it is a
// complete listing, back that the store answers again after an outage.
func (s *Sidecar) takeChanges(c store.Changes, whole, back bool) {
	s.mu.Lock()
	now := s.now()
	r := s.node.Registry()
	r.Answering(now)
	s.node.StoreAnswered(now)
	var inForce []*route.Table
	for _, t := range c.Tables {
		if s.node.SetTable(now, t) {
			inForce = append(inForce, t)
		}
	}
	// A listing may be older than what other nodes told; then only what it adds
	// counts.
	if whole && c.Revision >= r.Revision() {
		r.Replace(now, c.Upstreams, c.Revision)
	} else {
		r.Apply(now, c.Upstreams)
		r.Current(c.Revision)
	}
	if whole || len(c.Upstreams) > 0 {
		s.node.Registered()
	}
	s.mu.Unlock()
	if back {
		s.log.Info("store regained", field("revision", c.Revision))
	}
	for _, t := range inForce {
		s.log.Info("table in force", field("version", t.Version), field("routes", len(t.Routes)), field("revision", c.Revision),
			field("from", fromStore))
	}
	for _, bad := range c.Invalid {
		s.log.Warn("invalid value in store", field("key", bad.Name), field("revision", bad.Revision), field("error", bad.Err))
	}
	for _, u := range c.Upstreams {
		s.logUpstream(u, fromStore)
	}
}

// fromStore names the store where a line says where news came from.
const fromStore = "store"

// logUpstream writes what became known of an upstream, and from whom.
func (s *Sidecar) logUpstream(c registry.Change, from string) {
	switch {
	case c.Removed:
		s.log.Info("upstream removed", field("upstream", c.ID), field("revision", c.Revision), field("from", from))
	case c.Upstream != nil:
		s.log.Info("upstream registered", field("upstream", c.ID), field("service", c.Upstream.Service),
			field("address", c.Upstream.Address), field("draining", c.Upstream.Draining), field("revision", c.Revision),
			field("from", from))
	}
}
