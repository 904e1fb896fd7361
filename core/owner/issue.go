package owner

import (
	"strconv"
	"strings"
	"time"
)

// issuedPrefix marks a key that names its owner.
const issuedPrefix = "own."

// IssuedKey is a key that a node gave out: it names its owner and the run of
// the node that issued it, so a restarted owner knows at once that the key is
// not its own.
type IssuedKey struct {
	Target      string
	Incarnation uint64
	Sequence    uint64
}

// String is the key as callers send it.
func (k IssuedKey) String() string {
	return issuedPrefix + k.Target + "." + strconv.FormatUint(k.Incarnation, 36) + "." + strconv.FormatUint(k.Sequence, 36)
}

// ParseIssued reads a key that a node gave out; ok is false for any other key.
func ParseIssued(key string) (k IssuedKey, ok bool) {
	rest, found := strings.CutPrefix(key, issuedPrefix)
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

// issueStep is the grain in which an Issuer remembers when it issued keys.
const issueStep = 100 * time.Millisecond

type mark struct {
	at   time.Duration
	next uint64
}

// Issuer gives out keys and knows which of them are still in their window. It
// is not safe for concurrent use.
type Issuer struct {
	target      string
	incarnation uint64
	next        uint64
	floor       uint64
	marks       []mark
}

// NewIssuer returns the issuer of one run of a node.
func NewIssuer(target string, incarnation uint64) *Issuer {
	return &Issuer{target: target, incarnation: incarnation, next: 1, floor: 1}
}

// Issue gives out a new key.
func (i *Issuer) Issue(now time.Duration) string {
	if len(i.marks) == 0 || now-i.marks[len(i.marks)-1].at >= issueStep {
		i.marks = append(i.marks, mark{at: now, next: i.next})
	}
	k := IssuedKey{Target: i.target, Incarnation: i.incarnation, Sequence: i.next}
	i.next++
	return k.String()
}

// Takes tells whether this run issued k, and within the window.
func (i *Issuer) Takes(k IssuedKey) bool {
	return k.Target == i.target && k.Incarnation == i.incarnation && k.Sequence >= i.floor && k.Sequence < i.next
}

// Tick lets the keys expire that were issued longer than window ago.
func (i *Issuer) Tick(now, window time.Duration) {
	for len(i.marks) > 0 && i.marks[0].at+window <= now {
		i.marks = i.marks[1:]
		i.floor = i.next
		if len(i.marks) > 0 {
			i.floor = i.marks[0].next
		}
	}
}
