// Package dialect describes the names and formats of a platform, so that the node's
// code does not depend on a particular one.
package dialect

import (
	"time"

	"github.com/shallotspool/shallotspool/core/store"
)

// Dialect holds the platform's header names, its format of request ids, its
// readiness path and the constructor of its store reader.
type Dialect struct {
	Headers Headers
	// ParentID returns the id of the request that an upstream was serving when it
	// made the request with the given id. It returns "" if the id has no parent.
	ParentID func(id string) string
	// ReadyPath is the HTTP path of the readiness probe: it tells whether the node
	// accepts requests from callers.
	ReadyPath string
	// NewStoreReader returns a reader for the store at address; now is the node's
	// clock.
	NewStoreReader func(address string, now func() time.Duration) store.Reader
}

// Headers holds the names of the platform's HTTP headers.
type Headers struct {
	// RequestID holds the id of a request.
	RequestID string
	// Deadline holds how long the sender still waits, in milliseconds.
	Deadline string
	// ResponseStamp is set in every response that an upstream produced.
	ResponseStamp string
	// ExpectInstance holds the id of the registered upstream that must execute a
	// request.
	ExpectInstance string
	// NotExecuted is set in the response to a request that the upstream did not
	// execute.
	NotExecuted string
	// RetryAfter holds the time to wait before the next attempt, in seconds.
	RetryAfter string
	// RateLimit holds the requests per second that an upstream in need accepts from all
	// instances together.
	RateLimit string
	// UpstreamLeaving is set in the responses of an upstream that is about to leave.
	UpstreamLeaving string
	// CallerService holds the name of the service of the node that received the
	// request from its caller.
	CallerService string
}
