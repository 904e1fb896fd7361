// Package header encodes and decodes the header fields that calls and replies
// carry in addition to the caller's own. Which fields are trusted depends on the
// listener that received the call; internal fields from an untrusted origin are
// dropped and never forwarded.
package header

// Names of the header fields. docs/PROTOCOL.md describes who may set which.
const (
	Key           = "Idempotency-Key"
	Service       = "Shallot-Service"
	TimeoutMS     = "Shallot-Wait-Ms"
	Group         = "Shallot-Group"
	Parent        = "Shallot-Parent"
	RetryTokens   = "Shallot-Budget"
	Class         = "Shallot-Class"
	Depth         = "Shallot-Depth"
	Priority      = "Shallot-Priority"
	Send          = "Shallot-Send"
	Stage         = "Shallot-Stage"
	ReceiverStamp = "Shallot-Heard"
	Rerun         = "Shallot-Rerun"
	Stamp         = "Shallot-Stamp"
	Outcome       = "Shallot-Outcome"
	Reason        = "Shallot-Reason"
	Load          = "Shallot-Load"
	RetryAfterMS  = "Shallot-Retry-After-Ms"
	RetryAfter    = "Retry-After"
)

// internalPrefix is the prefix of all fields that this system defines.
const internalPrefix = "Shallot-"

// Limits of field values.
const (
	maxKeyBytes  = 256
	maxNameBytes = 64
	// maxTimeoutMS is one hour in milliseconds. It also limits
	// Shallot-Retry-After-Ms.
	maxTimeoutMS = 3600000
	// maxUint8 limits retry tokens, classes and call depths.
	maxUint8    = 255
	maxPriority = 1<<16 - 1
)

// MaxAddedBytes returns the most that a node adds to a header of a size, in bytes, on its way to
// another node: the fields of this system, and a blank after each colon, of which there is one in
// four bytes at most.
func MaxAddedBytes(size int) int { return 2<<10 + size/4 }

// hopByHop is the set of fields that apply to a single connection or message and
// are not forwarded.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true,
	"Upgrade": true, "Content-Length": true, "Expect": true, "Host": true,
}
