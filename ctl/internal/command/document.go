package command

import (
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/shallotspool/shallotspool/core/document"
)

// errInvalid marks errors of documents that could be read but are invalid.
var errInvalid = errors.New("invalid document")

// loadDocument reads and validates the document in the named file. The name "-"
// does not mean standard input.
func loadDocument(file string) (*document.Document, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, errors.Wrap(err, "open document")
	}
	defer func() { _ = f.Close() }()
	// Reads one byte more than the limit so that ParseFile rejects a document
	// that is too long.
	text, err := io.ReadAll(io.LimitReader(f, document.MaxBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "read document")
	}
	doc, err := document.ParseFile(file, text)
	if err != nil {
		return nil, errors.Mark(err, errInvalid)
	}
	return doc, nil
}
