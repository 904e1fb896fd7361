package engine_test

import (
	"strings"
	"testing"
	"time"

	"github.com/shallotspool/shallotspool/core/document"
	"github.com/shallotspool/shallotspool/core/engine"
	"github.com/shallotspool/shallotspool/core/status"
)

// TestEveryRefusalIsMeasured: a call that is refused on arrival counts in the
// metrics like one refused later, and one without a route has no class.
func TestEveryRefusalIsMeasured(t *testing.T) {
	b := newBench(t, 10)
	b.calls++
	actions := b.step(&engine.CallArrived{
		ID: b.calls, Origin: engine.OriginCaller, Wait: time.Second,
		Request: &engine.Request{Service: "front", Method: "GET", Path: "/nowhere"},
	})
	m := find[*engine.Measurement](t, actions)
	if m.Metric != engine.MetricRefused || m.Reason != engine.ReasonNoRoute || m.Class != document.NoClass || m.Count != 1 {
		t.Fatalf("measured %+v", m)
	}
}

// TestRetryOnNotRun: a route that asks for it is not repeated after an attempt
// that may have run, though it is idempotent.
func TestRetryOnNotRun(t *testing.T) {
	b := newBench(t, 10)
	text := strings.NewReplacer("version: 1", "version: 2", "retries: 2}", "retries: 2, retry_on: not_run}").Replace(chainDocument)
	b.step(&engine.DocumentSeen{Text: []byte(text)})
	_, actions := b.call("k")
	id, actions := b.child(find[*engine.Dispatch](t, actions).Attempt)
	lost := find[*engine.SendCall](t, actions)
	end := find[*engine.ReplyCall](t, b.step(&engine.AttemptFailed{Attempt: lost.Attempt, Cause: engine.FailureLost}))
	if end.ID != id || end.Reply.Outcome != engine.OutcomeUnknown {
		t.Fatalf("reply %+v", end)
	}
}

// TestOversizedDocumentShows: a document over 1 MB is refused with its version
// and the reason in the status, and the one in force stays.
func TestOversizedDocumentShows(t *testing.T) {
	b := newBench(t, 10)
	b.step(&engine.DocumentSeen{Version: 9, Text: make([]byte, document.MaxBytes+1)})
	d := b.node.Status().Document
	if d.Version != 1 || d.Refused != 9 || !strings.Contains(d.Reason, "1048577 bytes") {
		t.Fatalf("status %+v", d)
	}
}

// TestHealthIsOnlyAHint: what the upstream says of itself shows in the status,
// and calls run as before.
func TestHealthIsOnlyAHint(t *testing.T) {
	b := newBench(t, 10)
	b.step(&engine.HealthSeen{Healthy: false})
	b.step(&engine.LoadSeen{InFlight: 1000})
	s := b.node.Status()
	if s.Claims != status.ClaimsUnhealthy || s.ClaimsInFlight == nil || *s.ClaimsInFlight != 1000 || s.InFlight != 0 {
		t.Fatalf("status %+v", s)
	}
	_, actions := b.call("k")
	find[*engine.Dispatch](t, actions)
}
