package idempotency

import (
	"time"

	"github.com/shallotspool/shallotspool/core/wire"
)

// MaxSendAge is the age from which a send is refused. A copy that arrives later
// is refused by its stamp, so a send need not be remembered for longer.
const MaxSendAge = 2 * time.Second

// SendStatus is the state of a send as known to its receiver.
type SendStatus uint8

// States of a send.
const (
	// SendNew is a send that was not seen before and may run.
	SendNew SendStatus = iota + 1
	// SendInProgress is a send in progress.
	SendInProgress
	// SendRan is a send that ran or may have run.
	SendRan
	// SendNotRun is a send that has not run and will never run.
	SendNotRun
	// SendTableFull means that no further send can be remembered.
	SendTableFull
)

// sendRecord is the state of one send as of its last change.
type sendRecord struct {
	status    SendStatus
	send      wire.SendID
	updatedAt time.Duration
}

// SendTable remembers the recent sends to a node, so that no copy of a send runs
// again and no refused or fenced send runs at all. It is not safe for concurrent
// use.
type SendTable struct {
	maxSends int
	sends    map[wire.SendID]*sendRecord
	// order holds one record for each change of a send, ordered by time.
	order []sendRecord
}

// NewSendTable returns an empty table that remembers at most max sends.
func NewSendTable(max int) *SendTable {
	return &SendTable{maxSends: max, sends: map[wire.SendID]*sendRecord{}}
}

// IsStampFresh reports whether a send with the stamp sent may be accepted by the node
// whose current stamp is current.
func IsStampFresh(current, sent wire.Stamp) bool {
	limit := uint64(MaxSendAge / time.Millisecond)
	return sent.Incarnation == current.Incarnation && sent.UptimeMS <= current.UptimeMS && current.UptimeMS-sent.UptimeMS < limit
}

// RecordArrival records the arrival of a send and returns its previous state.
func (r *SendTable) RecordArrival(now time.Duration, send wire.SendID) SendStatus {
	if known := r.sends[send]; known != nil {
		return known.status
	}
	if len(r.sends) >= r.maxSends {
		return SendTableFull
	}
	r.record(now, send, SendInProgress)
	return SendNew
}

// Finish records the end of a send. ran may be false only if the send certainly
// did not run.
func (r *SendTable) Finish(now time.Duration, send wire.SendID, ran bool) {
	if ran {
		r.record(now, send, SendRan)
		return
	}
	r.record(now, send, SendNotRun)
}

// Fence prevents a send from running in the future, unless it is in progress or
// has run. It returns false if the send certainly has not run and never will.
func (r *SendTable) Fence(now time.Duration, send wire.SendID) (mayHaveRun bool) {
	if known := r.sends[send]; known != nil {
		return known.status != SendNotRun
	}
	if len(r.sends) >= r.maxSends {
		return true
	}
	r.record(now, send, SendNotRun)
	return false
}

// record stores the state of a send.
func (r *SendTable) record(now time.Duration, send wire.SendID, f SendStatus) {
	entry := sendRecord{status: f, send: send, updatedAt: now}
	r.sends[send] = &entry
	r.order = append(r.order, entry)
}

// Tick forgets finished sends whose copies would now be refused by their stamp.
func (r *SendTable) Tick(now time.Duration) {
	for len(r.order) > 0 && r.order[0].updatedAt+MaxSendAge <= now {
		old := r.order[0]
		r.order = r.order[1:]
		if known := r.sends[old.send]; known != nil && known.updatedAt == old.updatedAt && known.status != SendInProgress {
			delete(r.sends, old.send)
		}
	}
}

// Len returns the number of remembered sends.
func (r *SendTable) Len() int { return len(r.sends) }
