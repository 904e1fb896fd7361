package attempt

import (
	"sync"

	"github.com/shallotspool/shallotspool/core/engine"
	"github.com/shallotspool/shallotspool/node/internal/pool"
)

// openAttempt is an attempt that has not ended. It can be cancelled at any time,
// also before it has a connection.
type openAttempt struct {
	mu        sync.Mutex
	conn      *pool.Conn
	cancelled bool
}

// attachConn sets the connection that cancel closes. It returns false if the
// attempt has been cancelled; the connection is then unused.
func (a *openAttempt) attachConn(c *pool.Conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cancelled {
		return false
	}
	a.conn = c
	return true
}

// detachConn releases the connection. It returns false if the attempt has been
// cancelled, which closed the connection.
func (a *openAttempt) detachConn() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = nil
	return !a.cancelled
}

// cancel closes the attached connection, if any, and makes a later attachConn
// return false.
func (a *openAttempt) cancel() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancelled = true
	if a.conn != nil {
		_ = a.conn.Close()
	}
}

// openAttempts is the set of open attempts. Its methods may be called from any
// goroutine.
type openAttempts struct {
	mu   sync.Mutex
	byID map[engine.AttemptID]*openAttempt
}

func (s *openAttempts) add(id engine.AttemptID) *openAttempt {
	a := &openAttempt{}
	s.mu.Lock()
	s.byID[id] = a
	s.mu.Unlock()
	return a
}

func (s *openAttempts) remove(id engine.AttemptID) {
	s.mu.Lock()
	delete(s.byID, id)
	s.mu.Unlock()
}

// cancel cancels an attempt if it is still open.
func (s *openAttempts) cancel(id engine.AttemptID) {
	s.mu.Lock()
	a := s.byID[id]
	s.mu.Unlock()
	if a != nil {
		a.cancel()
	}
}

func (s *openAttempts) cancelAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.byID {
		a.cancel()
	}
}
