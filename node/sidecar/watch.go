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

// readStore keeps the table and the registry current until the node stops.
func (s *Sidecar) readStore() {
	// What a node knows before its first read is nothing, as in an outage.
	s.mu.Lock()
	s.node.Registry().Outage()
	s.mu.Unlock()
	listed, answering, backoff := false, true, firstBackoff
	var revision uint64
	for s.ctx.Err() == nil {
		var changes store.Changes
		var err error
		if listed {
			changes, err = s.store.Watch(revision, watchWait, watchSlack)
		} else {
			changes, err = s.store.List()
		}
		if err == nil {
			s.takeChanges(changes, !listed, !answering)
			if listed && changes.Revision > revision {
				s.pause(gatherTime)
			}
			listed, answering, backoff, revision = true, true, firstBackoff, changes.Revision
			continue
		}
		if errors.Is(err, store.ErrHistory) {
			s.log.Warn("store history gone", field("revision", revision))
			listed = false
			continue
		}
		if answering {
			answering = false
			s.log.Warn("store lost", field("revision", revision), field("error", err))
			s.mu.Lock()
			s.node.Registry().Outage()
			s.mu.Unlock()
		}
		s.pause(backoff)
		backoff = min(2*backoff, maxBackoff)
	}
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
	var inForce []*route.Table
	for _, t := range c.Tables {
		if s.node.SetTable(t) {
			inForce = append(inForce, t)
		}
	}
	if whole {
		r.Replace(now, c.Upstreams, c.Revision)
	} else {
		r.Apply(now, c.Upstreams)
	}
	if whole || len(c.Upstreams) > 0 {
		s.node.Registered()
	}
	s.mu.Unlock()
	if back {
		s.log.Info("store regained", field("revision", c.Revision))
	}
	for _, t := range inForce {
		s.log.Info("table in force", field("version", t.Version), field("routes", len(t.Routes)), field("revision", c.Revision))
	}
	for _, bad := range c.Invalid {
		s.log.Warn("invalid value in store", field("key", bad.Name), field("revision", bad.Revision), field("error", bad.Err))
	}
	for _, u := range c.Upstreams {
		s.logUpstream(u)
	}
}

func (s *Sidecar) logUpstream(c registry.Change) {
	switch {
	case c.Removed:
		s.log.Info("upstream removed", field("upstream", c.ID), field("revision", c.Revision))
	case c.Upstream != nil:
		s.log.Info("upstream registered", field("upstream", c.ID), field("service", c.Upstream.Service),
			field("address", c.Upstream.Address), field("draining", c.Upstream.Draining), field("revision", c.Revision))
	}
}
