package sidecar

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/core/mesh"
	"github.com/shallotspool/shallotspool/node/internal/logging"
	"github.com/shallotspool/shallotspool/node/internal/pool"
)

// TestBrokenExchange: what an exchange without a whole answer says of the request.
func TestBrokenExchange(t *testing.T) {
	s := &Sidecar{log: logging.New(io.Discard, logrus.InfoLevel)}
	defer s.log.Close()
	p := pool.New(pool.Config{Address: "127.0.0.1:1", Max: 1})
	reading := func(err error) error { return errors.Wrap(&net.OpError{Op: "read", Err: err}, "read answer") }
	for _, c := range []struct {
		name   string
		err    error
		sent   bool
		kind   mesh.OutcomeKind
		reason mesh.Reason
	}{
		{"nothing sent", reading(syscall.ECONNRESET), false, mesh.NotRun, mesh.ReasonUnreachable},
		{"reset", reading(os.NewSyscallError("read", syscall.ECONNRESET)), true, mesh.Unknown, mesh.ReasonLost},
		{"cut short", errors.Wrap(io.ErrUnexpectedEOF, "read answer"), true, mesh.Unknown, mesh.ReasonLost},
		{"deadline", reading(os.ErrDeadlineExceeded), true, mesh.Unknown, mesh.ReasonDeadline},
		{"deadline, as fasthttp says it", errors.Wrap(fasthttp.ErrTimeout, "read answer"), true, mesh.Unknown, mesh.ReasonDeadline},
		{"silent connection", reading(os.NewSyscallError("read", syscall.ETIMEDOUT)), true, mesh.Unknown, mesh.ReasonLost},
	} {
		o := s.broken(p, &work{id: "r"}, c.err, c.sent)
		if o.Kind != c.kind || o.Reason != c.reason {
			t.Errorf("%s: %+v", c.name, o)
		}
	}
}
