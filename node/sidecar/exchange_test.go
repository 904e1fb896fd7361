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

// TestFailedExchangeOutcome checks how errors of an exchange are classified: whether
// the request may have run, and for which reason it failed.
func TestFailedExchangeOutcome(t *testing.T) {
	s := &Sidecar{log: logging.New(io.Discard, logrus.InfoLevel)}
	defer s.log.Close()
	p := pool.New(pool.Config{Address: "127.0.0.1:1", MaxConnections: 1})
	readError := func(err error) error { return errors.Wrap(&net.OpError{Op: "read", Err: err}, "read response") }
	for _, c := range []struct {
		name   string
		err    error
		sent   bool
		kind   mesh.OutcomeKind
		reason mesh.Reason
	}{
		{"nothing sent", readError(syscall.ECONNRESET), false, mesh.OutcomeNotRun, mesh.ReasonUnreachable},
		{"reset", readError(os.NewSyscallError("read", syscall.ECONNRESET)), true, mesh.OutcomeUnknown, mesh.ReasonLost},
		{"truncated response", errors.Wrap(io.ErrUnexpectedEOF, "read response"), true, mesh.OutcomeUnknown, mesh.ReasonLost},
		{"deadline", readError(os.ErrDeadlineExceeded), true, mesh.OutcomeUnknown, mesh.ReasonDeadline},
		{"fasthttp timeout", errors.Wrap(fasthttp.ErrTimeout, "read response"), true, mesh.OutcomeUnknown, mesh.ReasonDeadline},
		{"silent connection", readError(os.NewSyscallError("read", syscall.ETIMEDOUT)), true, mesh.OutcomeUnknown, mesh.ReasonLost},
	} {
		o := s.failedExchange(p, &upstreamRequest{id: "r"}, c.err, c.sent)
		if o.Kind != c.kind || o.Reason != c.reason {
			t.Errorf("%s: got %+v, want kind %v and reason %v", c.name, o, c.kind, c.reason)
		}
	}
}
