package replication

import (
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/shallotspool/shallotspool/core/document"
	"github.com/shallotspool/shallotspool/core/wire"
)

const (
	// rejectionRetention is how long a rejection is reported after a reader last
	// received the rejected text.
	rejectionRetention = time.Minute
	// maxRejectedHashes limits how many rejected texts are remembered.
	maxRejectedHashes = 8
)

// rejectionState is the highest version rejected by this node or another; version
// is 0 if there is none.
type rejectionState struct {
	version   uint64
	reason    string
	expiresAt time.Duration
	// hashes are those of the texts that this node rejected most recently, oldest
	// first.
	hashes []uint64
}

func (r *rejectionState) contains(hash uint64) bool { return slices.Contains(r.hashes, hash) }

func (r *rejectionState) extend(now time.Duration) {
	if r.version != 0 {
		r.expiresAt = now + rejectionRetention
	}
}

// clearBelow clears the rejection if its version is lower than version, the one
// now in force.
func (r *rejectionState) clearBelow(version uint64) {
	if r.version < version {
		r.version, r.reason = 0, ""
	}
}

func (r *rejectionState) addHash(hash uint64) {
	if len(r.hashes) == maxRejectedHashes {
		r.hashes = r.hashes[1:]
	}
	r.hashes = append(r.hashes, hash)
}

// reject records that a text was rejected, and reports it to operators and to
// linked nodes.
func (r *Replicator) reject(version, hash uint64, reason string) {
	r.rejection.addHash(hash)
	r.setRejection(version, reason, rejectionRetention)
	r.fireEvent(eventRefused)
	r.announceChange()
}

// setRejection reports version as rejected for at least the remaining time, unless a
// higher version is rejected or in force.
func (r *Replicator) setRejection(version uint64, reason string, remaining time.Duration) {
	if version < r.rejection.version || version < r.Version() {
		return
	}
	// A version that the platform did not state is reported as 1, because 0 means
	// that there is no rejection.
	r.rejection.version = max(version, 1)
	r.rejection.reason = truncateReason(reason)
	r.rejection.expiresAt = max(r.rejection.expiresAt, r.now+remaining)
}

// mergeRejection adopts the rejection stated in another node's digest for its
// remaining time. It expires unless a reader renews it.
func (r *Replicator) mergeRejection(d *wire.DocumentDigest) {
	remaining := min(time.Duration(d.RejectionRemainingMS)*time.Millisecond, rejectionRetention)
	if d.RejectedVersion != 0 && remaining > 0 {
		r.setRejection(d.RejectedVersion, d.RejectionReason, remaining)
	}
}

func (r *Replicator) expireRejection() {
	if r.rejection.version != 0 && r.now >= r.rejection.expiresAt {
		r.rejection.version, r.rejection.reason = 0, ""
	}
}

// rejectionReason returns the first problem of a document that is not valid, or the
// text of any other error.
func rejectionReason(err error) string {
	var problems *document.Problems
	if errors.As(err, &problems) {
		return problems.First()
	}
	return err.Error()
}

// truncateReason shortens a reason to the length that a frame may carry.
func truncateReason(reason string) string {
	if len(reason) <= wire.MaxReasonBytes {
		return reason
	}
	return strings.ToValidUTF8(reason[:wire.MaxReasonBytes], "")
}
