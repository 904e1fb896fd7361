package faults

import (
	"testing"
	"time"
)

// newFaultFreeHistory returns the history of a run without faults in which all
// guarantees were met. Its requests are sent after maxRecoveryTime and after the second
// table was due, so that the checks recovery and config_late apply to them.
func newFaultFreeHistory() *history {
	h := newHistory()
	h.publishedAt[1], h.publishedAt[2] = 0, 5*time.Second
	for _, r := range []request{
		{id: "c1", idempotent: true, routeVersion: 1, sentAt: 20 * time.Second, status: 200},
		{id: "c2", sentAt: 21 * time.Second, status: 200},
		{id: "c3", sentAt: 22 * time.Second, status: 200},
	} {
		r.timeout, r.endedAt, r.stamped = callerTimeout, r.sentAt+20*time.Millisecond, true
		r.wantBody, r.gotBody = responseBody(frontService, r.id), responseBody(frontService, r.id)
		h.requests[r.id] = &r
		h.arrivals = append(h.arrivals, arrival{arrivedAt: r.sentAt + time.Millisecond, id: r.id, service: frontService, upstream: "u0", executed: true, remaining: callerTimeout})
	}
	return h
}

// TestChecksDetectViolations runs each check on a history that meets all guarantees
// and on one that violates the guarantee of this check.
func TestChecksDetectViolations(t *testing.T) {
	repeatArrival := func(h *history, i int, after time.Duration) {
		a := h.arrivals[i]
		a.arrivedAt += after
		h.arrivals = append(h.arrivals, a)
	}
	violate := map[string]func(h *history){
		"once":        func(h *history) { repeatArrival(h, 1, time.Second) },
		"not_run":     func(h *history) { h.requests["c2"].status, h.requests["c2"].hasRetryAfter = 503, true },
		"whole":       func(h *history) { h.requests["c2"].gotBody = responseBody(frontService, "c3") },
		"retry_after": func(h *history) { h.requests["c1"].status = 503 },
		"lost":        func(h *history) { h.requests["c2"].status = 0 },
		"crasher": func(h *history) {
			for i := range maxUpstreamsCrashed + maxLateCrashes + 1 {
				id := crasherID + string(rune('a'+i))
				h.requests[id] = &request{id: id, node: 1, fromUpstream: true}
				h.arrivals = append(h.arrivals, arrival{arrivedAt: time.Duration(i) * faultEffectTime, id: id, service: leafService, upstream: "u1"})
			}
		},
		"popular": func(h *history) {
			h.requests[popularID] = &request{id: popularID, node: 1, fromUpstream: true, status: 502}
		},
		"framing": func(h *history) {
			h.framings = append(h.framings, &framingConn{})
			h.arrivals = append(h.arrivals, arrival{arrivedAt: 20 * time.Second, id: framingID + "-hidden", service: leafService, upstream: "u1"})
		},
		"uploads": func(h *history) { h.uploads = append(h.uploads, upload{id: "u", status: 503}) },
		"endless": func(h *history) { h.endless = append(h.endless, endlessAnswer{duration: maxEndlessTime + time.Second}) },
		"drain":   func(h *history) { h.drains = []drainPeriod{{upstream: "u0", from: 10 * time.Second}} },
		"config_back": func(h *history) {
			late := *h.requests["c1"]
			late.id, late.status, late.sentAt, late.endedAt = "c4", 404, late.sentAt+time.Second, late.endedAt+time.Second
			h.requests["c4"] = &late
		},
		"config_late": func(h *history) {
			late := *h.requests["c1"]
			late.id, late.routeVersion, late.status = "c4", 2, 404
			h.requests["c4"] = &late
		},
		"budget": func(h *history) {
			// The three requests allow less than one retry in addition to retrySlack.
			for range retrySlack + 2 {
				repeatArrival(h, 0, time.Second)
			}
		},
		"deadline": func(h *history) { h.arrivals[0].remaining = callerTimeout + 2*deadlineTolerance },
		"cancel": func(h *history) {
			h.requests["c1"].abandonedAfter = time.Millisecond
			for range maxLateArrivals + 1 {
				repeatArrival(h, 0, time.Second)
			}
		},
		"recovery": func(h *history) {
			h.requests["c1"].status, h.requests["c2"].status = 502, 502
		},
	}
	late := newFaultFreeHistory()
	repeatArrival(late, 0, 2*deadlineTolerance)
	if len(findWrongDeadlines(late)) == 0 {
		t.Error("deadline: an attempt with the time of the first again was not detected")
	}
	for _, c := range checks {
		if violations := c.findViolations(newFaultFreeHistory()); len(violations) > 0 {
			t.Errorf("%s: reported %v for a history without violations", c.name, violations)
		}
		violating := newFaultFreeHistory()
		if violate[c.name] == nil {
			t.Errorf("%s: the test has no violation for this check", c.name)
			continue
		}
		violate[c.name](violating)
		if len(c.findViolations(violating)) == 0 {
			t.Errorf("%s: the violation was not detected", c.name)
		}
	}
}

// TestFaultExcusesLateChangesForAWhile guards against a fault shortly before a change that excuses
// all late requests after it, also those sent long after its end.
func TestFaultExcusesLateChangesForAWhile(t *testing.T) {
	for _, c := range []struct {
		fault fault
		found bool
	}{
		{fault{from: 9 * time.Second, to: 9 * time.Second}, true},
		{fault{from: 9 * time.Second, to: 18 * time.Second}, false},
		{fault{from: 9 * time.Second, to: 9 * time.Second, outage: true}, false},
		{fault{from: 9 * time.Second, to: 18 * time.Second, planned: true}, true},
	} {
		h := newFaultFreeHistory()
		c.fault.instance = anyInstance
		h.faults = []fault{c.fault}
		h.drains = []drainPeriod{{upstream: "u0", from: 10 * time.Second}}
		h.publishedAt[2] = 10 * time.Second
		late := *h.requests["c1"]
		late.id, late.routeVersion, late.status = "c4", 2, 404
		h.requests["c4"] = &late
		// c1 and c4 were sent at 20 s.
		h.arrivals = h.arrivals[:1]
		if found := len(findRequestsToDrained(h)) > 0; found != c.found {
			t.Errorf("%+v: a request to an upstream that left was found: %v, want %v", c.fault, found, c.found)
		}
		if found := len(findLateTables(h)) > 0; found != c.found {
			t.Errorf("%+v: a late table was found: %v, want %v", c.fault, found, c.found)
		}
	}
}

// TestScheduleIsDeterministic checks that a seed always gives the same faults.
func TestScheduleIsDeterministic(t *testing.T) {
	a, b := drawSchedule(7, 12), drawSchedule(7, 12)
	if len(a) != len(b) {
		t.Fatalf("schedules of one seed have %d and %d faults", len(a), len(b))
	}
	for i := range a {
		if a[i].startAt != b[i].startAt || a[i].kind.name != b[i].kind.name || a[i].instance != b[i].instance {
			t.Errorf("schedules of one seed differ: %+v and %+v", a[i], b[i])
		}
	}
}
