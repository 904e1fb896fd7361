package replication

import (
	"math/rand/v2"
	"time"
)

const (
	// readersPerDataCentre is the number of nodes in each data centre that
	// always read the platform, those of the lowest ranks.
	readersPerDataCentre = 2
	// substituteReaders is the number of nodes next in rank that can replace the
	// readers. The i-th substitute, counted from 0, starts reading once the
	// latest known read in its data centre is older than takeoverDelay +
	// i*takeoverStep.
	substituteReaders = 6
	takeoverDelay     = 4 * time.Second
	takeoverStep      = 500 * time.Millisecond
	// readerInterval is how often a reader reads.
	readerInterval = 2 * time.Second
	// followerInterval is the minimum time between two reads of a node that is
	// not a reader. It reads only to find documents that the readers of its data
	// centre cannot reach.
	followerInterval = 30 * time.Second
	// followerIntervalPerNode lengthens the interval in proportion to the fleet
	// size, so that all followers together stay at 20 reads per second.
	followerIntervalPerNode = 50 * time.Millisecond
	// maxFollowerInterval limits the interval in very large fleets.
	maxFollowerInterval = 5 * time.Minute
	// maxBackoffDoublings limits how often readerInterval doubles while no node
	// has a document.
	maxBackoffDoublings = 4
)

// readSchedule tracks when this node reads the platform next and how recently any
// node of its data centre read it.
type readSchedule struct {
	nextReadAt time.Duration
	// known reports whether a read in the own data centre is known; lastReadAt
	// is the time of the latest one.
	known      bool
	lastReadAt time.Duration
	// requested is the number of reads requested so far.
	requested int
}

func (r *readSchedule) recordOwnRead(now time.Duration) { r.known, r.lastReadAt = true, now }

// recordPeerRead records the age of the latest read known to another node. An
// age of 0 means that it knows of none.
func (r *readSchedule) recordPeerRead(now, age time.Duration) {
	if age == 0 || age > now {
		return
	}
	if !r.known || now-age > r.lastReadAt {
		r.known, r.lastReadAt = true, now-age
	}
}

// ageMS returns the age of the latest known read in milliseconds, at least 1, or
// 0 if none is known.
func (r *readSchedule) ageMS(now time.Duration) uint32 {
	if !r.known {
		return 0
	}
	return uint32(min(max(1, (now-r.lastReadAt)/time.Millisecond), 1<<30))
}

// readWhenDue requests a read of the platform if one is due.
func (s *Replicator) readWhenDue() {
	interval := s.ownReadInterval(s.view.ReaderRank())
	// A node that has just become a reader must not wait for the read it
	// scheduled with the longer interval.
	if s.reads.nextReadAt > s.now+2*interval {
		s.reads.nextReadAt = s.now + jitter(s.random, interval)
	}
	if s.now < s.reads.nextReadAt {
		return
	}
	s.reads.requested++
	s.reads.nextReadAt = s.now + jitter(s.random, interval)
	s.runtime.ReadDocument()
}

// ownReadInterval returns how often this node reads, given its rank in its data
// centre.
func (s *Replicator) ownReadInterval(rank int) time.Duration {
	switch {
	case rank < readersPerDataCentre || s.replacesReader(rank):
		return readerInterval
	case s.doc == nil:
		// No node has a document. Back off, so that a fleet that starts while
		// the platform is down does not overload it.
		return readerInterval << min(s.reads.requested, maxBackoffDoublings)
	}
	return max(followerInterval, ReadInterval(s.view.Size()))
}

// replacesReader reports whether the node of that rank is a substitute whose
// takeover delay has passed.
func (s *Replicator) replacesReader(rank int) bool {
	substitute := rank - readersPerDataCentre
	if substitute >= substituteReaders {
		return false
	}
	return s.now-s.reads.lastReadAt > takeoverDelay+time.Duration(substitute)*takeoverStep
}

// ReadInterval returns how often a node of a fleet of that size reads from the
// platform what it also learns from other nodes.
func ReadInterval(fleet int) time.Duration {
	return min(max(readerInterval, time.Duration(fleet)*followerIntervalPerNode), maxFollowerInterval)
}

// jitter returns a random duration between 3/4 d and 5/4 d.
func jitter(r *rand.Rand, d time.Duration) time.Duration {
	return d*3/4 + time.Duration(r.Int64N(int64(d)/2))
}
