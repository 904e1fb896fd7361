package server

import (
	"net"
	"time"

	"github.com/shallotspool/shallotspool/core/engine"
	"github.com/shallotspool/shallotspool/node/internal/loop"
	"github.com/shallotspool/shallotspool/node/internal/sockets"
)

// disconnectCheckInterval is how often an open call checks whether its caller is
// still connected.
const disconnectCheckInterval = 50 * time.Millisecond

// awaitReply runs the call's pending work, usually its first attempt, and waits for
// the reply. It returns false if AbortCalls is called before the reply is available.
func (s *Server) awaitReply(conn net.Conn, c *loop.Call) bool {
	disconnectTimer := s.startDisconnectTimer(conn, c)
	defer disconnectTimer.Stop()
	c.RunPendingWork()
	select {
	case <-c.Done():
		return true
	case <-s.aborted:
		return false
	}
}

// startDisconnectTimer starts a timer that checks the caller's connection
// periodically until the reply is available. If the caller has closed the
// connection, it notifies the engine, which then ends the call. A caller that only
// closed its sending side counts as disconnected too.
func (s *Server) startDisconnectTimer(conn net.Conn, c *loop.Call) *time.Timer {
	var timer *time.Timer
	timerSet := make(chan struct{})
	timer = time.AfterFunc(disconnectCheckInterval, func() {
		<-timerSet
		select {
		case <-c.Done():
			return
		default:
		}
		if sockets.Peek(conn) == sockets.Closed {
			s.cfg.Loop.Step(&engine.CallerGone{ID: c.ID})
			return
		}
		timer.Reset(disconnectCheckInterval)
	})
	close(timerSet)
	return timer
}
