package daemon

import (
	"context"
	"strconv"

	"github.com/sourcegraph/conc"

	"github.com/shallotspool/shallotspool/core/engine"
)

// Stop shuts the node down gracefully: it notifies the peers, accepts no new
// calls and completes the calls in flight. It returns nil when the shutdown is
// complete. It returns the error of ctx if ctx ends first; calls may then still
// be in flight, and the caller must call Daemon.Kill.
func (d *Daemon) Stop(ctx context.Context) error {
	d.log.Info("stopping")
	d.loop.Step(&engine.StopRequested{})
	select {
	case <-d.stopped:
	case <-ctx.Done():
		return ctx.Err()
	}
	d.shutDownListeners()
	d.log.Info("stopped")
	d.closeAll()
	return nil
}

// shutDownListeners closes the listeners and waits until the pending responses
// have been written.
func (d *Daemon) shutDownListeners() {
	var wg conc.WaitGroup
	for _, s := range d.servers {
		wg.Go(func() { _ = s.Shutdown() })
	}
	wg.Wait()
}

// Kill stops the node immediately and aborts the calls in flight. It returns the
// number of aborted calls.
func (d *Daemon) Kill() int {
	aborted := d.loop.OpenCalls()
	if aborted > 0 {
		d.log.Error("killed", logField("calls_cut", strconv.Itoa(aborted)))
	}
	d.closeAll()
	return aborted
}

// closeAll closes all remaining listeners and connections and waits for all
// goroutines to end. Only the first call has an effect.
func (d *Daemon) closeAll() {
	d.closeOnce.Do(func() {
		d.cancel()
		d.loop.Close()
		d.attempts.CancelAll()
		for _, s := range d.servers {
			s.AbortCalls()
		}
		d.shutDownListeners()
		d.hub.Close()
		_ = d.admin.Shutdown()
		// A server that begins to serve only now knows nothing of the shutdown.
		for _, ln := range d.listeners {
			_ = ln.Close()
		}
		d.attempts.Close()
		d.platform.Close()
		d.tasks.Wait()
		d.log.Close()
	})
}
