package link

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/shallotspool/shallotspool/core/wire"
)

// maxFrame is the size of the largest frame, in bytes: a document and its
// surroundings.
const maxFrame = 1<<20 + 16<<10

func encode(f *wire.Frame) ([]byte, error) {
	b, err := cbor.Marshal(f)
	return b, errors.Wrap(err, "encode frame")
}

func decode(b []byte) (*wire.Frame, error) {
	var f wire.Frame
	if err := cbor.Unmarshal(b, &f); err != nil {
		return nil, errors.Wrap(err, "decode frame")
	}
	return &f, nil
}
