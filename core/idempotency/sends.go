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
// again and no refused or fenced send runs at all. A send is one transmission of a
// call from one node to another. SendTable is not safe for concurrent use.
type SendTable struct {
	maxSends int
	sends    map[wire.SendID]*sendRecord
	// order holds one record for each change of a send, ordered by time.
	order []sendRecord
}

// NewSendTable returns an empty table that remembers at most maxSends sends.
func NewSendTable(maxSends int) *SendTable {
	return &SendTable{maxSends: maxSends, sends: map[wire.SendID]*sendRecord{}}
}

// IsStampFresh reports whether a send with the stamp sent may be accepted by the
// node whose current stamp is current.
func IsStampFresh(current, sent wire.Stamp) bool {
	limit := uint64(MaxSendAge / time.Millisecond)
	return sent.Incarnation == current.Incarnation && sent.UptimeMS <= current.UptimeMS && current.UptimeMS-sent.UptimeMS < limit
}

// RecordArrival records the arrival of a send and returns its previous state.
func (t *SendTable) RecordArrival(now time.Duration, send wire.SendID) SendStatus {
	if known := t.sends[send]; known != nil {
		return known.status
	}
	if len(t.sends) >= t.maxSends {
		return SendTableFull
	}
	t.record(now, send, SendInProgress)
	return SendNew
}

// Finish records the end of a send. ran may be false only if the send certainly
// did not run.
func (t *SendTable) Finish(now time.Duration, send wire.SendID, ran bool) {
	if ran {
		t.record(now, send, SendRan)
		return
	}
	t.record(now, send, SendNotRun)
}

// Fence prevents a send from running in the future, unless it is in progress, has
// run, or is unknown while the table is full. It returns false if the send certainly
// has not run and never will.
func (t *SendTable) Fence(now time.Duration, send wire.SendID) (mayHaveRun bool) {
	if known := t.sends[send]; known != nil {
		return known.status != SendNotRun
	}
	if len(t.sends) >= t.maxSends {
		return true
	}
	t.record(now, send, SendNotRun)
	return false
}

func (t *SendTable) record(now time.Duration, send wire.SendID, status SendStatus) {
	r := sendRecord{status: status, send: send, updatedAt: now}
	t.sends[send] = &r
	t.order = append(t.order, r)
}

// Tick forgets finished sends whose copies would now be refused by their stamp.
func (t *SendTable) Tick(now time.Duration) {
	for len(t.order) > 0 && t.order[0].updatedAt+MaxSendAge <= now {
		old := t.order[0]
		t.order = t.order[1:]
		if known := t.sends[old.send]; known != nil && known.updatedAt == old.updatedAt && known.status != SendInProgress {
			delete(t.sends, old.send)
		}
	}
}

// Len returns the number of remembered sends.
func (t *SendTable) Len() int { return len(t.sends) }
