package command

import (
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/shallotspool/shallotspool/core/document"
)

// errInvalid marks the error of a document that was read and is invalid.
var errInvalid = errors.New("invalid document")

// load reads and checks the document in the named file; "-" is not special.
func load(file string) (*document.Document, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, errors.Wrap(err, "open document")
	}
	defer func() { _ = f.Close() }()
	// One byte more than is allowed shows that a document is too long.
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
