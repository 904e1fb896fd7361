package pool

import (
	"time"

	"github.com/shallotspool/shallotspool/node/internal/sockets"
)

// KeepWitness makes sure that the pool holds one open connection that carries no requests,
// the witness. It shows for how long the target's process lives: the connections that carry
// requests may end with one of them, the witness ends only with the process, or when the
// target closes idle connections.
//
// A connection on which the target has answered is preferred to a new one, which a process
// may not have accepted yet. A new one is opened within timeout; the errors are those of Get.
func (p *Pool) KeepWitness(timeout time.Duration) error {
	if p.adoptWitness() {
		return nil
	}
	c, err := p.Dial(timeout)
	if err != nil {
		return err
	}
	p.mu.Lock()
	if p.witness == nil && !p.closed {
		p.witness = c
		p.mu.Unlock()
		return nil
	}
	p.mu.Unlock()
	p.Put(c)
	return nil
}

// adoptWitness reports whether the pool has an open witness. If it has none, or one on which
// the target has not answered, an idle connection on which it has takes its place.
func (p *Pool) adoptWitness() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.witness != nil && sockets.Peek(p.witness.Conn) != sockets.Open {
		p.discardLocked(p.witness)
		p.witness = nil
	}
	if p.witness != nil && p.witness.answered {
		return true
	}
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		if !c.answered || sockets.Peek(c.Conn) != sockets.Open {
			continue
		}
		p.idle = append(p.idle[:i], p.idle[i+1:]...)
		if p.witness != nil {
			p.idle = append(p.idle, p.witness)
		}
		p.witness = c
		break
	}
	return p.witness != nil
}

// dropWitness closes the witness, if there is one.
func (p *Pool) dropWitness() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.witness != nil {
		p.discardLocked(p.witness)
		p.witness = nil
	}
}
