package daemon

import (
	"context"
	"strconv"

	"github.com/sourcegraph/conc"

	"github.com/shallotspool/shallotspool/core/engine"
)

// Stop stops gracefully: peers are told at once, nothing new is taken, and what
// is in flight is completed. It returns nil when all of that is done, or the
// error of ctx, after which Kill ends the node.
func (d *Daemon) Stop(ctx context.Context) error {
	d.log.Info("stopping")
	d.loop.Step(&engine.StopRequested{})
	select {
	case <-d.stopped:
	case <-ctx.Done():
		return ctx.Err()
	}
	d.shutdown()
	d.log.Info("stopped")
	d.end()
	return nil
}

// shutdown closes the listeners once the answers on them have been written.
func (d *Daemon) shutdown() {
	var wg conc.WaitGroup
	for _, s := range d.servers {
		wg.Go(func() { _ = s.Shutdown() })
	}
	wg.Wait()
}

// Kill stops at once and cuts what is in flight; it returns the number of calls
// that were cut.
func (d *Daemon) Kill() int {
	cut := d.loop.Open()
	if cut > 0 {
		d.log.Error("killed", field("calls_cut", strconv.Itoa(cut)))
	}
	d.end()
	return cut
}

// end closes what is still open and waits for every goroutine.
func (d *Daemon) end() {
	d.closeOnce.Do(func() {
		d.cancel()
		d.loop.Close()
		d.carrier.Abort()
		for _, s := range d.servers {
			s.Cut()
		}
		d.shutdown()
		d.hub.Close()
		_ = d.admin.Shutdown()
		d.carrier.Close()
		d.platform.Close()
		d.tasks.Wait()
		d.log.Close()
	})
}
