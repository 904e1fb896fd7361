package engine_test

import (
	"testing"
	"time"

	"github.com/shallotspool/shallotspool/core/document"
	"github.com/shallotspool/shallotspool/core/engine"
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
