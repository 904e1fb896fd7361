package replication

import (
	"math/rand/v2"
	"time"
)

const (
	// readersPerDataCentre is the number of nodes in each data centre that
	// always read the platform: those with the lowest membership.View.ReaderRank.
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
	// followerInterval is the shortest interval, before jitter, at which a node
	// that has a document and is not a reader reads. It reads only to find
	// documents that the readers of its data centre cannot reach.
	followerInterval = 30 * time.Second
	// followerIntervalPerNode lengthens the interval in proportion to the fleet
	// size, so that all followers together stay at 20 reads per second.
	followerIntervalPerNode = 50 * time.Millisecond
	// maxFollowerInterval limits the interval in very large fleets.
	maxFollowerInterval = 5 * time.Minute
	// maxBackoffDoublings limits how often readerInterval doubles while this node
	// has no document.
	maxBackoffDoublings = 4
)

// readSchedule tracks when this node reads the platform next and how recently any
// node of its data centre read it.
type readSchedule struct {
	nextReadAt time.Duration
	// known is true if a read in the own data centre is known; lastReadAt is the
	// time of the latest one.
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
func (r *Replicator) readWhenDue() {
	interval := r.ownReadInterval(r.view.ReaderRank())
	// A node that has just become a reader must not wait for the read it
	// scheduled with the longer interval.
	if r.reads.nextReadAt > r.now+2*interval {
		r.reads.nextReadAt = r.now + jitter(r.random, interval)
	}
	if r.now < r.reads.nextReadAt {
		return
	}
	r.reads.requested++
	r.reads.nextReadAt = r.now + jitter(r.random, interval)
	r.runtime.ReadDocument()
}

// ownReadInterval returns how often this node reads, given its rank in its data
// centre.
func (r *Replicator) ownReadInterval(rank int) time.Duration {
	switch {
	case rank < readersPerDataCentre || r.replacesReader(rank):
		return readerInterval
	case r.doc == nil:
		// This node has no document yet. Back off, so that a fleet that starts
		// while the platform is down does not overload it.
		return readerInterval << min(r.reads.requested, maxBackoffDoublings)
	}
	return max(followerInterval, ReadInterval(r.view.Size()))
}

// replacesReader reports whether the node of that rank is a substitute whose
// takeover delay has passed.
func (r *Replicator) replacesReader(rank int) bool {
	substitute := rank - readersPerDataCentre
	if substitute >= substituteReaders {
		return false
	}
	return r.now-r.reads.lastReadAt > takeoverDelay+time.Duration(substitute)*takeoverStep
}

// ReadInterval returns the interval at which a node reads data from the platform
// that it also receives from other nodes. It grows with the number of nodes.
func ReadInterval(fleetSize int) time.Duration {
	return min(max(readerInterval, time.Duration(fleetSize)*followerIntervalPerNode), maxFollowerInterval)
}

// jitter returns a random duration between 3/4 d and 5/4 d.
func jitter(r *rand.Rand, d time.Duration) time.Duration {
	return d*3/4 + time.Duration(r.Int64N(int64(d)/2))
}
