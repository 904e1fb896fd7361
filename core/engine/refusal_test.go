package engine_test

import (
	"strings"
	"testing"
	"time"

	"github.com/shallotspool/shallotspool/core/document"
	"github.com/shallotspool/shallotspool/core/engine"
	"github.com/shallotspool/shallotspool/core/status"
)

// TestRefusalOnArrivalIsMeasured verifies that a call refused on arrival is
// counted in the metrics like one refused later, and that a call without a
// route has no class.
func TestRefusalOnArrivalIsMeasured(t *testing.T) {
	tn := newTestNodeWithLimit(t, 10)
	tn.lastCallID++
	actions := tn.step(&engine.CallArrived{
		ID: tn.lastCallID, Origin: engine.OriginCaller, Timeout: time.Second,
		Request: &engine.Request{Service: "front", Method: "GET", Path: "/nowhere"},
	})
	m := findOne[*engine.Measurement](t, actions)
	if m.Metric != engine.MetricRefused || m.Reason != engine.ReasonNoRoute || m.Class != document.NoClass || m.Count != 1 {
		t.Fatalf("measured %+v, want one refusal without a route and class", m)
	}
}

// TestRetryOnNotRunPreventsRetryAfterLoss verifies that an idempotent route
// with "retry_on: not_run" is not retried after an attempt that may have run.
func TestRetryOnNotRunPreventsRetryAfterLoss(t *testing.T) {
	tn := newTestNodeWithLimit(t, 10)
	text := strings.NewReplacer("version: 1", "version: 2", "retries: 2}", "retries: 2, retry_on: not_run}").Replace(chainDocument)
	tn.step(&engine.DocumentRead{Text: []byte(text)})
	_, actions := tn.callFromCaller("k")
	id, actions := tn.callFromUpstream(findOne[*engine.Dispatch](t, actions).Attempt)
	lost := findOne[*engine.SendCall](t, actions)
	end := findOne[*engine.ReplyCall](t, tn.step(&engine.AttemptFailed{Attempt: lost.Attempt, Cause: engine.FailureLost}))
	if end.ID != id || end.Reply.Outcome != engine.OutcomeUnknown {
		t.Fatalf("reply %+v, want an unknown outcome of call %d", end, id)
	}
}

// TestOversizedDocumentIsRefused verifies that a document over 1 MB is refused,
// that the status shows its version and the reason, and that the document in
// force stays.
func TestOversizedDocumentIsRefused(t *testing.T) {
	tn := newTestNodeWithLimit(t, 10)
	tn.step(&engine.DocumentRead{Version: 9, Text: make([]byte, document.MaxBytes+1)})
	d := tn.node.Status().Document
	if d.Version != 1 || d.RejectedVersion != 9 || !strings.Contains(d.RejectionReason, "1048577 bytes") {
		t.Fatalf("status %+v, want version 1 in force and version 9 rejected for its 1048577 bytes", d)
	}
}

// TestUpstreamClaimsHaveNoEffect verifies that the health and load that the
// upstream reports are shown in the status and do not affect calls.
func TestUpstreamClaimsHaveNoEffect(t *testing.T) {
	tn := newTestNodeWithLimit(t, 10)
	tn.step(&engine.HealthReported{Healthy: false})
	tn.step(&engine.LoadReported{InFlight: 1000})
	s := tn.node.Status()
	if s.ReportedHealth != status.ReportedUnhealthy || s.ReportedInFlight == nil || *s.ReportedInFlight != 1000 || s.InFlight != 0 {
		t.Fatalf("status %+v, want reported unhealthy with 1000 in flight, none of them the node's", s)
	}
	_, actions := tn.callFromCaller("k")
	findOne[*engine.Dispatch](t, actions)
}
