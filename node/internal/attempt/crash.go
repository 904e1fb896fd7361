package attempt

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/shallotspool/shallotspool/core/engine"
	"github.com/shallotspool/shallotspool/node/internal/pool"
)

// probeLimit is how long the look whether the upstream still listens may take.
const probeLimit = 100 * time.Millisecond

// crashWatch tells the engine once of each crash of the own upstream, before
// any attempt that the crash ended is reported.
type crashWatch struct {
	mu      sync.Mutex
	crashed bool
}

// check looks whether the upstream behind a broken connection is gone: it takes
// no connections any more, or it closed all idle ones at once.
func (w *crashWatch) check(p *pool.Pool, engineOf Stepper) {
	w.mu.Lock()
	defer w.mu.Unlock()
	gone := p.AllIdleClosed()
	c, err := p.Get(probeLimit)
	if err == nil {
		p.Put(c)
	}
	gone = gone || errors.Is(err, pool.ErrDial)
	if gone && !w.crashed {
		engineOf.Step(&engine.UpstreamCrashed{})
	}
	w.crashed = errors.Is(err, pool.ErrDial)
}
