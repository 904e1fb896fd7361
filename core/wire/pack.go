package wire

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cockroachdb/errors"
)

// packFrom is the length of text from which packing pays, in bytes.
const packFrom = 1 << 10

// packed returns f as it goes over the wire.
func (f *Frame) packed() (*Frame, error) {
	d := f.Document
	if d == nil || len(d.Text) < packFrom {
		return f, nil
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "pack document")
	}
	if _, err := w.Write(d.Text); err != nil {
		return nil, errors.Wrap(err, "pack document")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "pack document")
	}
	return &Frame{Document: &Document{Version: d.Version, Packed: out.Bytes()}}, nil
}

// unpack restores the text of a document that came packed. The limit holds for
// the text as well, whatever it was packed to.
func (f *Frame) unpack() error {
	d := f.Document
	if d == nil || len(d.Packed) == 0 {
		return nil
	}
	if len(d.Text) > 0 {
		return errors.Wrap(ErrValue, "document.text and packed")
	}
	r := flate.NewReader(bytes.NewReader(d.Packed))
	text, err := io.ReadAll(io.LimitReader(r, MaxTextBytes+1))
	if err != nil {
		return errors.Wrapf(ErrMalformed, "unpack document: %v", err)
	}
	d.Text, d.Packed = text, nil
	return nil
}
