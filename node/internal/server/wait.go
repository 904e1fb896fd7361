package server

import (
	"net"
	"time"

	"github.com/shallotspool/shallotspool/core/engine"
	"github.com/shallotspool/shallotspool/node/internal/loop"
	"github.com/shallotspool/shallotspool/node/internal/sockets"
)

// peekInterval is how often a waiting call looks whether its caller is still
// there.
const peekInterval = 50 * time.Millisecond

// wait returns when the reply is there. A caller that closed its connection is
// told to the engine, which then ends the call; one that only closed its
// sending side counts as gone too. It returns false when the listener was cut.
func (s *Server) wait(conn net.Conn, c *loop.Call) bool {
	ticker := time.NewTicker(peekInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.Done():
			return true
		case <-s.cut:
			return false
		case <-ticker.C:
		}
		if sockets.Peek(conn) == sockets.Closed {
			s.cfg.Loop.Step(&engine.CallerGone{ID: c.ID})
			return s.last(c)
		}
	}
}

// last waits for the reply to a call whose end the engine was told.
func (s *Server) last(c *loop.Call) bool {
	select {
	case <-c.Done():
		return true
	case <-s.cut:
		return false
	}
}
