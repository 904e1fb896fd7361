package wire

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// The limits of a frame, in bytes.
const (
	// MaxFrameBytes bounds every frame but one that carries a document.
	MaxFrameBytes = 16 << 10
	// MaxTextBytes is the longest text of a document.
	MaxTextBytes = 1 << 20
	// MaxDocumentFrameBytes bounds a frame that carries a document.
	MaxDocumentFrameBytes = MaxTextBytes + MaxFrameBytes

	maxNesting  = 8
	maxElements = 4096
	maxPairs    = 64
)

// decoding takes CBOR of bounded nesting and sizes only. Unknown fields are
// passed over, so that a newer node may say more.
var decoding = mustDecMode(cbor.DecOptions{
	DupMapKey:        cbor.DupMapKeyEnforcedAPF,
	MaxNestedLevels:  maxNesting,
	MaxArrayElements: maxElements,
	MaxMapPairs:      maxPairs,
	IndefLength:      cbor.IndefLengthForbidden,
	TagsMd:           cbor.TagsForbidden,
	UTF8:             cbor.UTF8RejectInvalid,
})

var encoding = mustEncMode(cbor.EncOptions{Sort: cbor.SortCoreDeterministic})

func mustDecMode(o cbor.DecOptions) cbor.DecMode {
	mode, err := o.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustEncMode(o cbor.EncOptions) cbor.EncMode {
	mode, err := o.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the bytes of f. It refuses what Decode would refuse at the
// other end. It may be called from any goroutine.
func Encode(f *Frame) ([]byte, error) {
	if err := f.validate(); err != nil {
		return nil, err
	}
	f, err := f.packed()
	if err != nil {
		return nil, err
	}
	text, err := encoding.Marshal(f)
	if err != nil {
		return nil, errors.Wrapf(ErrMalformed, "encode frame: %v", err)
	}
	if len(text) > f.maxBytes() {
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes", len(text))
	}
	return text, nil
}

// Decode reads one frame that a peer sent and checks every field of it. It may
// be called from any goroutine; the frame shares no memory with data.
func Decode(data []byte) (*Frame, error) {
	if len(data) > MaxDocumentFrameBytes {
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes", len(data))
	}
	var f Frame
	if err := decoding.Unmarshal(data, &f); err != nil {
		return nil, errors.Wrapf(ErrMalformed, "decode frame: %v", err)
	}
	if err := f.unpack(); err != nil {
		return nil, err
	}
	if err := f.validate(); err != nil {
		return nil, err
	}
	if len(data) > f.maxBytes() {
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes", len(data))
	}
	return &f, nil
}

func (f *Frame) maxBytes() int {
	if f.Document != nil {
		return MaxDocumentFrameBytes
	}
	return MaxFrameBytes
}
