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
	// refusalRetention is how long a refusal is reported after a reader last
	// received the refused text.
	refusalRetention = time.Minute
	// maxRefusedHashes limits how many refused texts are remembered.
	maxRefusedHashes = 8
)

// refusalState is the highest version refused by this node or another; version
// is 0 if there is none.
type refusalState struct {
	version   uint64
	reason    string
	expiresAt time.Duration
	// hashes are those of the texts that this node refused most recently, oldest
	// first.
	hashes []uint64
}

func (r *refusalState) contains(hash uint64) bool { return slices.Contains(r.hashes, hash) }

func (r *refusalState) extend(now time.Duration) {
	if r.version != 0 {
		r.expiresAt = now + refusalRetention
	}
}

// clearBelow clears the refusal if its version is lower than version, the one
// now in force.
func (r *refusalState) clearBelow(version uint64) {
	if r.version < version {
		r.version, r.reason = 0, ""
	}
}

func (r *refusalState) addHash(hash uint64) {
	if len(r.hashes) == maxRefusedHashes {
		r.hashes = r.hashes[1:]
	}
	r.hashes = append(r.hashes, hash)
}

// refuse records that a text was refused, and reports it to operators and to
// linked nodes.
func (s *Replicator) refuse(version, hash uint64, reason string) {
	s.refusal.addHash(hash)
	s.setRefusal(version, reason, refusalRetention)
	s.fireEvent(eventRefused)
	s.announceChange()
}

// setRefusal reports version as refused for at least the remaining time, unless a
// higher version is refused or in force.
func (s *Replicator) setRefusal(version uint64, reason string, remaining time.Duration) {
	if version < s.refusal.version || version < s.Version() {
		return
	}
	s.refusal.version = max(version, 1)
	s.refusal.reason = truncateReason(reason)
	s.refusal.expiresAt = max(s.refusal.expiresAt, s.now+remaining)
}

// mergeRefusal adopts the refusal stated in another node's digest. It expires
// unless a reader renews it.
func (s *Replicator) mergeRefusal(d *wire.DocumentDigest) {
	remaining := min(time.Duration(d.RejectionRemainingMS)*time.Millisecond, refusalRetention)
	if d.RejectedVersion != 0 && remaining > 0 {
		s.setRefusal(d.RejectedVersion, d.RejectionReason, remaining)
	}
}

func (s *Replicator) expireRefusal() {
	if s.refusal.version != 0 && s.now >= s.refusal.expiresAt {
		s.refusal.version, s.refusal.reason = 0, ""
	}
}

// refusalReason returns the first problem of a document and the number of
// problems.
func refusalReason(err error) string {
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
