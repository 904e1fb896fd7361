package daemon

import (
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/shallotspool/shallotspool/core/document"
	"github.com/shallotspool/shallotspool/core/engine"
	"github.com/shallotspool/shallotspool/node/internal/logging"
)

// Perform carries one action out. It is called with the engine's lock held and
// returns at once; attempts are returned as work, to be run without the lock.
func (d *Daemon) Perform(n *engine.Node, action engine.Action) (work func()) {
	switch a := action.(type) {
	case *engine.Dispatch:
		return d.carrier.Dispatch(a)
	case *engine.SendCall:
		return d.carrier.Send(a)
	case *engine.CancelAttempt:
		d.carrier.Cancel(a.Attempt)
	case *engine.SendFrame:
		d.hub.Send(a.To, a.Frame)
	case *engine.OpenLink:
		d.hub.Open(a.Target)
	case *engine.CloseLink:
		d.hub.Drop(a.Target)
	case *engine.ReadPlatform:
		d.reader.Read(d.ctx, a)
	case *engine.CheckDocument:
		return func() { d.check(a) }
	case *engine.Log:
		d.log.Log(logLevels[a.Level], a.Message, fieldsOf(a.Fields))
	case *engine.Measurement:
		d.metrics.Take(a, n.ClassName(a.Class))
	case *engine.Stopped:
		d.stopOnce.Do(func() { close(d.stopped) })
	}
	return nil
}

// check parses a document beside the engine: a long one takes a quarter of a
// second, which calls must not wait for.
func (d *Daemon) check(a *engine.CheckDocument) {
	doc, err := document.Parse(a.Text)
	d.loop.Step(&engine.DocumentChecked{Version: a.Version, Text: a.Text, Document: doc, Err: err})
}

var logLevels = map[engine.LogLevel]logrus.Level{
	engine.LogInfo: logrus.InfoLevel, engine.LogWarn: logrus.WarnLevel, engine.LogError: logrus.ErrorLevel,
}

func fieldsOf(fields []engine.Field) []logging.Field {
	out := make([]logging.Field, len(fields))
	for i, f := range fields {
		out[i] = logging.Field(f)
	}
	return out
}

func (d *Daemon) exchangeFailed(address string, err error) {
	d.metrics.Count("shallot_exchanges_failed_total", 1)
	d.log.Info("exchange failed", field("address", address), field("error", err.Error()))
}

func (d *Daemon) linkFailed(target string, err error) {
	if d.ctx.Err() != nil || err == nil {
		return
	}
	d.metrics.Count("shallot_links_failed_total", 1)
	d.log.Info("link failed", field("peer", target), field("error", err.Error()))
}

func (d *Daemon) readFailed(err error) {
	d.metrics.Count("shallot_platform_reads_failed_total", 1)
	d.log.Warn("platform read failed", field("error", err.Error()))
}

// serve takes the end of a listener.
func (d *Daemon) serve(err error) {
	if err != nil && d.ctx.Err() == nil {
		d.fail(err)
	}
}

func (d *Daemon) panicked(err error) { d.fail(errors.Wrap(err, "panic")) }

// fail reports the first failure that the node cannot go on after.
func (d *Daemon) fail(err error) {
	d.log.Error("failed", field("error", err.Error()))
	select {
	case d.failed <- err:
	default:
	}
}

func field(key, value string) logging.Field { return logging.Field{Key: key, Value: value} }
