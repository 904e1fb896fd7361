package spread

import (
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/shallotspool/shallotspool/core/document"
	"github.com/shallotspool/shallotspool/core/wire"
)

const (
	// showRefused is how long a refusal is shown after a reader last met it.
	showRefused = time.Minute
	// maxBad bounds the texts that are remembered as refused.
	maxBad = 8
)

// refusal is the highest version refused, by this node or by another.
type refusal struct {
	version uint64
	reason  string
	until   time.Duration
	// bad are the hashes of the texts this node refused last.
	bad []uint64
}

func (r *refusal) knows(hash uint64) bool { return slices.Contains(r.bad, hash) }

func (r *refusal) renew(now time.Duration) {
	if r.version != 0 {
		r.until = now + showRefused
	}
}

// settle forgets what a document in force has made good.
func (r *refusal) settle(version uint64) {
	if r.version < version {
		r.version, r.reason = 0, ""
	}
}

func (r *refusal) remember(hash uint64) {
	if len(r.bad) == maxBad {
		r.bad = r.bad[1:]
	}
	r.bad = append(r.bad, hash)
}

// refuse notes that a text was refused, and tells operators.
func (s *Spread) refuse(version, hash uint64, reason string) {
	s.refused.remember(hash)
	s.show(version, reason, showRefused)
	s.fire(eventRefused)
	s.announce()
}

func (s *Spread) show(version uint64, reason string, left time.Duration) {
	if version < s.refused.version || version < s.Version() {
		return
	}
	s.refused.version = max(version, 1)
	s.refused.reason = clip(reason)
	s.refused.until = max(s.refused.until, s.now+left)
}

// told takes another node's refusal over; it ends when no reader renews it.
func (s *Spread) told(d *wire.Digest) {
	left := min(time.Duration(d.RefusedLeftMS)*time.Millisecond, showRefused)
	if d.Refused != 0 && left > 0 {
		s.show(d.Refused, d.Reason, left)
	}
}

func (s *Spread) expireRefusal() {
	if s.refused.version != 0 && s.now >= s.refused.until {
		s.refused.version, s.refused.reason = 0, ""
	}
}

// reasonOf returns the first problem of a document and how many there are.
func reasonOf(err error) string {
	var problems *document.Problems
	if errors.As(err, &problems) {
		return problems.First()
	}
	return err.Error()
}

// clip cuts a reason to what a frame may carry.
func clip(reason string) string {
	if len(reason) <= wire.MaxReasonBytes {
		return reason
	}
	return strings.ToValidUTF8(reason[:wire.MaxReasonBytes], "")
}
