package wire

import "github.com/cockroachdb/errors"

// The errors that Encode and Decode wrap; test for them with errors.Is.
var (
	// ErrTooLarge means that the encoded frame exceeds the size limit of its kind.
	ErrTooLarge = errors.New("frame too large")
	// ErrMalformed means that the bytes are not a single CBOR frame within the
	// limits.
	ErrMalformed = errors.New("frame malformed")
	// ErrMessageCount means that not exactly one field of the Frame is set.
	ErrMessageCount = errors.New("frame must hold exactly one message")
	// ErrUnknownVersion means that the sender uses a protocol version unknown to this
	// node.
	ErrUnknownVersion = errors.New("protocol version not known")
	// ErrOutOfRange means that the value of a field is out of range.
	ErrOutOfRange = errors.New("frame field out of range")
)
