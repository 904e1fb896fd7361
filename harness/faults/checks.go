package faults

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// The documented bounds of the guarantees, as the checks apply them.
const (
	// faultEffectTime is how long after its end a fault may still affect requests:
	// nodes may need this long to regain contact with peers, upstreams and the store.
	faultEffectTime = 3 * time.Second
	// maxDrainDelay is how long requests may still reach an upstream after the store
	// acknowledged that it drains or is gone.
	maxDrainDelay = 2 * time.Second
	// maxTableDelay is how long nodes may take to use a published routing table.
	maxTableDelay = 2 * time.Second
	// maxRecoveryTime is how long after the last fault requests may still fail.
	maxRecoveryTime = 15 * time.Second
	// In each retryWindow, retryRatio retries for each request and retrySlack more
	// are allowed.
	retryWindow = 10 * time.Second
	retryRatio  = 0.2
	retrySlack  = 49
	// deadlineTolerance is how much the deadline given to an upstream may exceed the
	// caller's timeout.
	deadlineTolerance = 500 * time.Millisecond
	// maxCancelDelay is how long an abandoned request may still reach an upstream;
	// up to maxLateArrivals may do so later.
	maxCancelDelay  = 500 * time.Millisecond
	maxLateArrivals = 3
	// minServedRatio is the fraction of requests that must be served after recovery.
	// The offered load is at most a tenth of the capacity.
	minServedRatio = 0.9
)

// check verifies one guarantee; findViolations describes each violation of it.
type check struct {
	name           string
	findViolations func(*history) []string
}

var checks = []check{
	{"once", findRepeatedExecutions}, {"not_run", findFalseNotExecuted}, {"whole", findWrongResponses},
	{"retry_after", findMissingRetryAfter}, {"lost", findLostResponses}, {"drain", findRequestsToDrained},
	{"config_back", findTableRollbacks}, {"config_late", findLateTables}, {"budget", findExcessRetries},
	{"deadline", findWrongDeadlines}, {"cancel", findMissedCancellations}, {"recovery", findFailedRecovery},
	{"crasher", findCrashersNotStopped}, {"popular", findPopularNotServed}, {"endless", findEndlessAnswersRead},
	{"uploads", findUploadsWithoutAnswer}, {"framing", findWronglyFramed},
}

// anyInstance stands for all instances in place of the index of one.
const anyInstance = -1

// hasUnplannedFault returns whether an unplanned fault was active between two times on an
// instance, or on any of them for anyInstance.
func (h *history) hasUnplannedFault(from, to time.Duration, instance int) bool {
	return slices.ContainsFunc(h.faults, func(f fault) bool {
		end := f.to
		if end == 0 {
			end = to
		}
		concerns := instance < 0 || f.instance < 0 || f.instance == instance
		return !f.planned && concerns && f.from <= to && end >= from
	})
}

// mayDelayChanges returns whether a change that the store acknowledged at a time may not be in
// force yet for a request that was sent at another time and reached an upstream at a third: a fault
// of a node or a connection has effect until faultEffectTime after its end, and an outage of the
// store on all changes until faultEffectTime after it. nodes are those that handled the request;
// with none, local faults at all nodes count.
func (h *history) mayDelayChanges(acknowledged, sentAt, arrivedAt time.Duration, nodes ...int) bool {
	return slices.ContainsFunc(h.faults, func(f fault) bool {
		if f.local && len(nodes) > 0 && !slices.Contains(nodes, f.instance) {
			return false
		}
		end := f.to
		if end == 0 {
			end = arrivedAt
		}
		from := sentAt
		if f.outage {
			from = acknowledged
		}
		return !f.planned && f.from <= arrivedAt && end >= from-faultEffectTime
	})
}

// executions counts how often each request was executed, by request ID.
func (h *history) executions() map[string]int {
	out := map[string]int{}
	for _, a := range h.arrivals {
		if a.executed {
			out[a.id]++
		}
	}
	return out
}

// findRepeatedExecutions finds non-idempotent requests that were executed more than
// once.
func findRepeatedExecutions(h *history) (violations []string) {
	for id, executions := range h.executions() {
		if r := h.requests[id]; r != nil && !r.idempotent && executions > 1 {
			violations = append(violations, fmt.Sprintf("%s was executed %d times", id, executions))
		}
	}
	return violations
}

// notExecutedStatuses are the statuses that guarantee that a request was not executed.
var notExecutedStatuses = []int{
	http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
}

// findFalseNotExecuted finds non-idempotent requests that were executed although their
// status says the opposite.
func findFalseNotExecuted(h *history) (violations []string) {
	for id, executions := range h.executions() {
		if r := h.requests[id]; r != nil && !r.idempotent && slices.Contains(notExecutedStatuses, r.status) {
			violations = append(violations, fmt.Sprintf("%s was answered with status %d but executed %d times", id, r.status, executions))
		}
	}
	return violations
}

// findWrongResponses finds successful requests whose body belongs to another request or
// whose response has no stamp of an upstream.
func findWrongResponses(h *history) (violations []string) {
	for id, r := range h.requests {
		if r.status == http.StatusOK && (r.gotBody != r.wantBody || !r.stamped) {
			violations = append(violations, fmt.Sprintf("%s: unexpected response %.60q", id, r.gotBody))
		}
	}
	return violations
}

// findMissingRetryAfter finds responses with status 503 that lack the Retry-After
// header.
func findMissingRetryAfter(h *history) (violations []string) {
	for id, r := range h.requests {
		if r.status == http.StatusServiceUnavailable && !r.hasRetryAfter {
			violations = append(violations, id+" was refused without a Retry-After header")
		}
	}
	return violations
}

// findLostResponses finds executed requests whose caller waited but got no response,
// although no unplanned fault could affect them.
func findLostResponses(h *history) (violations []string) {
	executions := h.executions()
	for id, r := range h.requests {
		unanswered := !r.fromUpstream && r.abandonedAfter == 0 && r.endedAt > 0 && r.status == 0
		if unanswered && executions[id] > 0 && !h.hasUnplannedFault(r.sentAt-faultEffectTime, r.endedAt, anyInstance) {
			violations = append(violations, fmt.Sprintf("%s to node %d at %v was executed but not answered", id, r.node, r.sentAt))
		}
	}
	return violations
}

// findRequestsToDrained finds requests that reached an upstream more than maxDrainDelay after it
// began to drain or was removed, although no unplanned fault could delay the effect of that.
func findRequestsToDrained(h *history) (violations []string) {
	for _, a := range h.arrivals {
		r := h.requests[a.id]
		for _, d := range h.drains {
			duringDrain := r != nil && d.upstream == a.upstream && a.arrivedAt > d.from+maxDrainDelay && (d.to == 0 || a.arrivedAt < d.to)
			if duringDrain && !h.mayDelayChanges(d.from, r.sentAt, a.arrivedAt, nodesOf(r, a)...) {
				violations = append(violations, fmt.Sprintf("%s reached %s %v after the drain started", a.id, a.upstream, a.arrivedAt-d.from))
			}
		}
	}
	return violations
}

// findTableRollbacks finds node processes that used an older routing table than before.
// Tables keep the routes of earlier versions: a process that serves a route uses the
// table of the version that added it or a later one.
func findTableRollbacks(h *history) (violations []string) {
	// incarnation counts the restarts of the node before the request.
	type processKey struct{ node, incarnation int }
	latestServed := map[processKey]*request{}
	processOf := func(r *request) processKey {
		return processKey{r.node, len(slices.DeleteFunc(slices.Clone(h.faults), func(f fault) bool {
			return !f.restarts || f.instance != r.node || f.from > r.sentAt
		}))}
	}
	ordered := h.versionedRequests()
	for _, r := range ordered {
		if latest := latestServed[processOf(r)]; r.status == http.StatusOK && (latest == nil || r.routeVersion > latest.routeVersion) {
			latestServed[processOf(r)] = r
		}
	}
	for _, r := range ordered {
		latest := latestServed[processOf(r)]
		if r.status == http.StatusNotFound && latest != nil && r.routeVersion <= latest.routeVersion && r.sentAt > latest.endedAt {
			violations = append(violations, fmt.Sprintf("%s at node %d was handled by a table older than version %d", r.id, r.node, r.routeVersion))
		}
	}
	return violations
}

// versionedRequests returns the finished requests on versioned routes in the order in
// which they ended.
func (h *history) versionedRequests() (out []*request) {
	for _, r := range h.requests {
		if r.routeVersion > 0 && r.endedAt > 0 {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *request) int { return int(a.endedAt - b.endedAt) })
	return out
}

// findLateTables finds nodes that did not use a routing table within maxTableDelay of
// its publication, although no unplanned fault and no restart delayed it.
func findLateTables(h *history) (violations []string) {
	for _, r := range h.versionedRequests() {
		due := h.publishedAt[r.routeVersion] + maxTableDelay
		if r.status == http.StatusNotFound && r.sentAt > due && !h.mayDelayChanges(h.publishedAt[r.routeVersion], r.sentAt, r.sentAt, r.node) && !h.recentlyRestarted(r.node, r.sentAt) {
			violations = append(violations, fmt.Sprintf("%s at node %d: table version %d not used %v after its publication",
				r.id, r.node, r.routeVersion, r.sentAt-h.publishedAt[r.routeVersion]))
		}
	}
	return violations
}

// recentlyRestarted returns whether, at the given time, a restart of a node was in
// progress or had ended less than faultEffectTime before.
func (h *history) recentlyRestarted(node int, at time.Duration) bool {
	return slices.ContainsFunc(h.faults, func(f fault) bool {
		return f.restarts && f.instance == node && f.from <= at && (f.to == 0 || f.to+faultEffectTime > at)
	})
}

// findExcessRetries finds, for each service, the first window with more retries than
// allowed.
func findExcessRetries(h *history) (violations []string) {
	for _, service := range []string{frontService, leafService} {
		for _, w := range h.retryWindows(service) {
			if float64(w.retries) > w.allowed {
				violations = append(violations, fmt.Sprintf("%s received %d retries in the window before %v, %.0f allowed", service, w.retries, w.end, w.allowed))
				break
			}
		}
	}
	return violations
}

// retryCount is the number of retries that a service received in the retry window that ends
// at a time, and the number allowed.
type retryCount struct {
	end     time.Duration
	retries int
	allowed float64
}

// retryWindows returns the retries of a service in the windows that end with one. A call of
// an upstream counts as a retry if its parent was retried. The allowance follows the
// busiest of three windows, which end at the retry and half a window and one window before
// it.
func (h *history) retryWindows(service string) (out []retryCount) {
	var retries, requests []time.Duration
	arrivalCounts := map[string]int{}
	for _, a := range h.arrivals {
		parent, _, fromUpstream := strings.Cut(a.id, ".") // see callLeaf
		if a.service == service && (arrivalCounts[a.id] > 0 || fromUpstream && arrivalCounts[parent] > 1) {
			retries = append(retries, a.arrivedAt)
		}
		arrivalCounts[a.id]++
	}
	for _, r := range h.requests {
		// Callers use only the front service, upstreams only the leaf service.
		if r.fromUpstream == (service == leafService) {
			requests = append(requests, r.sentAt)
		}
	}
	for _, at := range retries {
		allowed := retrySlack + retryRatio*float64(max(countInWindow(requests, at-retryWindow), countInWindow(requests, at-2*retryWindow), countInWindow(requests, at-3*retryWindow/2)))
		out = append(out, retryCount{at, countInWindow(retries, at-retryWindow), allowed})
	}
	return out
}

// countInWindow counts the times in the retry window that starts after from.
func countInWindow(times []time.Duration, from time.Duration) (count int) {
	for _, at := range times {
		if at > from && at <= from+retryWindow {
			count++
		}
	}
	return count
}

// findWrongDeadlines finds requests that reached an upstream with no time left, with more
// time than the caller's timeout, or, without a fault on their way, with a deadline later
// than the caller's. The last shows attempts that are given the time of the first again.
func findWrongDeadlines(h *history) (violations []string) {
	for _, a := range h.arrivals {
		r := h.requests[a.id]
		if r == nil {
			continue
		}
		if a.remaining <= 0 || a.remaining > r.timeout+deadlineTolerance {
			violations = append(violations, fmt.Sprintf("%s arrived with %v left, its caller's timeout is %v", a.id, a.remaining, r.timeout))
		}
		late := a.arrivedAt + a.remaining - (r.sentAt + r.timeout)
		if late > deadlineTolerance && !h.delayedOnTheWay(r, a) {
			violations = append(violations, fmt.Sprintf("%s arrived with a deadline %v after its caller's", a.id, late))
		}
	}
	return violations
}

// delayedOnTheWay returns whether a fault on the node of a request, or on that of the
// upstream that it reached, may have delayed it. For calls of upstreams that is any fault.
func (h *history) delayedOnTheWay(r *request, a arrival) bool {
	from := r.sentAt - faultEffectTime
	nodes := nodesOf(r, a)
	if len(nodes) == 0 {
		return h.hasUnplannedFault(from, a.arrivedAt, anyInstance)
	}
	return slices.ContainsFunc(nodes, func(node int) bool { return h.nodeHadFault(from, a.arrivedAt, node) })
}

// nodesOf returns the nodes that handled a request before it reached an upstream: the one that the
// caller used and the one beside the upstream. It returns none for calls of upstreams, as the
// first is not known.
func nodesOf(r *request, a arrival) []int {
	var beside int
	if _, err := fmt.Sscanf(a.upstream, upstreamIDFormat, &beside); err != nil || r.node < 0 {
		return nil
	}
	return []int{r.node, beside}
}

// findMissedCancellations finds requests that reached an upstream more than
// maxCancelDelay after their caller had abandoned them, although no unplanned fault could
// affect them. It returns none if there are at most maxLateArrivals of them.
func findMissedCancellations(h *history) (violations []string) {
	for _, a := range h.arrivals {
		r := h.requests[a.id]
		if r != nil && r.abandonedAfter > 0 && r.endedAt > 0 && a.arrivedAt > r.endedAt+maxCancelDelay && !h.hasUnplannedFault(r.sentAt-faultEffectTime, a.arrivedAt, anyInstance) {
			violations = append(violations, fmt.Sprintf("%s reached an upstream %v after its caller abandoned it", a.id, a.arrivedAt-r.endedAt))
		}
	}
	if len(violations) <= maxLateArrivals {
		return nil
	}
	return violations
}

// findFailedRecovery reports if too few requests were served once maxRecoveryTime had
// passed after the last fault.
func findFailedRecovery(h *history) (violations []string) {
	lastFaultEnd := time.Duration(0)
	for _, f := range h.faults {
		lastFaultEnd = max(lastFaultEnd, f.to)
	}
	sent, served := 0, 0
	for _, r := range h.requests {
		if !r.fromUpstream && r.abandonedAfter == 0 && r.endedAt > 0 && r.sentAt > lastFaultEnd+maxRecoveryTime {
			sent++
			if r.status == http.StatusOK {
				served++
			}
		}
	}
	if sent == 0 || float64(served) < minServedRatio*float64(sent) {
		violations = append(violations, fmt.Sprintf("%d of %d requests served after the recovery time, want a fraction of %v", served, sent, minServedRatio))
	}
	return violations
}
