package sidecar

import (
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/shallotspool/shallotspool/core/mesh"
	"github.com/shallotspool/shallotspool/node/internal/listener"
	"github.com/shallotspool/shallotspool/node/internal/logging"
)

func field(key string, value any) logging.Field {
	return logging.Field{Key: key, Value: fmt.Sprint(value)}
}

// milliseconds is the form of durations in log lines.
func milliseconds(d time.Duration) string {
	return strconv.FormatFloat(float64(d)/float64(time.Millisecond), 'f', 1, 64)
}

// logAnswer writes the line of a request that ended here. Those that succeeded
// have a budget of their own, so that they do not crowd out the others.
func (s *Sidecar) logAnswer(x *listener.Exchange, c *mesh.Call, step mesh.Step, status int) {
	if c == nil {
		s.log.Info("request refused", field("request", string(x.Request.Header.Peek(s.dialect.Headers.RequestID))),
			field("host", string(x.Request.Header.Host())), field("reason", step.Reason), field("status", status))
		return
	}
	switch {
	case step.Kind == mesh.StepDeliver && status < fasthttp.StatusInternalServerError:
		s.logCall("request served", c, step, status)
	case step.Kind == mesh.StepDeliver:
		s.logCall("upstream failed", c, step, status)
	case step.Kind == mesh.StepRefuse:
		s.logCall("request refused", c, step, status)
	default:
		s.logCall("request failed", c, step, status)
	}
}

// logCall writes one line on a call: what decided it, and the outcome.
func (s *Sidecar) logCall(message string, c *mesh.Call, step mesh.Step, status int) {
	s.log.Lazy(logging.InfoLevel, message, func() []logging.Field { return s.callFields(c, step, status) })
}

// callFields are the inputs of the decisions on a call, and their outcome.
func (s *Sidecar) callFields(c *mesh.Call, step mesh.Step, status int) []logging.Field {
	return []logging.Field{
		field("request", c.ID), field("route", c.Route.Name), field("service", c.Service), field("version", c.Version),
		field("attempts", c.Attempts()), field("last", c.LastTried()), field("reason", step.Reason), field("status", status),
		field("inner", c.Inner), field("returned", c.Returned), field("priority", c.Rank.Priority), field("age_ms", milliseconds(c.Rank.Age)),
		field("took_ms", milliseconds(s.now()-c.Arrived)), field("left_ms", milliseconds(c.Deadline-s.now())),
		field("retry_after_ms", milliseconds(step.RetryAfter)),
	}
}

// logAgain writes the line of a call that is sent once more.
func (s *Sidecar) logAgain(c *mesh.Call, o mesh.Outcome, t mesh.Target) {
	s.log.Lazy(logging.InfoLevel, "request sent again", func() []logging.Field {
		return []logging.Field{
			field("request", c.ID), field("route", c.Route.Name), field("service", c.Service), field("attempts", c.Attempts()),
			field("reason", o.Reason), field("status", o.Status), field("reached", o.Reached),
			field("to", c.LastTried()), field("load", fmt.Sprintf("%.2f", t.Load)), field("load_age_ms", milliseconds(t.LoadAge)),
			field("left_ms", milliseconds(c.Deadline-s.now())),
		}
	})
}

// logBeliefs writes what changed in what the node believes of others.
func (s *Sidecar) logBeliefs(events []mesh.Event) {
	for _, e := range events {
		fields := []logging.Field{field("instance", e.Instance), field("faults", fmt.Sprintf("%.2f", e.Faults)), field("beat_age_ms", milliseconds(e.Age))}
		if e.Reason != mesh.ReasonNone {
			fields = append(fields, field("reason", e.Reason))
		}
		s.log.Log(logging.InfoLevel, e.Kind.String(), fields)
	}
}

func (s *Sidecar) logRefusal(w *work, reason mesh.Reason) {
	s.mu.Lock()
	load := s.node.Load()
	s.mu.Unlock()
	s.log.Info("work refused", field("request", w.id), field("reason", reason), field("priority", w.rank.Priority),
		field("running", load.Running), field("queued", load.Queued), field("limit", load.Limit),
		field("left_ms", milliseconds(w.deadline-s.now())))
}

// count adds a finished request to the metrics.
func (s *Sidecar) count(c *mesh.Call, step mesh.Step, status int, took time.Duration) {
	if c == nil {
		s.metrics.Count("shallot_requests_unrouted_total", 1)
		return
	}
	s.metrics.Ended(c.Route.Name, strconv.Itoa(status), step.Reason.String(), took)
}

// logPlan writes what the shares at the entry follow from, while any is below 1.
func (s *Sidecar) logPlan() {
	s.mu.Lock()
	services, shares := s.node.Report()
	var fields []logging.Field
	for _, share := range shares {
		fields = append(fields, field("share_"+s.node.RouteName(share.Route), fmt.Sprintf("%.2f", share.Share)))
	}
	s.mu.Unlock()
	if len(shares) == 0 {
		return
	}
	for _, v := range services {
		fields = append(fields, field("service_"+v.Service, fmt.Sprintf("slots:%.0f,busy:%.1f,backlog:%.1f", v.Slots, v.Busy, v.Backlog)))
	}
	s.log.Log(logging.InfoLevel, "entry shares", fields)
}
