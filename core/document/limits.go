package document

import "time"

// The limits of a document. Parse reports anything beyond them as a problem.
const (
	// MaxBytes is the maximum size of the text, which is also the maximum size of
	// a value that the platform stores.
	MaxBytes = 1 << 20
	// MaxLineBytes bounds the length of a line, and thereby the nesting that one
	// line can open.
	MaxLineBytes = 4096
	// MaxNesting is the maximum number of brackets and braces open at once.
	MaxNesting = 32

	MaxClasses          = 16
	MaxGroups           = 64
	MaxServices         = 2000
	MaxRoutesPerService = 200
	MaxTargets          = 1000
	MaxCalleesPerRoute  = 32
	MaxRetryBudget      = 10
	// MaxCallDepth is the maximum number of routes in a chain of calls.
	MaxCallDepth = 12

	MinTimeout      = time.Millisecond
	MaxTimeout      = 5 * time.Minute
	MinResendWindow = time.Second
	MaxResendWindow = 10 * time.Minute

	MinResponseCacheBytes = 1 << 10
	MaxResponseCacheBytes = 64 << 20
	MaxResponseCacheKeys  = 1_000_000

	// MaxVersion is far below the largest uint64, so that incrementing a version
	// never overflows.
	MaxVersion = 1 << 62

	maxNameBytes = 63
	maxPathBytes = 256
)
