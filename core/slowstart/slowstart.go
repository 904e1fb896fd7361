// Package slowstart gives a growing share of work to a cold target, which has
// just started or was just readmitted after failures.
package slowstart

import "time"

const (
	// RampTime is the time in which the share of a cold target grows to 1.
	RampTime = 3 * time.Second
	// firstShare is the share at the beginning.
	firstShare = 0.1
)

// Share returns the share of a warm target's work that suits a target which became
// cold at coldSince. It grows linearly from firstShare to 1.
func Share(now, coldSince time.Duration) float64 {
	age := now - coldSince
	if age >= RampTime {
		return 1
	}
	return firstShare + (1-firstShare)*float64(max(age, 0))/float64(RampTime)
}
