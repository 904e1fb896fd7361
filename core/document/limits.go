package document

import "time"

// The limits of a document. Parse refuses what lies outside them.
const (
	// MaxBytes is the size of the longest value the platform holds.
	MaxBytes = 1 << 20
	// MaxLineBytes bounds a line, and with it the nesting that a line can hold.
	MaxLineBytes = 4096
	// MaxNesting bounds the brackets that are open at once.
	MaxNesting = 32

	MaxClasses          = 16
	MaxGroups           = 64
	MaxServices         = 2000
	MaxRoutesPerService = 200
	MaxTargets          = 1000
	MaxCallsPerRoute    = 32
	MaxRetries          = 10
	// MaxDepth is the number of services in the longest chain of calls.
	MaxDepth = 12

	MinWait         = time.Millisecond
	MaxWait         = 5 * time.Minute
	MinResendWindow = time.Second
	MaxResendWindow = 10 * time.Minute

	MinAnswerBytes = 1 << 10
	MaxAnswerBytes = 64 << 20
	MaxAnswerKeys  = 1_000_000

	// MaxVersion leaves room above it, so that counting up never wraps.
	MaxVersion = 1 << 62

	maxNameBytes = 63
	maxPathBytes = 256
)
