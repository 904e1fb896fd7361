package owner

import (
	"time"

	"github.com/shallotspool/shallotspool/core/wire"
)

// MaxSendAge is how old a send may be when it is taken. A copy that comes later
// is refused by its stamp, so what is known of a send need not be remembered
// for longer than this.
const MaxSendAge = 2 * time.Second

// Fate is what a receiver knows of a send.
type Fate uint8

// The fates.
const (
	// FateNew is a send that was not seen before and may go on.
	FateNew Fate = iota + 1
	// FateOpen is a send that is being worked on.
	FateOpen
	// FateRan is a send that ran, or may have.
	FateRan
	// FateNotRun is a send that has not run and never will.
	FateNotRun
	// FateFull means there is no room to remember another send.
	FateFull
)

type receipt struct {
	fate Fate
	send wire.SendID
	at   time.Duration
}

// Receipts remembers the sends that reached a node lately, so that no copy of
// one runs again, and none that was refused or fenced runs at all. It is not
// safe for concurrent use.
type Receipts struct {
	max   int
	sends map[wire.SendID]*receipt
	// order holds the receipts by the time of their last change.
	order []receipt
}

// NewReceipts returns a memory of at most max sends.
func NewReceipts(max int) *Receipts {
	return &Receipts{max: max, sends: map[wire.SendID]*receipt{}}
}

// Fresh tells whether a send that bears the stamp heard may be taken now by the
// node whose present stamp is self.
func Fresh(self, heard wire.Stamp) bool {
	limit := uint64(MaxSendAge / time.Millisecond)
	return heard.Incarnation == self.Incarnation && heard.Clock <= self.Clock && self.Clock-heard.Clock < limit
}

// Arrive records a send and returns what was known of it before.
func (r *Receipts) Arrive(now time.Duration, send wire.SendID) Fate {
	if known := r.sends[send]; known != nil {
		return known.fate
	}
	if len(r.sends) >= r.max {
		return FateFull
	}
	r.set(now, send, FateOpen)
	return FateNew
}

// Finish records how the work on a send ended; ran is false only when it
// certainly did not run.
func (r *Receipts) Finish(now time.Duration, send wire.SendID, ran bool) {
	if ran {
		r.set(now, send, FateRan)
		return
	}
	r.set(now, send, FateNotRun)
}

// Fence forbids a send to run from now on, unless it is open or has run. It
// returns false when it certainly has not run and will not.
func (r *Receipts) Fence(now time.Duration, send wire.SendID) (mayHaveRun bool) {
	if known := r.sends[send]; known != nil {
		return known.fate != FateNotRun
	}
	if len(r.sends) >= r.max {
		return true
	}
	r.set(now, send, FateNotRun)
	return false
}

func (r *Receipts) set(now time.Duration, send wire.SendID, f Fate) {
	entry := receipt{fate: f, send: send, at: now}
	r.sends[send] = &entry
	r.order = append(r.order, entry)
}

// Tick forgets the sends of which any further copy is too old to be taken.
func (r *Receipts) Tick(now time.Duration) {
	for len(r.order) > 0 && r.order[0].at+MaxSendAge <= now {
		old := r.order[0]
		r.order = r.order[1:]
		if known := r.sends[old.send]; known != nil && known.at == old.at && known.fate != FateOpen {
			delete(r.sends, old.send)
		}
	}
}

// Len returns the number of sends remembered.
func (r *Receipts) Len() int { return len(r.sends) }
