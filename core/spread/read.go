package spread

import (
	"math/rand/v2"
	"time"
)

const (
	// readers is the number of nodes in each data centre that always read.
	readers = 2
	// substitutes are the next nodes in rank; each reads once no reader of its
	// data centre has been heard of for takeOver and takeOverStep times its
	// place among them.
	substitutes  = 6
	takeOver     = 4 * time.Second
	takeOverStep = 500 * time.Millisecond
	// readInterval is how often a reader reads.
	readInterval = 2 * time.Second
	// restInterval is how often the other nodes read at most: only to find what
	// their data centre's readers cannot reach.
	restInterval = 30 * time.Second
	// perNode stretches the reads of all other nodes with the fleet, so that
	// together they stay at twenty reads a second whatever its size.
	perNode = 50 * time.Millisecond
	// maxReadInterval bounds that.
	maxReadInterval = 5 * time.Minute
	// maxBackoff bounds the doublings of readInterval without a document.
	maxBackoff = 4
)

// reading tells when this node reads the platform, and how fresh the last read
// in its data centre is.
type reading struct {
	readAt time.Duration
	// any is true once a read of the own data centre is known, fresh when the
	// latest came.
	any   bool
	fresh time.Duration
	// count is the number of reads asked for.
	count int
}

func (r *reading) seen(now time.Duration) { r.any, r.fresh = true, now }

// told takes another node's word on how old the latest read is. An age of 0
// means that it knows of none.
func (r *reading) told(now, age time.Duration) {
	if age == 0 || age > now {
		return
	}
	if !r.any || now-age > r.fresh {
		r.any, r.fresh = true, now-age
	}
}

// age returns the age of the latest read in milliseconds, at least 1; 0 when
// none is known.
func (r *reading) age(now time.Duration) uint32 {
	if !r.any {
		return 0
	}
	return uint32(min(max(1, (now-r.fresh)/time.Millisecond), 1<<30))
}

// read reads the platform when it is this node's turn.
func (s *Spread) read() {
	interval := s.interval(s.view.Rank())
	// A node that has become a reader does not wait for its old turn.
	if s.reads.readAt > s.now+2*interval {
		s.reads.readAt = s.now + jitter(s.random, interval)
	}
	if s.now < s.reads.readAt {
		return
	}
	s.reads.count++
	s.reads.readAt = s.now + jitter(s.random, interval)
	s.rt.ReadDocument()
}

// interval returns how often this node reads, by its rank in its data centre.
func (s *Spread) interval(rank int) time.Duration {
	switch {
	case rank < readers || s.takesOver(rank):
		return readInterval
	case s.doc == nil:
		// Nobody has a document: a fleet that starts with the platform down must
		// not flood it.
		return readInterval << min(s.reads.count, maxBackoff)
	}
	return max(restInterval, ReadInterval(s.view.Size()))
}

func (s *Spread) takesOver(rank int) bool {
	place := rank - readers
	if place >= substitutes {
		return false
	}
	return s.now-s.reads.fresh > takeOver+time.Duration(place)*takeOverStep
}

// ReadInterval returns how often a node of a fleet reads from the platform what
// it also learns otherwise.
func ReadInterval(fleet int) time.Duration {
	return min(max(readInterval, time.Duration(fleet)*perNode), maxReadInterval)
}

// jitter draws a time within a quarter of d around it.
func jitter(r *rand.Rand, d time.Duration) time.Duration {
	return d*3/4 + time.Duration(r.Int64N(int64(d)/2))
}
