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
// requests are answered, or shortly before the grace period ends. Requests that cannot be
// answered until then are left unread, or refused before an upstream runs them.
func (s *Sidecar) Stop() {
	end := time.Now().Add(s.settings.Load().gracePeriod() - shutdownReserve)
	s.mu.Lock()
	s.node.Leave(s.now(), s.now()+time.Until(end))
	s.mu.Unlock()
	s.log.Info("stopping", field("active", s.activeRequests.Load()))
	s.sendMessages(true)
	servers := []*listener.Listener{s.callerListener, s.peerListener}
	for _, l := range servers {
		l.Drain()
	}
	time.Sleep(min(stopNoticeTime, time.Until(end)))
	s.peerListener.Close()
	s.awaitLastResponses(end, servers)
	s.cancel()
	s.log.Info("stopped", field("active", s.activeRequests.Load()), field("refused", s.refusedStopping.Load()))
	s.log.Close()
}

// awaitLastResponses returns once all requests are answered, at end at the latest. A draining
// listener closes each connection after its last response, so that no connection is open then.
// The listener for callers is open for as long as the local upstream runs requests, which may make
// calls.
func (s *Sidecar) awaitLastResponses(end time.Time, servers []*listener.Listener) {
	refusing := false
	for ; time.Now().Before(end); time.Sleep(stopPollInterval) {
		s.mu.Lock()
		running, lastStartOver := s.node.Load().Running, s.node.Stopping(s.now())
		s.mu.Unlock()
		if running == 0 {
			s.callerListener.Close()
		}
		open := 0
		for _, l := range servers {
			if lastStartOver && !refusing {
				l.RefuseUnread()
			}
			l.CloseIdle()
			open += l.ConnectionCount()
		}
		refusing = lastStartOver
		if open == 0 && running == 0 {
			return
		}
	}
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
