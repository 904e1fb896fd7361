package route

// maxSplits bounds the routes whose split is remembered; the oldest knowledge is
// dropped when a table has more.
const maxSplits = 8192

// Splitter divides the requests of each route among its services by smooth
// weighted round robin: each run of requests, however short, has close to the
// stated shares. It is not safe for concurrent use.
type Splitter struct {
	credits map[string][]int
}

// NewSplitter returns a Splitter that has divided nothing yet.
func NewSplitter() *Splitter { return &Splitter{credits: map[string][]int{}} }

// Choose returns the service of the next request of r.
func (s *Splitter) Choose(r *Route) string {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	credits := s.credits[r.Key()]
	if len(credits) != len(r.Split) {
		if len(s.credits) >= maxSplits {
			clear(s.credits)
		}
		credits = make([]int, len(r.Split))
		s.credits[r.Key()] = credits
	}
	total, best := 0, 0
	for i, share := range r.Split {
		credits[i] += share.Weight
		total += share.Weight
		if credits[i] > credits[best] {
			best = i
		}
	}
	credits[best] -= total
	return r.Split[best].Service
}
