package sidecar

import (
	"time"

	"github.com/shallotspool/shallotspool/node/internal/listener"
)

const (
	// stopNoticeTime is how long a stopping node still accepts requests, so that the
	// platform can direct callers elsewhere. It covers two readiness checks, which are
	// one second apart.
	stopNoticeTime = 2500 * time.Millisecond
	// shutdownReserve is the part of the grace period that is kept for the shutdown
	// itself.
	shutdownReserve = 400 * time.Millisecond
	// stopPollInterval is the time between two checks whether all requests have been
	// answered.
	stopPollInterval = 50 * time.Millisecond
)

// Stop drains the node and shuts it down once stopNoticeTime has passed and all open
// requests are answered, or shortly before the grace period ends.
func (s *Sidecar) Stop() {
	started := time.Now()
	s.mu.Lock()
	s.node.Leave()
	s.mu.Unlock()
	s.log.Info("stopping", field("active", s.activeRequests.Load()))
	s.sendMessages(true)
	s.callerListener.Drain()
	s.peerListener.Drain()
	timeout := s.settings.Load().gracePeriod() - shutdownReserve
	time.Sleep(min(stopNoticeTime, timeout))
	s.callerListener.Close()
	s.peerListener.Close()
	// A draining listener closes each connection after the last response on it, so no
	// connection is open once all received requests are answered.
	for time.Since(started) < timeout && s.callerListener.ConnectionCount()+s.peerListener.ConnectionCount() > 0 {
		s.callerListener.CloseIdle()
		s.peerListener.CloseIdle()
		time.Sleep(stopPollInterval)
	}
	s.cancel()
	s.log.Info("stopped", field("active", s.activeRequests.Load()))
	s.log.Close()
}

// Abort shuts the node down at once. Open requests get no response.
func (s *Sidecar) Abort() {
	s.cancel()
	for _, l := range []*listener.Listener{s.callerListener, s.peerListener, s.readyListener, s.metricsListener} {
		l.Abort()
	}
	_ = s.heartbeatConn.Close()
	s.log.Close()
}
