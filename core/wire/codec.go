package wire

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// The size limits of a frame, in bytes, and the limits of its CBOR structure.
const (
	// MaxFrameBytes is the maximum size of a frame without a document.
	MaxFrameBytes = 16 << 10
	// MaxDocumentBytes is the maximum size of the text of a document.
	MaxDocumentBytes = 1 << 20
	// MaxDocumentFrameBytes is the maximum size of a frame with a document.
	MaxDocumentFrameBytes = MaxDocumentBytes + MaxFrameBytes

	maxNesting  = 8
	maxElements = 4096
	maxPairs    = 64
)

// decMode accepts only CBOR with bounded nesting and sizes, because the bytes come
// from the network. Unknown fields are ignored, so that newer nodes may add fields.
var decMode = mustDecMode(cbor.DecOptions{
	DupMapKey:        cbor.DupMapKeyEnforcedAPF,
	MaxNestedLevels:  maxNesting,
	MaxArrayElements: maxElements,
	MaxMapPairs:      maxPairs,
	IndefLength:      cbor.IndefLengthForbidden,
	TagsMd:           cbor.TagsForbidden,
	UTF8:             cbor.UTF8RejectInvalid,
})

// encMode sorts map keys, so that equal frames have equal bytes.
var encMode = mustEncMode(cbor.EncOptions{Sort: cbor.SortCoreDeterministic})

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

// Encode returns the encoding of f. It rejects every frame that Decode would reject.
// It is safe for concurrent use and does not modify f.
func Encode(f *Frame) ([]byte, error) {
	if err := f.validate(); err != nil {
		return nil, err
	}
	f, err := f.compressDocument()
	if err != nil {
		return nil, err
	}
	data, err := encMode.Marshal(f)
	if err != nil {
		return nil, errors.Wrapf(ErrMalformed, "encode frame: %v", err)
	}
	if len(data) > f.maxBytes() {
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes", len(data))
	}
	return data, nil
}

// Decode decodes and validates one frame received from a peer. It is safe for
// concurrent use; the frame shares no memory with data.
func Decode(data []byte) (*Frame, error) {
	if len(data) > MaxDocumentFrameBytes {
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes", len(data))
	}
	var f Frame
	if err := decMode.Unmarshal(data, &f); err != nil {
		return nil, errors.Wrapf(ErrMalformed, "decode frame: %v", err)
	}
	if err := f.decompressDocument(); err != nil {
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

// maxBytes returns the maximum encoded size of a frame of this kind.
func (f *Frame) maxBytes() int {
	if f.Document != nil {
		return MaxDocumentFrameBytes
	}
	return MaxFrameBytes
}
