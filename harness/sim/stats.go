package sim

import (
	"strings"
	"time"

	"github.com/shallotspool/shallotspool/core/document"
	"github.com/shallotspool/shallotspool/core/engine"
	"github.com/shallotspool/shallotspool/harness/attempts"
)

// BucketTime is the length of a bucket in the time series of Stats.
const BucketTime = 100 * time.Millisecond

// Stats holds the measurements of a simulation. The slices are time series, with
// the number of requests in each BucketTime.
type Stats struct {
	// NodeEvents is the number of events that all nodes processed.
	NodeEvents uint64
	// OfferedByTime counts requests by the time at which they were first sent.
	OfferedByTime []int
	// AnsweredByTime counts the requests that were answered in time, by the time at
	// which they were first sent.
	AnsweredByTime []int
	// DeliveredByTime counts answers in time by the time at which they reached the
	// caller.
	DeliveredByTime []int
	// OfferedByClass counts requests by class and by the time at which they were first
	// sent.
	OfferedByClass map[document.Class][]int
	// RefusedByClass counts the requests that the caller gave up after a reply that
	// was no answer in time, by class and by the time at which they were first sent.
	RefusedByClass map[document.Class][]int
	// MixedAnswers counts answers that belong to another request.
	MixedAnswers int
	// DoubleRuns counts repeated runs of requests that are not idempotent.
	DoubleRuns int
	// CutInFlight counts the calls and the upstream's requests that were open when
	// their node stopped gracefully.
	CutInFlight int
	// UpstreamTime is the time for which requests and calls held a slot of an
	// upstream, including the time of their own calls. Those lost in a restart are
	// not counted.
	UpstreamTime time.Duration
	// UsefulTime is the upstream time spent on successful runs for requests that were
	// answered in time.
	UsefulTime time.Duration
	// Attempts counts the attempts made for each request.
	Attempts attempts.Counter

	runsByKey map[string]int
	// pendingUsefulTime is the upstream time spent on successful runs for requests
	// that are still open, by the key of the caller's request.
	pendingUsefulTime map[string]time.Duration
	lastKey           int
}

func (s *Stats) init() {
	s.OfferedByClass = map[document.Class][]int{}
	s.RefusedByClass = map[document.Class][]int{}
	s.runsByKey = map[string]int{}
	s.pendingUsefulTime = map[string]time.Duration{}
}

// incrementBucket counts one request in the bucket of the given time. It returns
// the extended slice.
func incrementBucket(buckets []int, at time.Duration) []int {
	i := int(at / BucketTime)
	for len(buckets) <= i {
		buckets = append(buckets, 0)
	}
	buckets[i]++
	return buckets
}

func (s *Stats) recordOffered(now time.Duration, route *document.Route) {
	s.OfferedByClass[route.Class] = incrementBucket(s.OfferedByClass[route.Class], now)
	s.OfferedByTime = incrementBucket(s.OfferedByTime, now)
}

func (s *Stats) recordAnswered(now time.Duration, r *callerRequest, mixed bool) {
	s.AnsweredByTime = incrementBucket(s.AnsweredByTime, r.firstSent)
	s.DeliveredByTime = incrementBucket(s.DeliveredByTime, now)
	s.UsefulTime += s.pendingUsefulTime[r.message.Key]
	delete(s.pendingUsefulTime, r.message.Key)
	if mixed {
		s.MixedAnswers++
	}
}

func (s *Stats) recordRefused(r *callerRequest) {
	s.RefusedByClass[r.route.Class] = incrementBucket(s.RefusedByClass[r.route.Class], r.firstSent)
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

// recordWork adds upstream time spent on a request or call; ok tells whether the
// run was successful. The key of a call starts with the key of the caller's
// request and a slash.
func (s *Stats) recordWork(key string, d time.Duration, ok bool) {
	s.UpstreamTime += d
	if ok {
		root, _, _ := strings.Cut(key, "/")
		s.pendingUsefulTime[root] += d
	}
}
