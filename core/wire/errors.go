package wire

import "github.com/cockroachdb/errors"

// The errors of Encode and Decode. Test for them with errors.Is.
var (
	// ErrTooLarge means the frame has more bytes than its kind may have.
	ErrTooLarge = errors.New("frame too large")
	// ErrMalformed means the bytes are not one CBOR frame within the limits.
	ErrMalformed = errors.New("frame malformed")
	// ErrKind means the frame does not hold exactly one message.
	ErrKind = errors.New("frame must hold exactly one message")
	// ErrVersion means the sender speaks a version this node does not know.
	ErrVersion = errors.New("protocol version not known")
	// ErrValue means a field lies outside its range.
	ErrValue = errors.New("frame field out of range")
)
