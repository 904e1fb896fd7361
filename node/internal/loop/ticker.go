package loop

import (
	"context"
	"time"

	"github.com/shallotspool/shallotspool/core/engine"
)

// RunTicker sends a tick event to the engine at every engine.TickInterval until ctx
// is done.
func (l *Loop) RunTicker(ctx context.Context) {
	ticker := time.NewTicker(engine.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.Step(&engine.Tick{})
		}
	}
}
