package document

import (
	"bytes"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Parse reads and checks the text of a document. Its error is a *Problems that
// holds everything found wrong.
func Parse(text []byte) (*Document, error) { return ParseFile("", text) }

// ParseFile is Parse for text that came from the named file; the name goes into
// the error and nowhere else.
func ParseFile(file string, text []byte) (*Document, error) {
	var problems Problems
	d := parse(text, &problems)
	if found := problems.sorted(); found != nil {
		found.File = file
		return nil, errors.WithStack(found)
	}
	return d, nil
}

func parse(text []byte, problems *Problems) *Document {
	if !checkShape(text, problems) {
		return nil
	}
	root := syntax(text, problems)
	if root == nil {
		return nil
	}
	b := &builder{reader: reader{problems: problems}, sources: map[*Route]*routeSource{}}
	d := b.document(root)
	if d == nil {
		return nil
	}
	d.Index()
	b.checkRoutes(d)
	b.checkCalls(d)
	return d
}

// checkShape refuses text that would cost too much to read: it is too long, has
// a line too long, or opens too many brackets.
func checkShape(text []byte, problems *Problems) bool {
	if len(text) > MaxBytes {
		problems.add(Problem{Reason: fmt.Sprintf("the document has %d bytes, more than %d", len(text), MaxBytes)})
		return false
	}
	open := 0
	line := 0
	for part := range bytes.Lines(text) {
		line++
		if len(part) > MaxLineBytes {
			problems.add(Problem{Line: line, Column: 1, Reason: fmt.Sprintf("the line has more than %d bytes", MaxLineBytes)})
			return false
		}
		content, _, _ := bytes.Cut(part, []byte("#"))
		for column, c := range content {
			switch c {
			case '[', '{':
				open++
			case ']', '}':
				open = max(0, open-1)
			}
			if open > MaxNesting {
				problems.add(Problem{Line: line, Column: column + 1, Reason: fmt.Sprintf("more than %d brackets are open", MaxNesting)})
				return false
			}
		}
	}
	return true
}

// syntax returns the one YAML document in text, or nil.
func syntax(text []byte, problems *Problems) (root ast.Node) {
	// The library can panic on malformed text; that is a problem of the text.
	defer func() {
		if recover() != nil {
			problems.add(Problem{Line: 1, Column: 1, Reason: "the text is not valid YAML"})
			root = nil
		}
	}()
	file, err := parser.ParseBytes(text, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		problems.add(syntaxProblem(err))
		return nil
	}
	if len(file.Docs) == 0 || file.Docs[0].Body == nil {
		problems.add(Problem{Line: 1, Column: 1, Reason: "the document is empty"})
		return nil
	}
	if len(file.Docs) > 1 {
		problems.add(Problem{Line: 1, Column: 1, Reason: "the text holds more than one YAML document"})
		return nil
	}
	return file.Docs[0].Body
}

func syntaxProblem(err error) Problem {
	var located yaml.Error
	if !errors.As(err, &located) || located.GetToken() == nil {
		return Problem{Line: 1, Column: 1, Reason: "the text is not valid YAML"}
	}
	at := located.GetToken().Position
	return Problem{Line: at.Line, Column: at.Column, Reason: "not valid YAML: " + located.GetMessage()}
}

func (p *Problems) add(one Problem) { p.List = append(p.List, one) }
