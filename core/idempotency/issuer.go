package idempotency

import (
	"strconv"
	"strings"
	"time"
)

// issuedKeyPrefix distinguishes issued keys from keys chosen by callers.
const issuedKeyPrefix = "own."

// IssuedKey is a key issued by a node. It contains the owner's target name and
// the incarnation of the issuing run, so a restarted owner recognises at once
// that its current run did not issue the key.
type IssuedKey struct {
	Target      string
	Incarnation uint64
	Sequence    uint64
}

// String returns the key in the form that callers send.
func (k IssuedKey) String() string {
	return issuedKeyPrefix + k.Target + "." + strconv.FormatUint(k.Incarnation, 36) + "." + strconv.FormatUint(k.Sequence, 36)
}

// ParseIssuedKey parses an issued key; ok is false for any other key.
func ParseIssuedKey(key string) (k IssuedKey, ok bool) {
	rest, found := strings.CutPrefix(key, issuedKeyPrefix)
	parts := strings.Split(rest, ".")
	if !found || len(parts) != 3 {
		return IssuedKey{}, false
	}
	incarnation, err := strconv.ParseUint(parts[1], 36, 64)
	if err != nil {
		return IssuedKey{}, false
	}
	sequence, err := strconv.ParseUint(parts[2], 36, 64)
	if err != nil {
		return IssuedKey{}, false
	}
	return IssuedKey{Target: parts[0], Incarnation: incarnation, Sequence: sequence}, true
}

// issueMarkInterval is the resolution at which an Issuer records when it issued
// keys.
const issueMarkInterval = 100 * time.Millisecond

// issueMark records that keys from sequence number firstSequence on were issued at
// or after the time at.
type issueMark struct {
	at            time.Duration
	firstSequence uint64
}

// Issuer issues keys and recognises those that have not expired. It is not safe
// for concurrent use.
type Issuer struct {
	target      string
	incarnation uint64
	// nextSequence is the sequence number of the next key. Keys with a number below
	// oldestValid have expired.
	nextSequence uint64
	oldestValid  uint64
	// marks are ordered from oldest to newest.
	marks []issueMark
}

// NewIssuer returns an Issuer for one run of a node.
func NewIssuer(target string, incarnation uint64) *Issuer {
	return &Issuer{target: target, incarnation: incarnation, nextSequence: 1, oldestValid: 1}
}

// Issue returns a new key.
func (i *Issuer) Issue(now time.Duration) string {
	if len(i.marks) == 0 || now-i.marks[len(i.marks)-1].at >= issueMarkInterval {
		i.marks = append(i.marks, issueMark{at: now, firstSequence: i.nextSequence})
	}
	k := IssuedKey{Target: i.target, Incarnation: i.incarnation, Sequence: i.nextSequence}
	i.nextSequence++
	return k.String()
}

// Accepts reports whether this run issued k and k has not expired.
func (i *Issuer) Accepts(k IssuedKey) bool {
	return k.Target == i.target && k.Incarnation == i.incarnation && k.Sequence >= i.oldestValid && k.Sequence < i.nextSequence
}

// Tick expires the keys that were issued at least window ago. A key may expire up
// to issueMarkInterval early.
func (i *Issuer) Tick(now, window time.Duration) {
	for len(i.marks) > 0 && i.marks[0].at+window <= now {
		i.marks = i.marks[1:]
		i.oldestValid = i.nextSequence
		if len(i.marks) > 0 {
			i.oldestValid = i.marks[0].firstSequence
		}
	}
}
