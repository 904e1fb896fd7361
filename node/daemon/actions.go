package daemon

import (
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"net/netip"

	"github.com/shallotspool/shallotspool/core/document"
	"github.com/shallotspool/shallotspool/core/engine"
	"github.com/shallotspool/shallotspool/node/internal/logging"
)

// HandleAction executes one action of the engine. It is called with the loop's
// lock held and does not block: an action that may block is returned as work,
// which the loop runs without the lock.
func (d *Daemon) HandleAction(n *engine.Node, action engine.Action) (work func()) {
	switch a := action.(type) {
	case *engine.Dispatch:
		return d.attempts.PrepareDispatch(a)
	case *engine.SendCall:
		return d.attempts.PrepareSend(a)
	case *engine.CancelAttempt:
		d.attempts.Cancel(a.Attempt)
	case *engine.SendFrame:
		d.hub.Send(a.To, a.Frame)
	case *engine.OpenLink:
		d.hub.Connect(a.Target)
	case *engine.CloseLink:
		d.hub.Disconnect(a.Target)
	case *engine.ReadPlatform:
		d.reader.StartRead(d.ctx, a)
	case *engine.ParseDocument:
		return func() { d.parseDocument(a) }
	case *engine.Log:
		d.log.Log(logLevels[a.Level], a.Message, loggingFields(a.Fields))
	case *engine.Measurement:
		d.metrics.RecordMeasurement(a, n.ClassName(a.Class))
	case *engine.Stopped:
		d.stopOnce.Do(func() { close(d.stopped) })
	}
	return nil
}

// parseDocument parses a document without the loop's lock and passes the result
// to the engine. A large document takes about 0.25 s to parse, and calls
// must not wait for it.
func (d *Daemon) parseDocument(a *engine.ParseDocument) {
	doc, err := document.Parse(a.Text)
	d.loop.Step(&engine.DocumentParsed{Version: a.Version, Text: a.Text, Document: doc, Err: err})
}

var logLevels = map[engine.LogLevel]logrus.Level{
	engine.LogInfo: logrus.InfoLevel, engine.LogWarn: logrus.WarnLevel, engine.LogError: logrus.ErrorLevel,
}

func loggingFields(fields []engine.Field) []logging.Field {
	out := make([]logging.Field, len(fields))
	for i, f := range fields {
		out[i] = logging.Field(f)
	}
	return out
}

// recordExchangeFailure counts and logs a failed HTTP exchange with the upstream
// or another node.
func (d *Daemon) recordExchangeFailure(address string, err error) {
	d.metrics.AddToCounter("shallot_exchanges_failed_total", 1)
	d.log.Info("exchange failed", logField("address", address), logField("error", err.Error()))
}

// recordMalformedRequest counts and logs a request that is refused because it is malformed.
func (d *Daemon) recordMalformedRequest(remote netip.Addr, err error) {
	d.metrics.AddToCounter("shallot_malformed_requests_total", 1)
	d.log.Info("request malformed", logField("address", remote.String()), logField("error", err.Error()))
}

// recordLinkFailure counts and logs a link that was refused or broke, except
// while the daemon is closing.
func (d *Daemon) recordLinkFailure(target string, err error) {
	if d.ctx.Err() != nil || err == nil {
		return
	}
	d.metrics.AddToCounter("shallot_links_failed_total", 1)
	d.log.Info("link failed", logField("peer", target), logField("error", err.Error()))
}

// recordPlatformReadFailure counts and logs a failed read from the platform.
func (d *Daemon) recordPlatformReadFailure(err error) {
	d.metrics.AddToCounter("shallot_platform_reads_failed_total", 1)
	d.log.Warn("platform read failed", logField("error", err.Error()))
}

// handleServeResult treats the error of a listener that stopped serving as
// fatal, except while the daemon is closing.
func (d *Daemon) handleServeResult(err error) {
	if err != nil && d.ctx.Err() == nil {
		d.reportFailure(err)
	}
}

// handlePanic treats a panic in a goroutine of the node as fatal.
func (d *Daemon) handlePanic(err error) { d.reportFailure(errors.Wrap(err, "panic")) }

// reportFailure logs a fatal error and delivers it to the channel of Failed. An
// error that follows before the first one was received is only logged.
func (d *Daemon) reportFailure(err error) {
	d.log.Error("failed", logField("error", err.Error()))
	select {
	case d.failure <- err:
	default:
	}
}

func logField(key, value string) logging.Field { return logging.Field{Key: key, Value: value} }
