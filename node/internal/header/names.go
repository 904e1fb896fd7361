// Package header reads and writes the header lines that calls carry besides the
// caller's own. What is trusted depends on the listener a call came in by;
// internal lines from outside are dropped, never passed on.
package header

// The header lines. docs/PROTOCOL.md tells who may set which.
const (
	Key          = "Idempotency-Key"
	Service      = "Shallot-Service"
	Wait         = "Shallot-Wait-Ms"
	Group        = "Shallot-Group"
	Parent       = "Shallot-Parent"
	Budget       = "Shallot-Budget"
	Class        = "Shallot-Class"
	Depth        = "Shallot-Depth"
	Priority     = "Shallot-Priority"
	Send         = "Shallot-Send"
	Stage        = "Shallot-Stage"
	Heard        = "Shallot-Heard"
	Rerun        = "Shallot-Rerun"
	Stamp        = "Shallot-Stamp"
	Outcome      = "Shallot-Outcome"
	Reason       = "Shallot-Reason"
	Load         = "Shallot-Load"
	RetryAfterMS = "Shallot-Retry-After-Ms"
	RetryAfter   = "Retry-After"
)

// prefix begins the names of all lines of this system.
const prefix = "Shallot-"

// Limits of the values.
const (
	maxKey   = 256
	maxName  = 64
	maxWait  = 3600000
	maxSmall = 255
	// maxPriority is the largest 16-bit number.
	maxPriority = 1<<16 - 1
)

// hopByHop are the lines that belong to one connection only.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true,
	"Upgrade": true, "Content-Length": true, "Expect": true, "Host": true,
}
