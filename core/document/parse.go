package document

import (
	"bytes"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Parse reads and checks the text of a document. The error is a *Problems that
// lists everything wrong with it.
func Parse(text []byte) (*Document, error) { return ParseFile("", text) }

// ParseFile is Parse for text read from the named file. The name is used only in
// the error.
func ParseFile(file string, text []byte) (*Document, error) {
	var problems Problems
	d := parse(text, &problems)
	if found := problems.sortAndTruncate(); found != nil {
		found.File = file
		return nil, errors.WithStack(found)
	}
	return d, nil
}

// parse returns the document in text, or nil if the text is too malformed to build
// one. The document is valid only if no problem was added.
func parse(text []byte, problems *Problems) *Document {
	if !checkSizeLimits(text, problems) {
		return nil
	}
	root := parseYAML(text, problems)
	if root == nil {
		return nil
	}
	b := &builder{yamlReader: yamlReader{problems: problems}, sources: map[*Route]*routeSource{}}
	d := b.readDocument(root)
	if d == nil {
		return nil
	}
	d.BuildIndex()
	b.checkRoutes(d)
	b.checkCalls(d)
	return d
}

// checkSizeLimits returns false, after reporting a problem, if text would be too
// expensive to parse because of its size, the length of a line or the nesting of
// brackets.
func checkSizeLimits(text []byte, problems *Problems) bool {
	if len(text) > MaxBytes {
		problems.add(Problem{Reason: fmt.Sprintf("the document has %d bytes, more than %d", len(text), MaxBytes)})
		return false
	}
	openBrackets := 0
	line := 0
	for fullLine := range bytes.Lines(text) {
		line++
		if len(fullLine) > MaxLineBytes {
			problems.add(Problem{Line: line, Column: 1, Reason: fmt.Sprintf("the line has more than %d bytes", MaxLineBytes)})
			return false
		}
		// Everything after a # counts as a comment, also if the # is within quotes.
		content, _, _ := bytes.Cut(fullLine, []byte("#"))
		for column, c := range content {
			switch c {
			case '[', '{':
				openBrackets++
			case ']', '}':
				openBrackets = max(0, openBrackets-1)
			}
			if openBrackets > MaxNesting {
				problems.add(Problem{Line: line, Column: column + 1, Reason: fmt.Sprintf("more than %d brackets are open", MaxNesting)})
				return false
			}
		}
	}
	return true
}

// parseYAML returns the root of the single YAML document in text, or nil after
// reporting a problem.
func parseYAML(text []byte, problems *Problems) (root ast.Node) {
	// The YAML library panics on some malformed texts; such a text is reported like
	// any other that is not valid YAML.
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

// syntaxProblem turns an error of the YAML library into a Problem.
func syntaxProblem(err error) Problem {
	var located yaml.Error
	if !errors.As(err, &located) || located.GetToken() == nil {
		return Problem{Line: 1, Column: 1, Reason: "the text is not valid YAML"}
	}
	pos := located.GetToken().Position
	return Problem{Line: pos.Line, Column: pos.Column, Reason: "not valid YAML: " + located.GetMessage()}
}

func (p *Problems) add(problem Problem) { p.List = append(p.List, problem) }
