// Package slowstart gives a cold upstream a growing share of work: one that has
// just started, or that was just readmitted after failures.
package slowstart

import "time"

const (
	// Ramp is how long a cold upstream takes to its full share.
	Ramp = 3 * time.Second
	// firstShare is the share it begins with.
	firstShare = 0.1
)

// Share returns the share of a full target's work for one that became cold at
// since; it grows linearly from a tenth to 1.
func Share(now, since time.Duration) float64 {
	age := now - since
	if age >= Ramp {
		return 1
	}
	return firstShare + (1-firstShare)*float64(max(age, 0))/float64(Ramp)
}
