package server

import (
	"net"
	"time"

	"github.com/shallotspool/shallotspool/core/engine"
	"github.com/shallotspool/shallotspool/node/internal/loop"
	"github.com/shallotspool/shallotspool/node/internal/sockets"
)

// peekInterval is how often an open call looks whether its caller is still
// there.
const peekInterval = 50 * time.Millisecond

// finish works for a call and returns when its reply is there; it returns false
// when the listener was cut.
func (s *Server) finish(conn net.Conn, c *loop.Call) bool {
	watch := s.watch(conn, c)
	defer watch.Stop()
	c.Work()
	select {
	case <-c.Done():
		return true
	case <-s.cut:
		return false
	}
}

// watch looks at the caller's connection until the reply is there. A caller
// that closed it is told to the engine, which then ends the call; one that only
// closed its sending side counts as gone too.
func (s *Server) watch(conn net.Conn, c *loop.Call) *time.Timer {
	var timer *time.Timer
	ready := make(chan struct{})
	timer = time.AfterFunc(peekInterval, func() {
		<-ready
		select {
		case <-c.Done():
			return
		default:
		}
		if sockets.Peek(conn) == sockets.Closed {
			s.cfg.Loop.Step(&engine.CallerGone{ID: c.ID})
			return
		}
		timer.Reset(peekInterval)
	})
	close(ready)
	return timer
}
