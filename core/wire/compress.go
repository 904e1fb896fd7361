package wire

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cockroachdb/errors"
)

// minCompressBytes is the minimum size of a text that is compressed, in bytes.
const minCompressBytes = 1 << 10

// compressDocument returns f as it is encoded: a frame with a long document becomes
// a new frame with the compressed text, any other is returned as is.
func (f *Frame) compressDocument() (*Frame, error) {
	d := f.Document
	if d == nil || len(d.Text) < minCompressBytes {
		return f, nil
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress document")
	}
	if _, err := w.Write(d.Text); err != nil {
		return nil, errors.Wrap(err, "compress document")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress document")
	}
	return &Frame{Document: &Document{Version: d.Version, Compressed: out.Bytes()}}, nil
}

// decompressDocument restores the text of a compressed document. It reads at most
// one byte more than MaxDocumentBytes, so that a decompression bomb uses little
// memory; validate then rejects a text that is too long.
func (f *Frame) decompressDocument() error {
	d := f.Document
	if d == nil || len(d.Compressed) == 0 {
		return nil
	}
	if len(d.Text) > 0 {
		return errors.Wrap(ErrOutOfRange, "document.text is set in addition to the compressed text")
	}
	r := flate.NewReader(bytes.NewReader(d.Compressed))
	text, err := io.ReadAll(io.LimitReader(r, MaxDocumentBytes+1))
	if err != nil {
		return errors.Wrapf(ErrMalformed, "decompress document: %v", err)
	}
	d.Text, d.Compressed = text, nil
	return nil
}
