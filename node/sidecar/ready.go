package sidecar

import (
	"bytes"
	"context"

	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/node/internal/listener"
	"github.com/shallotspool/shallotspool/node/internal/metrics"
)

// serveReady responds to the platform's readiness check: 200 if the node accepts
// requests from callers, 503 if not.
func (s *Sidecar) serveReady(_ context.Context, x *listener.Exchange) {
	s.mu.Lock()
	ready := s.node.Ready()
	s.mu.Unlock()
	switch {
	case string(x.Request.Header.RequestURI()) != s.dialect.ReadyPath:
		x.Response.SetStatusCode(fasthttp.StatusNotFound)
	case !ready:
		x.Response.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// serveMetrics writes the counters, histograms and gauges in Prometheus' text format.
func (s *Sidecar) serveMetrics(_ context.Context, x *listener.Exchange) {
	var text bytes.Buffer
	err := s.metrics.Write(&text)
	if err == nil {
		err = metrics.WriteGauges(&text, s.gauges())
	}
	if err != nil {
		s.log.Warn("metrics not written", field("error", err))
		x.Response.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	x.Response.Header.SetContentType("text/plain; version=0.0.4")
	x.Response.SetBodyRaw(text.Bytes())
}
