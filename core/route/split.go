package route

import "math/bits"

const (
	// maxSplits is the number of routes whose position is kept. When another route needs
	// one, those of all routes are deleted.
	maxSplits = 8192
	// stride is the golden ratio as a fraction of 2^64. The multiples of it divide the range of
	// uint64 evenly, however many there are.
	stride = 0x9e3779b97f4a7c15
)

// Splitter divides the requests of each route among its services, so that any sequence of
// requests, however short, comes close to the configured weights. It keeps nothing that
// depends on the weights, so that these apply in full from the first request on. It is not
// safe for concurrent use.
type Splitter struct {
	// random returns where the requests of a route begin, so that nodes with few requests each
	// do not all begin with the same service.
	random func() uint64
	// positions holds the position of the next request of each route, as a fraction of 2^64,
	// by the key of the route.
	positions map[string]uint64
}

// NewSplitter returns a Splitter that has no state of any route. random returns uniformly
// distributed numbers.
func NewSplitter(random func() uint64) *Splitter {
	return &Splitter{random: random, positions: map[string]uint64{}}
}

// ChooseService returns the service that the next request of r goes to, and counts
// that request.
func (s *Splitter) ChooseService(r *Route) string {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	return r.serviceAt(s.nextPosition(r.Key()))
}

func (s *Splitter) nextPosition(key string) uint64 {
	position, known := s.positions[key]
	if !known {
		if len(s.positions) >= maxSplits {
			clear(s.positions)
		}
		position = s.random()
	}
	s.positions[key] = position + stride
	return position
}

// serviceAt returns the service whose part of the sum of the weights holds a position, the first
// one if all weights are 0.
func (r *Route) serviceAt(position uint64) string {
	total := uint64(0)
	for _, share := range r.Split {
		total += uint64(share.Weight)
	}
	point, _ := bits.Mul64(position, total)
	for _, share := range r.Split {
		if point < uint64(share.Weight) {
			return share.Service
		}
		point -= uint64(share.Weight)
	}
	return r.Split[0].Service
}
