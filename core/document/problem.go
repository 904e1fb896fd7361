package document

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// MaxProblems is the maximum number of problems listed for one document.
const MaxProblems = 100

// Problem is one error in a document.
type Problem struct {
	// Line and Column count from 1; both are 0 if the problem concerns the whole
	// text.
	Line   int
	Column int
	// Path is the path of the field, such as "services.stock.routes.list.wait".
	Path   string
	Reason string
	// Suggestion says how to correct the problem; it may be empty.
	Suggestion string
}

// String returns the problem as one line, without the name of the file.
func (p Problem) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d:%d: ", p.Line, p.Column)
	if p.Path != "" {
		b.WriteString(p.Path + ": ")
	}
	b.WriteString(p.Reason)
	if p.Suggestion != "" {
		b.WriteString(" (" + p.Suggestion + ")")
	}
	return b.String()
}

// Problems is the error of Parse and ParseFile. It lists the problems of a document
// in the order of the text.
type Problems struct {
	// File is the name given to ParseFile; Parse leaves it empty.
	File string
	List []Problem
	// Omitted is the number of problems omitted from List because there were more
	// than MaxProblems.
	Omitted int
}

// Error returns one line for each problem.
func (p *Problems) Error() string {
	lines := make([]string, 0, len(p.List)+1)
	for _, problem := range p.List {
		line := problem.String()
		if p.File != "" {
			line = p.File + ":" + line
		}
		lines = append(lines, line)
	}
	if p.Omitted > 0 {
		lines = append(lines, fmt.Sprintf("and %d more problems", p.Omitted))
	}
	return strings.Join(lines, "\n")
}

// First returns the first problem as one line, for a status or a log; it returns ""
// if there is none.
func (p *Problems) First() string {
	if len(p.List) == 0 {
		return ""
	}
	return p.List[0].String()
}

// sortAndTruncate sorts the problems and keeps the first MaxProblems of them. It
// returns nil if there are none.
func (p *Problems) sortAndTruncate() *Problems {
	if len(p.List) == 0 {
		return nil
	}
	slices.SortStableFunc(p.List, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column),
			cmp.Compare(a.Path, b.Path), cmp.Compare(a.Reason, b.Reason))
	})
	if len(p.List) > MaxProblems {
		p.Omitted = len(p.List) - MaxProblems
		p.List = p.List[:MaxProblems]
	}
	return p
}
