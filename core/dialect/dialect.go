// Package dialect says what a platform calls things, so that a node can speak to
// it without knowing its names.
package dialect

import (
	"time"

	"github.com/shallotspool/shallotspool/core/store"
)

// Dialect is what the platform calls things: the header lines of requests and
// answers, and the store to read.
type Dialect struct {
	Headers Headers
	// ParentOf returns the id of the request for which an upstream makes the
	// request with this id, empty if the id names none.
	ParentOf func(id string) string
	// ReadyPath is asked to learn whether the node takes callers.
	ReadyPath string
	// OpenStore returns a reader of the store at address; now is the node's
	// clock.
	OpenStore func(address string, now func() time.Duration) store.Reader
}

// Headers are the names of header lines.
type Headers struct {
	RequestID string
	// Deadline holds the milliseconds that the sender still waits.
	Deadline string
	// Stamp marks the answers of upstreams.
	Stamp string
	// Expect names the registration that is to run a request.
	Expect string
	// NotRun marks an upstream's answer to a request that it did not run.
	NotRun     string
	RetryAfter string
	// Caller names the service beside which a request began.
	Caller string
}
