package attempt

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/shallotspool/shallotspool/core/engine"
	"github.com/shallotspool/shallotspool/node/internal/pool"
)

// probeTimeout bounds the connection attempt that checks whether the upstream
// still listens.
const probeTimeout = 100 * time.Millisecond

// crashDetector reports each crash of the node's own upstream to the engine
// once, before any attempt that failed because of the crash is reported.
type crashDetector struct {
	mu sync.Mutex
	// down is true if the latest call of reportIfCrashed could not connect to the
	// upstream.
	down bool
}

// reportIfCrashed is called after a connection to the upstream failed. It reports a
// crash if the upstream has closed all idle connections of p or accepts no new one,
// unless the previous call already found it down.
func (d *crashDetector) reportIfCrashed(p *pool.Pool, events Stepper) {
	d.mu.Lock()
	defer d.mu.Unlock()
	crashed := p.AllIdleClosed()
	conn, err := p.Get(probeTimeout)
	if err == nil {
		p.Put(conn)
	}
	crashed = crashed || errors.Is(err, pool.ErrDial)
	if crashed && !d.down {
		events.Step(&engine.UpstreamCrashed{})
	}
	d.down = errors.Is(err, pool.ErrDial)
}
