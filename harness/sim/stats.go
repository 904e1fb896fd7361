package sim

import (
	"strings"
	"time"

	"github.com/shallotspool/shallotspool/core/document"
	"github.com/shallotspool/shallotspool/core/engine"
	"github.com/shallotspool/shallotspool/harness/attempts"
)

// Bucket is the grain of the goodput curve.
const Bucket = 100 * time.Millisecond

// Stats is what callers and upstreams saw.
type Stats struct {
	Steps      uint64
	OfferedAt  []int
	AnsweredAt []int
	// ReachedAt counts answers under the time they reached their caller; the
	// others count under the time the request was made.
	ReachedAt  []int
	OfferedBy  map[document.Class][]int
	RefusedBy  map[document.Class][]int
	Mixed      int
	DoubleRuns int
	// Cut counts the calls that were open when their node stopped gracefully.
	Cut int
	// Worked is upstream time on all requests, Useful that on whole answers for
	// requests whose callers got theirs in time.
	Worked time.Duration
	Useful time.Duration
	// Attempts counts what was tried for each request.
	Attempts attempts.Counter

	runs map[string]int
	// workOn is the upstream time on whole answers for requests yet open.
	workOn  map[string]time.Duration
	nextKey int
}

func (s *Stats) init() {
	s.OfferedBy = map[document.Class][]int{}
	s.RefusedBy = map[document.Class][]int{}
	s.runs = map[string]int{}
	s.workOn = map[string]time.Duration{}
}

func count(buckets []int, at time.Duration) []int {
	i := int(at / Bucket)
	for len(buckets) <= i {
		buckets = append(buckets, 0)
	}
	buckets[i]++
	return buckets
}

func (s *Stats) offered(now time.Duration, route *document.Route) {
	s.OfferedBy[route.Class] = count(s.OfferedBy[route.Class], now)
	s.OfferedAt = count(s.OfferedAt, now)
}

func (s *Stats) answered(now time.Duration, r *request, mixed bool) {
	s.AnsweredAt = count(s.AnsweredAt, r.sent)
	s.ReachedAt = count(s.ReachedAt, now)
	s.Useful += s.workOn[r.req.Key]
	delete(s.workOn, r.req.Key)
	if mixed {
		s.Mixed++
	}
}

func (s *Stats) refused(r *request) {
	s.RefusedBy[r.route.Class] = count(s.RefusedBy[r.route.Class], r.sent)
}

// ran counts the runs of requests that are not idempotent: all but GET.
func (s *Stats) ran(r *engine.Request) {
	if strings.EqualFold(r.Method, "GET") {
		return
	}
	s.runs[r.Key]++
	if s.runs[r.Key] > 1 {
		s.DoubleRuns++
	}
}

// worked takes in upstream time on a request; keys below an entry's begin with
// the entry's own.
func (s *Stats) worked(key string, d time.Duration, ok bool) {
	s.Worked += d
	if ok {
		entry, _, _ := strings.Cut(key, "/")
		s.workOn[entry] += d
	}
}
