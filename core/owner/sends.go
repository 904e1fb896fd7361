package owner

import (
	"time"

	"github.com/shallotspool/shallotspool/core/wire"
)

// MaxSendAge is the age from which a send is refused. A copy that arrives later
// is refused by its stamp, so a send need not be remembered for longer.
const MaxSendAge = 2 * time.Second

// Fate is the state of a send as known to its receiver.
type Fate uint8

// States of a send.
const (
	// FateNew is a send that was not seen before and may run.
	FateNew Fate = iota + 1
	// FateOpen is a send in progress.
	FateOpen
	// FateRan is a send that ran or may have run.
	FateRan
	// FateNotRun is a send that has not run and will never run.
	FateNotRun
	// FateFull means that no further send can be remembered.
	FateFull
)

// sendRecord is the state of one send as of its last change.
type sendRecord struct {
	status    Fate
	send      wire.SendID
	updatedAt time.Duration
}

// Receipts remembers the recent sends to a node, so that no copy of a send runs
// again and no refused or fenced send runs at all. It is not safe for concurrent
// use.
type Receipts struct {
	maxSends int
	sends    map[wire.SendID]*sendRecord
	// order holds one record for each change of a send, ordered by time.
	order []sendRecord
}

// NewReceipts returns an empty table that remembers at most max sends.
func NewReceipts(max int) *Receipts {
	return &Receipts{maxSends: max, sends: map[wire.SendID]*sendRecord{}}
}

// Fresh reports whether a send with the stamp sent may be accepted by the node
// whose current stamp is current.
func Fresh(current, sent wire.Stamp) bool {
	limit := uint64(MaxSendAge / time.Millisecond)
	return sent.Incarnation == current.Incarnation && sent.Clock <= current.Clock && current.Clock-sent.Clock < limit
}

// Arrive records the arrival of a send and returns its previous state.
func (r *Receipts) Arrive(now time.Duration, send wire.SendID) Fate {
	if known := r.sends[send]; known != nil {
		return known.status
	}
	if len(r.sends) >= r.maxSends {
		return FateFull
	}
	r.record(now, send, FateOpen)
	return FateNew
}

// Finish records the end of a send. ran may be false only if the send certainly
// did not run.
func (r *Receipts) Finish(now time.Duration, send wire.SendID, ran bool) {
	if ran {
		r.record(now, send, FateRan)
		return
	}
	r.record(now, send, FateNotRun)
}

// Fence prevents a send from running in the future, unless it is in progress or
// has run. It returns false if the send certainly has not run and never will.
func (r *Receipts) Fence(now time.Duration, send wire.SendID) (mayHaveRun bool) {
	if known := r.sends[send]; known != nil {
		return known.status != FateNotRun
	}
	if len(r.sends) >= r.maxSends {
		return true
	}
	r.record(now, send, FateNotRun)
	return false
}

// record stores the state of a send.
func (r *Receipts) record(now time.Duration, send wire.SendID, f Fate) {
	entry := sendRecord{status: f, send: send, updatedAt: now}
	r.sends[send] = &entry
	r.order = append(r.order, entry)
}

// Tick forgets finished sends whose copies would now be refused by their stamp.
func (r *Receipts) Tick(now time.Duration) {
	for len(r.order) > 0 && r.order[0].updatedAt+MaxSendAge <= now {
		old := r.order[0]
		r.order = r.order[1:]
		if known := r.sends[old.send]; known != nil && known.updatedAt == old.updatedAt && known.status != FateOpen {
			delete(r.sends, old.send)
		}
	}
}

// Len returns the number of remembered sends.
func (r *Receipts) Len() int { return len(r.sends) }
