package sidecar

import (
	"fmt"
	"net/netip"
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

// formatMilliseconds formats a duration for log lines, in milliseconds.
func formatMilliseconds(d time.Duration) string {
	return strconv.FormatFloat(float64(d)/float64(time.Millisecond), 'f', 1, 64)
}

// logResult logs the result of a caller's request. Successful requests have a message
// of their own and thus a separate rate limit, so that they cannot displace lines about
// failed requests. c is nil if the node has no table or no route matches.
func (s *Sidecar) logResult(x *listener.Exchange, c *mesh.Call, step mesh.Step, status int) {
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

// logCall logs one line about a call, with its result and the values that led to it.
// status is 0 if the caller got no response.
func (s *Sidecar) logCall(message string, c *mesh.Call, step mesh.Step, status int) {
	s.log.LogLazy(logging.InfoLevel, message, func() []logging.Field { return s.callFields(c, step, status) })
}

// callFields returns the fields of logCall's line.
func (s *Sidecar) callFields(c *mesh.Call, step mesh.Step, status int) []logging.Field {
	return []logging.Field{
		field("request", c.ID), field("route", c.Route.Name), field("service", c.Service), field("version", c.Version),
		field("attempts", c.Attempts()), field("last", c.LastTried()), field("reason", step.Reason), field("status", status),
		field("inner", c.FromUpstream), field("returned", c.CallerRetry), field("priority", c.Rank.Priority), field("age_ms", formatMilliseconds(c.Rank.Age)),
		field("took_ms", formatMilliseconds(s.now()-c.Arrived)), field("left_ms", formatMilliseconds(c.Deadline-s.now())),
		field("retry_after_ms", formatMilliseconds(step.RetryAfter)),
	}
}

// logRetry logs that a call is sent again, to t, after an attempt with outcome o.
func (s *Sidecar) logRetry(c *mesh.Call, o mesh.Outcome, t mesh.Target) {
	s.log.LogLazy(logging.InfoLevel, "request sent again", func() []logging.Field {
		return []logging.Field{
			field("request", c.ID), field("route", c.Route.Name), field("service", c.Service), field("attempts", c.Attempts()),
			field("reason", o.Reason), field("status", o.Status), field("reached", o.ReachedUpstream),
			field("to", c.LastTried()), field("load", fmt.Sprintf("%.2f", t.Utilisation)), field("load_age_ms", formatMilliseconds(t.LoadAge)),
			field("left_ms", formatMilliseconds(c.Deadline-s.now())),
		}
	})
}

// logPeerEvents logs changes in the states that the node assigns to other instances.
func (s *Sidecar) logPeerEvents(events []mesh.Event) {
	for _, e := range events {
		switch e.Kind {
		case mesh.EventRequestBlocked, mesh.EventRequestCleared:
			s.log.Info(e.Kind.String(), fingerprintField(e.Fingerprint), field("crashes", e.Crashes), field("instance", e.Instance))
			continue
		case mesh.EventRelayFollowed:
			s.log.Info(e.Kind.String(), field("instance", e.Instance), field("data_centre", e.DataCentre))
			continue
		case mesh.EventLimitNamed, mesh.EventLimitLifted, mesh.EventUpstreamLeaving:
			s.log.Info(e.Kind.String(), field("instance", e.Instance), field("limit_per_second", e.RateLimit))
			continue
		}
		fields := []logging.Field{field("instance", e.Instance), field("faults", fmt.Sprintf("%.2f", e.FaultShare)), field("beat_age_ms", formatMilliseconds(e.HeartbeatAge))}
		if e.Reason != mesh.ReasonNone {
			fields = append(fields, field("reason", e.Reason))
		}
		s.log.Log(logging.InfoLevel, e.Kind.String(), fields)
	}
}

// logRefusal logs that the local upstream did not get a request.
func (s *Sidecar) logRefusal(req *upstreamRequest, reason mesh.Reason) {
	s.mu.Lock()
	load := s.node.Load()
	s.mu.Unlock()
	s.log.Info("work refused", field("request", req.id), field("reason", reason), field("priority", req.rank.Priority),
		field("running", load.Running), field("queued", load.Queued), field("limit", load.Limit),
		field("left_ms", formatMilliseconds(req.deadline-s.now())))
}

// logMalformed logs and counts a request that gets a status because it is malformed.
func (s *Sidecar) logMalformed(remote netip.Addr, status int, err error) {
	s.metrics.AddToCounter("shallot_malformed_requests_total", 1)
	s.log.Info("request malformed", field("address", remote), field("status", status), field("error", err))
}

// logCrash logs that the local upstream crashed while it ran w. running is the number of
// requests that ran at that time.
func (s *Sidecar) logCrash(w mesh.Work, running int) {
	s.metrics.AddToCounter("shallot_requests_at_crash_total", 1)
	s.log.Warn("upstream crashed", field("request", w.RequestID), fingerprintField(w.Fingerprint), field("running", running))
}

// logUnexplainedLoss logs that the answer to w was lost while the local upstream still
// accepts connections, so that the loss does not count as a crash.
func (s *Sidecar) logUnexplainedLoss(w mesh.Work, running int) {
	s.log.Info("answer lost", field("request", w.RequestID), fingerprintField(w.Fingerprint), field("running", running))
}

func fingerprintField(fingerprint uint64) logging.Field {
	return field("fingerprint", strconv.FormatUint(fingerprint, 16))
}

// countRequest records a finished request in the metrics. c is nil as for logResult.
func (s *Sidecar) countRequest(c *mesh.Call, step mesh.Step, status int, took time.Duration) {
	if c == nil {
		s.metrics.AddToCounter("shallot_requests_unrouted_total", 1)
		return
	}
	s.metrics.RecordRequest(c.Route.Name, strconv.Itoa(status), step.Reason.String(), took)
}

// logPlan logs the admission shares of the routes, and the service loads and the demand from
// which they were computed, if any share is below 1.
func (s *Sidecar) logPlan() {
	s.mu.Lock()
	services, shares := s.node.PlanReport()
	demand := s.demandFields()
	var fields []logging.Field
	for _, share := range shares {
		fields = append(fields, field("share_"+s.node.RouteName(share.Route), fmt.Sprintf("%.2f", share.Share)))
	}
	s.mu.Unlock()
	if len(shares) == 0 {
		return
	}
	for _, service := range services {
		fields = append(fields, field("service_"+service.Service, fmt.Sprintf("slots:%.0f,busy:%.1f,backlog:%.1f", service.Slots, service.SlotsInUse, service.Backlog)))
	}
	s.log.Log(logging.InfoLevel, "entry shares", fields)
	s.log.Log(logging.InfoLevel, "entry demand", demand)
}

// demandFields returns the fields of the log line about the demand for each route at all
// nodes. The caller holds s.mu.
func (s *Sidecar) demandFields() (fields []logging.Field) {
	for _, d := range s.node.DemandReports() {
		text := fmt.Sprintf("offered:%.1f,admitted:%.1f,served:%.1f", d.Offered, d.Admitted, d.Served)
		for _, l := range d.Loads {
			text += fmt.Sprintf(",load_%s:%.4f", l.Service, l.Load)
		}
		fields = append(fields, field("route_"+s.node.RouteName(d.Route), text))
	}
	return fields
}
