package sidecar

import (
	"time"

	"github.com/shallotspool/shallotspool/node/internal/listener"
)

const (
	// stopNotice is how long a stopping node goes on taking requests, until the
	// platform has turned callers away: two questions, a second apart.
	stopNotice = 2500 * time.Millisecond
	// stopReserve is the part of the grace that is kept for closing down.
	stopReserve = 400 * time.Millisecond
	// stopPoll is how often a stopping node looks whether all is done.
	stopPoll = 50 * time.Millisecond
)

// Stop ends the node once the requests in flight are answered, at the latest
// shortly before its grace is over.
func (s *Sidecar) Stop() {
	began := time.Now()
	s.mu.Lock()
	s.node.Leave()
	s.mu.Unlock()
	s.log.Info("stopping", field("active", s.active.Load()))
	s.sendHeartbeats()
	s.callers.Drain()
	s.fromPeers.Drain()
	last := s.settings.Load().grace() - stopReserve
	time.Sleep(min(stopNotice, last))
	s.callers.Close()
	s.fromPeers.Close()
	// A connection ends with the last answer on it, so none is open once all
	// that was read is answered.
	for time.Since(began) < last && s.callers.Open()+s.fromPeers.Open() > 0 {
		s.callers.CloseIdle()
		s.fromPeers.CloseIdle()
		time.Sleep(stopPoll)
	}
	s.cancel()
	s.log.Info("stopped", field("active", s.active.Load()))
	s.log.Close()
}

// Abort ends the node at once; requests in flight get no answer.
func (s *Sidecar) Abort() {
	s.cancel()
	for _, l := range []*listener.Listener{s.callers, s.fromPeers, s.ready, s.metricsPage} {
		l.Abort()
	}
	_ = s.heartbeats.Close()
	s.log.Close()
}
