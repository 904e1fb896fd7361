// Package admin serves the operators' HTTP endpoints: metrics, status, readiness
// and liveness. Its listener is separate from those that accept calls.
package admin

import (
	"bytes"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v3"

	"github.com/shallotspool/shallotspool/core/status"
	"github.com/shallotspool/shallotspool/node/internal/metrics"
	"github.com/shallotspool/shallotspool/node/internal/strictconn"
)

// Limits of the listener.
const (
	// maxRequestBytes limits the header and the body of a request separately.
	maxRequestBytes = 4 << 10
	maxConnections  = 64
	readTimeout     = 5 * time.Second
	writeTimeout    = 10 * time.Second
	idleTimeout     = 30 * time.Second
)

// Server is the HTTP server for operators.
type Server struct{ app *fiber.App }

// New returns a Server that gets the node's status from currentStatus.
func New(currentStatus func() status.Node, m *metrics.Metrics) *Server {
	app := fiber.New(fiber.Config{
		BodyLimit: maxRequestBytes, ReadBufferSize: maxRequestBytes, Concurrency: maxConnections,
		ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout,
	})
	app.Get("/livez", func(c fiber.Ctx) error { return c.SendString("ok\n") })
	app.Get("/readyz", func(c fiber.Ctx) error { return writeReadiness(c, currentStatus()) })
	app.Get("/status", func(c fiber.Ctx) error { return c.JSON(currentStatus()) })
	app.Get("/metrics", func(c fiber.Ctx) error { return writeMetrics(c, m) })
	return &Server{app: app}
}

// Serve handles requests from ln until Shutdown is called.
func (s *Server) Serve(ln net.Listener) error {
	// The library itself refuses a head that is too large.
	checked := strictconn.Wrap(ln, strictconn.Config{MaxHeadBytes: 2 * maxRequestBytes})
	err := s.app.Listener(checked, fiber.ListenConfig{DisableStartupMessage: true})
	return errors.Wrap(err, "serve admin listener")
}

// Shutdown closes the listener and waits up to writeTimeout for open requests.
func (s *Server) Shutdown() error {
	return errors.Wrap(s.app.ShutdownWithTimeout(writeTimeout), "shut down admin listener")
}

// writeReadiness responds with 200 if the node accepts calls, which requires the
// serving state and a document, and otherwise with 503 and the reason.
func writeReadiness(c fiber.Ctx, s status.Node) error {
	if s.State == "serving" && s.Document.Version > 0 {
		return c.SendString("ready\n")
	}
	c.Status(fiber.StatusServiceUnavailable)
	if s.Document.Version == 0 {
		return c.SendString("no document yet\n")
	}
	return c.SendString(s.State + "\n")
}

// writeMetrics responds with all metrics in the Prometheus text format.
func writeMetrics(c fiber.Ctx, m *metrics.Metrics) error {
	var text bytes.Buffer
	if err := m.Write(&text); err != nil {
		return err
	}
	c.Set(fiber.HeaderContentType, "text/plain; version=0.0.4; charset=utf-8")
	return c.Send(text.Bytes())
}
