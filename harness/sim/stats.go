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
	Offered    map[document.Class]int
	Refused    map[document.Class]int
	OfferedAt  []int
	AnsweredAt []int
	Mixed      int
	DoubleRuns int
	// Worked and Wasted are upstream time, on all requests and on those that
	// failed.
	Worked time.Duration
	Wasted time.Duration
	// Attempts counts what was tried for each request.
	Attempts attempts.Counter

	runs    map[string]int
	nextKey int
}

func (s *Stats) init() {
	s.Offered = map[document.Class]int{}
	s.Refused = map[document.Class]int{}
	s.runs = map[string]int{}
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
	s.Offered[route.Class]++
	s.OfferedAt = count(s.OfferedAt, now)
}

// answered counts under the time the request was made.
func (s *Stats) answered(r *request, mixed bool) {
	s.AnsweredAt = count(s.AnsweredAt, r.sent)
	if mixed {
		s.Mixed++
	}
}

func (s *Stats) refused(r *request, reply engine.Reply) { s.Refused[r.route.Class]++ }

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

func (s *Stats) worked(d time.Duration, ok bool) {
	s.Worked += d
	if !ok {
		s.Wasted += d
	}
}
