package faults

import (
	"testing"
	"time"
)

// calm is a ledger of a run without faults in which every promise was kept.
func calm() *ledger {
	l := newLedger()
	l.versions[1], l.versions[2] = 0, 5*time.Second
	for _, r := range []request{
		{id: "c1", idempotent: true, version: 1, sent: 20 * time.Second, status: 200},
		{id: "c2", sent: 21 * time.Second, status: 200},
		{id: "c3", sent: 22 * time.Second, status: 200},
	} {
		r.wait, r.ended, r.stamped = callerWait, r.sent+20*time.Millisecond, true
		r.wanted, r.got = bodyOf(frontService, r.id), bodyOf(frontService, r.id)
		l.requests[r.id] = &r
		l.arrivals = append(l.arrivals, arrival{at: r.sent + time.Millisecond, id: r.id, service: frontService, upstream: "u0", run: true, left: callerWait})
	}
	return l
}

// TestEachCheckFindsItsViolation: a run that kept every promise passes, and each
// check finds the violation that it is for.
func TestEachCheckFindsItsViolation(t *testing.T) {
	again := func(l *ledger, i int, after time.Duration) {
		a := l.arrivals[i]
		a.at += after
		l.arrivals = append(l.arrivals, a)
	}
	breaks := map[string]func(l *ledger){
		"once":        func(l *ledger) { again(l, 1, time.Second) },
		"not_run":     func(l *ledger) { l.requests["c2"].status, l.requests["c2"].retryAfter = 503, true },
		"whole":       func(l *ledger) { l.requests["c2"].got = bodyOf(frontService, "c3") },
		"retry_after": func(l *ledger) { l.requests["c1"].status = 503 },
		"lost":        func(l *ledger) { l.requests["c2"].status = 0 },
		"drain":       func(l *ledger) { l.drains = []drain{{upstream: "u0", from: 10 * time.Second}} },
		"config_back": func(l *ledger) {
			late := *l.requests["c1"]
			late.id, late.status, late.sent, late.ended = "c4", 404, late.sent+time.Second, late.ended+time.Second
			l.requests["c4"] = &late
		},
		"config_late": func(l *ledger) {
			late := *l.requests["c1"]
			late.id, late.version, late.status = "c4", 2, 404
			l.requests["c4"] = &late
		},
		"budget": func(l *ledger) {
			for range retrySlack + 2 {
				again(l, 0, time.Second)
			}
		},
		"deadline": func(l *ledger) { l.arrivals[0].left = callerWait + 2*extraWait },
		"cancel": func(l *ledger) {
			l.requests["c1"].left = time.Millisecond
			for range lateArrivals + 1 {
				again(l, 0, time.Second)
			}
		},
		"recovery": func(l *ledger) {
			l.requests["c1"].status, l.requests["c2"].status = 502, 502
		},
	}
	for _, c := range checks {
		if bad := c.find(calm()); len(bad) > 0 {
			t.Errorf("%s: %v in a run that kept it", c.name, bad)
		}
		broken := calm()
		if breaks[c.name] == nil {
			t.Errorf("%s: nothing shows that it finds anything", c.name)
			continue
		}
		breaks[c.name](broken)
		if len(c.find(broken)) == 0 {
			t.Errorf("%s: finds nothing", c.name)
		}
	}
}

// TestScheduleRepeats: a seed always gives the same faults.
func TestScheduleRepeats(t *testing.T) {
	a, b := schedule(7, 12), schedule(7, 12)
	if len(a) != len(b) {
		t.Fatalf("%d and %d faults", len(a), len(b))
	}
	for i := range a {
		if a[i].at != b[i].at || a[i].kind.name != b[i].kind.name || a[i].instance != b[i].instance {
			t.Errorf("%+v and %+v", a[i], b[i])
		}
	}
}
