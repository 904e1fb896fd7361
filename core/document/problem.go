package document

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// MaxProblems is the number of problems that are reported of one document.
const MaxProblems = 100

// Problem is one thing that is wrong with a document.
type Problem struct {
	// Line and Column count from 1; both are 0 when the whole text is meant.
	Line   int
	Column int
	// Path names the field, as "services.stock.routes.list.wait".
	Path   string
	Reason string
	// Suggestion says what to write instead; it may be empty.
	Suggestion string
}

// String is the problem on one line, without the file's name.
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

// Problems is the error of Parse: everything that is wrong with a document,
// sorted by line.
type Problems struct {
	// File is the name given to ParseFile, empty after Parse.
	File string
	List []Problem
	// More is the number of further problems, beyond MaxProblems.
	More int
}

// Error returns one line for each problem.
func (p *Problems) Error() string {
	lines := make([]string, 0, len(p.List)+1)
	for _, one := range p.List {
		line := one.String()
		if p.File != "" {
			line = p.File + ":" + line
		}
		lines = append(lines, line)
	}
	if p.More > 0 {
		lines = append(lines, fmt.Sprintf("and %d more problems", p.More))
	}
	return strings.Join(lines, "\n")
}

// First returns the first problem on one line: what fits into a status.
func (p *Problems) First() string {
	if len(p.List) == 0 {
		return ""
	}
	return p.List[0].String()
}

// sorted returns p in its final order, cut to MaxProblems, or nil when it is
// empty.
func (p *Problems) sorted() *Problems {
	if len(p.List) == 0 {
		return nil
	}
	slices.SortStableFunc(p.List, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column),
			cmp.Compare(a.Path, b.Path), cmp.Compare(a.Reason, b.Reason))
	})
	if len(p.List) > MaxProblems {
		p.More = len(p.List) - MaxProblems
		p.List = p.List[:MaxProblems]
	}
	return p
}
