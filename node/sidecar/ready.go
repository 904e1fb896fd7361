package sidecar

import (
	"bytes"
	"context"

	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/node/internal/listener"
)

// serveReady answers whether the node takes callers.
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

// serveMetrics writes the counters and histograms.
func (s *Sidecar) serveMetrics(_ context.Context, x *listener.Exchange) {
	var text bytes.Buffer
	if err := s.metrics.Write(&text); err != nil {
		s.log.Warn("metrics not written", field("error", err))
		x.Response.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	x.Response.Header.SetContentType("text/plain; version=0.0.4")
	x.Response.SetBodyRaw(text.Bytes())
}
