package wire

import "github.com/cockroachdb/errors"

// The errors that Encode and Decode wrap; test for them with errors.Is.
var (
	// ErrTooLarge means that the encoded frame exceeds the size limit of its kind.
	ErrTooLarge = errors.New("frame too large")
	// ErrMalformed means that the bytes are not a single CBOR frame within the
	// limits.
	ErrMalformed = errors.New("frame malformed")
	// ErrKind means that not exactly one field of the Frame is set.
	ErrKind = errors.New("frame must hold exactly one message")
	// ErrVersion means that the sender uses a protocol version unknown to this node.
	ErrVersion = errors.New("protocol version not known")
	// ErrValue means that the value of a field is out of range.
	ErrValue = errors.New("frame field out of range")
)
