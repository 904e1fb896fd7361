package sim

import (
	"strings"
	"time"

	"github.com/shallotspool/shallotspool/core/document"
	"github.com/shallotspool/shallotspool/core/engine"
	"github.com/shallotspool/shallotspool/harness/attempts"
)

// Bucket is the length of a bucket in the time series of Stats.
const Bucket = 100 * time.Millisecond

// Stats holds the measurements of a simulation. The slices are time series, with
// the number of requests in each Bucket.
type Stats struct {
	// Steps is the number of events that all nodes processed.
	Steps uint64
	// OfferedAt counts requests by the time at which they were first sent.
	OfferedAt []int
	// AnsweredAt counts the requests that were answered in time, by the time at
	// which they were first sent.
	AnsweredAt []int
	// ReachedAt counts answers in time by the time at which they reached the
	// caller.
	ReachedAt []int
	// OfferedBy counts requests by class and by the time at which they were first
	// sent.
	OfferedBy map[document.Class][]int
	// RefusedBy counts the requests that the caller gave up without an answer in
	// time, by class and by the time at which they were first sent.
	RefusedBy map[document.Class][]int
	// Mixed counts answers that belong to another request.
	Mixed int
	// DoubleRuns counts repeated runs of requests that are not idempotent.
	DoubleRuns int
	// Cut counts the calls that were open when their node stopped gracefully.
	Cut int
	// Worked is the upstream time spent on all requests.
	Worked time.Duration
	// Useful is the upstream time spent on successful runs for requests that were
	// answered in time.
	Useful time.Duration
	// Attempts counts the attempts made for each request.
	Attempts attempts.Counter

	runsByKey map[string]int
	// pendingUsefulTime is the upstream time spent on successful runs for requests
	// that are still open, by the key of the caller's request.
	pendingUsefulTime map[string]time.Duration
	lastKey           int
}

func (s *Stats) init() {
	s.OfferedBy = map[document.Class][]int{}
	s.RefusedBy = map[document.Class][]int{}
	s.runsByKey = map[string]int{}
	s.pendingUsefulTime = map[string]time.Duration{}
}

// incrementBucket counts one request at a time. It returns the extended slice.
func incrementBucket(buckets []int, at time.Duration) []int {
	i := int(at / Bucket)
	for len(buckets) <= i {
		buckets = append(buckets, 0)
	}
	buckets[i]++
	return buckets
}

func (s *Stats) recordOffered(now time.Duration, route *document.Route) {
	s.OfferedBy[route.Class] = incrementBucket(s.OfferedBy[route.Class], now)
	s.OfferedAt = incrementBucket(s.OfferedAt, now)
}

func (s *Stats) recordAnswered(now time.Duration, r *callerRequest, mixed bool) {
	s.AnsweredAt = incrementBucket(s.AnsweredAt, r.firstSent)
	s.ReachedAt = incrementBucket(s.ReachedAt, now)
	s.Useful += s.pendingUsefulTime[r.message.Key]
	delete(s.pendingUsefulTime, r.message.Key)
	if mixed {
		s.Mixed++
	}
}

func (s *Stats) recordRefused(r *callerRequest) {
	s.RefusedBy[r.route.Class] = incrementBucket(s.RefusedBy[r.route.Class], r.firstSent)
}

// recordRun counts the runs of requests that are not idempotent, which are those
// with any method but GET.
func (s *Stats) recordRun(r *engine.Request) {
	if strings.EqualFold(r.Method, "GET") {
		return
	}
	s.runsByKey[r.Key]++
	if s.runsByKey[r.Key] > 1 {
		s.DoubleRuns++
	}
}

// recordWork adds upstream time spent on a request or call. The key of a call
// starts with the key of the caller's request and a slash.
func (s *Stats) recordWork(key string, d time.Duration, ok bool) {
	s.Worked += d
	if ok {
		root, _, _ := strings.Cut(key, "/")
		s.pendingUsefulTime[root] += d
	}
}
