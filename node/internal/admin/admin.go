// Package admin serves operators: metrics, status, readiness and liveness. It
// stands apart from the listeners that take calls.
package admin

import (
	"bytes"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v3"

	"github.com/shallotspool/shallotspool/core/status"
	"github.com/shallotspool/shallotspool/node/internal/metrics"
)

// Limits of the listener.
const (
	maxRequest     = 4 << 10
	maxConnections = 64
	readLimit      = 5 * time.Second
	writeLimit     = 10 * time.Second
	idleLimit      = 30 * time.Second
)

// Server is the listener for operators.
type Server struct{ app *fiber.App }

// New returns a Server that asks current for the node's status.
func New(current func() status.Node, m *metrics.Metrics) *Server {
	app := fiber.New(fiber.Config{
		BodyLimit: maxRequest, ReadBufferSize: maxRequest, Concurrency: maxConnections,
		ReadTimeout: readLimit, WriteTimeout: writeLimit, IdleTimeout: idleLimit,
	})
	app.Get("/livez", func(c fiber.Ctx) error { return c.SendString("ok\n") })
	app.Get("/readyz", func(c fiber.Ctx) error { return ready(c, current()) })
	app.Get("/status", func(c fiber.Ctx) error { return c.JSON(current()) })
	app.Get("/metrics", func(c fiber.Ctx) error { return writeMetrics(c, m) })
	return &Server{app: app}
}

// Serve answers requests from ln until Shutdown.
func (s *Server) Serve(ln net.Listener) error {
	err := s.app.Listener(ln, fiber.ListenConfig{DisableStartupMessage: true})
	return errors.Wrap(err, "admin listener")
}

// Shutdown ends the listener.
func (s *Server) Shutdown() error {
	return errors.Wrap(s.app.ShutdownWithTimeout(writeLimit), "admin listener")
}

// ready answers 200 when the node takes calls: it serves, under a document.
func ready(c fiber.Ctx, s status.Node) error {
	if s.State == "serving" && s.Document.Version > 0 {
		return c.SendString("ready\n")
	}
	c.Status(fiber.StatusServiceUnavailable)
	if s.Document.Version == 0 {
		return c.SendString("no document yet\n")
	}
	return c.SendString(s.State + "\n")
}

func writeMetrics(c fiber.Ctx, m *metrics.Metrics) error {
	var text bytes.Buffer
	if err := m.Write(&text); err != nil {
		return err
	}
	c.Set(fiber.HeaderContentType, "text/plain; version=0.0.4; charset=utf-8")
	return c.Send(text.Bytes())
}
