package attempt

import (
	"sync"

	"github.com/shallotspool/shallotspool/core/engine"
	"github.com/shallotspool/shallotspool/node/internal/pool"
)

// flight is one open attempt, which may be cancelled at any moment.
type flight struct {
	mu        sync.Mutex
	conn      *pool.Conn
	cancelled bool
}

// board gives the flight its connection, unless it was cancelled before.
func (f *flight) board(c *pool.Conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancelled {
		return false
	}
	f.conn = c
	return true
}

// land takes the connection back; it returns false when it was cancelled and so
// closed.
func (f *flight) land() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conn = nil
	return !f.cancelled
}

// cancel closes the connection, now or as soon as there is one.
func (f *flight) cancel() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelled = true
	if f.conn != nil {
		_ = f.conn.Close()
	}
}

// flights are the open attempts by their id.
type flights struct {
	mu   sync.Mutex
	open map[engine.AttemptID]*flight
}

func (s *flights) start(id engine.AttemptID) *flight {
	f := &flight{}
	s.mu.Lock()
	s.open[id] = f
	s.mu.Unlock()
	return f
}

func (s *flights) end(id engine.AttemptID) {
	s.mu.Lock()
	delete(s.open, id)
	s.mu.Unlock()
}

func (s *flights) cancel(id engine.AttemptID) {
	s.mu.Lock()
	f := s.open[id]
	s.mu.Unlock()
	if f != nil {
		f.cancel()
	}
}

// cancelAll cancels every open attempt.
func (s *flights) cancelAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.open {
		f.cancel()
	}
}
