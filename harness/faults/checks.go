package faults

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// The bounds that the users' pages state.
const (
	contact     = 3 * time.Second
	drainTime   = 2500 * time.Millisecond
	configTime  = 2500 * time.Millisecond
	recoverTime = 15 * time.Second
	retryWindow = 10 * time.Second
	retryRatio  = 0.2
	retrySlack  = 49
	// extraWait is how much longer than the caller's a deadline may be.
	extraWait = 500 * time.Millisecond
	// leaveTime is how long after its caller left a request may reach an upstream,
	// and lateArrivals the number of those that may do so later.
	leaveTime    = 500 * time.Millisecond
	lateArrivals = 3
	// recovered is the share of requests that is served after the last fault: the
	// demand is a tenth of what the fleet can do.
	recovered = 0.9
)

// check is one promise; it returns what broke it.
type check struct {
	name string
	find func(*ledger) []string
}

var checks = []check{
	{"once", once}, {"not_run", notRun}, {"whole", whole}, {"retry_after", retryAfter}, {"lost", lost},
	{"drain", drained}, {"config_back", configBack}, {"config_late", configLate}, {"budget", budget},
	{"deadline", deadlines}, {"cancel", cancelled}, {"recovery", recovery},
}

// disturbed tells whether a fault of the given kind was open between two times, on
// an instance or on any if that is below 0. Planned work is no disturbance.
func (l *ledger) disturbed(from, to time.Duration, instance int) bool {
	return slices.ContainsFunc(l.faults, func(f fault) bool {
		end := f.to
		if end == 0 {
			end = to
		}
		concerns := instance < 0 || f.instance < 0 || f.instance == instance
		return !f.planned && concerns && f.from <= to && end >= from
	})
}

// runs counts the runs of each request.
func (l *ledger) runs() map[string]int {
	out := map[string]int{}
	for _, a := range l.arrivals {
		if a.run {
			out[a.id]++
		}
	}
	return out
}

func once(l *ledger) (bad []string) {
	for id, runs := range l.runs() {
		if r := l.requests[id]; r != nil && !r.idempotent && runs > 1 {
			bad = append(bad, fmt.Sprintf("%s ran %d times", id, runs))
		}
	}
	return bad
}

// promisesNotRun are the statuses that say that a request has not run.
var promisesNotRun = []int{
	http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
}

func notRun(l *ledger) (bad []string) {
	for id, runs := range l.runs() {
		if r := l.requests[id]; r != nil && !r.idempotent && slices.Contains(promisesNotRun, r.status) {
			bad = append(bad, fmt.Sprintf("%s was answered %d and ran %d times", id, r.status, runs))
		}
	}
	return bad
}

func whole(l *ledger) (bad []string) {
	for id, r := range l.requests {
		if r.status == http.StatusOK && (r.got != r.wanted || !r.stamped) {
			bad = append(bad, fmt.Sprintf("%s got %.60q", id, r.got))
		}
	}
	return bad
}

func retryAfter(l *ledger) (bad []string) {
	for id, r := range l.requests {
		if r.status == http.StatusServiceUnavailable && !r.retryAfter {
			bad = append(bad, id+" was refused and not told when to come back")
		}
	}
	return bad
}

// lost finds requests that were passed on and whose connection ended without an
// answer, while nothing but planned work went on.
func lost(l *ledger) (bad []string) {
	runs := l.runs()
	for id, r := range l.requests {
		unanswered := !r.inner && r.left == 0 && r.ended > 0 && r.status == 0
		if unanswered && runs[id] > 0 && !l.disturbed(r.sent-contact, r.ended, -1) {
			bad = append(bad, fmt.Sprintf("%s to node %d at %v ran and was not answered", id, r.node, r.sent))
		}
	}
	return bad
}

func drained(l *ledger) (bad []string) {
	for _, a := range l.arrivals {
		r := l.requests[a.id]
		for _, d := range l.drains {
			during := r != nil && d.upstream == a.upstream && r.sent > d.from+drainTime && (d.to == 0 || a.at < d.to)
			if during && !l.disturbed(d.from-contact, a.at, -1) {
				bad = append(bad, fmt.Sprintf("%s reached %s %v after it began to drain", a.id, a.upstream, a.at-d.from))
			}
		}
	}
	return bad
}

// configBack finds nodes that handled requests by an older table than before.
func configBack(l *ledger) (bad []string) {
	type run struct{ node, life int }
	first := map[run]*request{}
	life := func(r *request) run {
		return run{r.node, len(slices.DeleteFunc(slices.Clone(l.faults), func(f fault) bool {
			return !f.restarts || f.instance != r.node || f.from > r.sent
		}))}
	}
	ordered := l.versioned()
	for _, r := range ordered {
		if at := first[life(r)]; r.status == http.StatusOK && (at == nil || r.version > at.version) {
			first[life(r)] = r
		}
	}
	for _, r := range ordered {
		at := first[life(r)]
		if r.status == http.StatusNotFound && at != nil && r.version <= at.version && r.sent > at.ended {
			bad = append(bad, fmt.Sprintf("%s at node %d was handled by a table before version %d", r.id, r.node, r.version))
		}
	}
	return bad
}

// versioned returns the requests on routes that a version added, as they ended.
func (l *ledger) versioned() (out []*request) {
	for _, r := range l.requests {
		if r.version > 0 && r.ended > 0 {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *request) int { return int(a.ended - b.ended) })
	return out
}

func configLate(l *ledger) (bad []string) {
	for _, r := range l.versioned() {
		due := l.versions[r.version] + configTime
		if r.status == http.StatusNotFound && r.sent > due && !l.disturbed(l.versions[r.version]-contact, r.sent, -1) && !l.restarted(r.node, r.sent) {
			bad = append(bad, fmt.Sprintf("%s at node %d: version %d was not in force %v after it was published",
				r.id, r.node, r.version, r.sent-l.versions[r.version]))
		}
	}
	return bad
}

// restarted tells whether a node was restarted just before.
func (l *ledger) restarted(node int, at time.Duration) bool {
	return slices.ContainsFunc(l.faults, func(f fault) bool {
		return f.restarts && f.instance == node && f.from <= at && (f.to == 0 || f.to+contact > at)
	})
}

// budget finds windows in which a service got more repeats than are allowed.
func budget(l *ledger) (bad []string) {
	for _, service := range []string{frontService, leafService} {
		var repeats, requests []time.Duration
		seen := map[string]int{}
		for _, a := range l.arrivals {
			parent, _, inner := strings.Cut(a.id, ".")
			if a.service == service && (seen[a.id] > 0 || inner && seen[parent] > 1) {
				repeats = append(repeats, a.at)
			}
			seen[a.id]++
		}
		for _, r := range l.requests {
			if r.inner == (service == leafService) {
				requests = append(requests, r.sent)
			}
		}
		for _, at := range repeats {
			allowed := retrySlack + retryRatio*float64(max(within(requests, at-retryWindow), within(requests, at-2*retryWindow), within(requests, at-3*retryWindow/2)))
			if got := within(repeats, at-retryWindow); float64(got) > allowed {
				bad = append(bad, fmt.Sprintf("%s got %d repeats in the window before %v, %.0f allowed", service, got, at, allowed))
				break
			}
		}
	}
	return bad
}

// within counts the times in the window that begins after from.
func within(times []time.Duration, from time.Duration) (count int) {
	for _, at := range times {
		if at > from && at <= from+retryWindow {
			count++
		}
	}
	return count
}

func deadlines(l *ledger) (bad []string) {
	for _, a := range l.arrivals {
		if r := l.requests[a.id]; r != nil && (a.left <= 0 || a.left > r.wait+extraWait) {
			bad = append(bad, fmt.Sprintf("%s was handed %v, its caller waits %v", a.id, a.left, r.wait))
		}
	}
	return bad
}

func cancelled(l *ledger) (bad []string) {
	for _, a := range l.arrivals {
		r := l.requests[a.id]
		if r != nil && r.left > 0 && r.ended > 0 && a.at > r.ended+leaveTime && !l.disturbed(r.sent-contact, a.at, -1) {
			bad = append(bad, fmt.Sprintf("%s reached an upstream %v after its caller left", a.id, a.at-r.ended))
		}
	}
	if len(bad) <= lateArrivals {
		return nil
	}
	return bad
}

func recovery(l *ledger) (bad []string) {
	last := time.Duration(0)
	for _, f := range l.faults {
		last = max(last, f.to)
	}
	asked, served := 0, 0
	for _, r := range l.requests {
		if !r.inner && r.left == 0 && r.ended > 0 && r.sent > last+recoverTime {
			asked++
			if r.status == http.StatusOK {
				served++
			}
		}
	}
	if asked == 0 || float64(served) < recovered*float64(asked) {
		bad = append(bad, fmt.Sprintf("%d of %d requests served after the last fault", served, asked))
	}
	return bad
}
