package route

// maxSplits is the number of routes whose state is kept. When another route needs
// state, that of all routes is deleted, and their round robin starts anew.
const maxSplits = 8192

// Splitter divides the requests of each route among its services by smooth
// weighted round robin, so that any sequence of requests, however short, comes
// close to the configured weights. It is not safe for concurrent use.
type Splitter struct {
	// credits holds the current weights of the services of each route, by the key of
	// the route.
	credits map[string][]int
}

// NewSplitter returns a Splitter that has no state of any route.
func NewSplitter() *Splitter { return &Splitter{credits: map[string][]int{}} }

// ChooseService returns the service that the next request of r goes to, and counts
// that request.
func (s *Splitter) ChooseService(r *Route) string {
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
	totalWeight, highest := 0, 0
	for i, share := range r.Split {
		credits[i] += share.Weight
		totalWeight += share.Weight
		if credits[i] > credits[highest] {
			highest = i
		}
	}
	credits[highest] -= totalWeight
	return r.Split[highest].Service
}
