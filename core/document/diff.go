package document

import (
	"fmt"
	"slices"
	"strings"
)

// Change is one difference between two documents.
type Change struct {
	// Path names the field, as in Problem.
	Path string
	// Old and New are its values, empty where it does not exist.
	Old string
	New string
}

// String is the change on one line.
func (c Change) String() string {
	switch {
	case c.Old == "":
		return fmt.Sprintf("+ %s: %s", c.Path, c.New)
	case c.New == "":
		return fmt.Sprintf("- %s: %s", c.Path, c.Old)
	}
	return fmt.Sprintf("~ %s: %s -> %s", c.Path, c.Old, c.New)
}

// Diff returns what differs between two checked documents, sorted by path.
func Diff(older, newer *Document) []Change {
	before, after := older.fields(), newer.fields()
	byPath := map[string]Change{}
	for _, f := range before {
		byPath[f.path] = Change{Path: f.path, Old: f.value}
	}
	for _, f := range after {
		c := byPath[f.path]
		c.Path, c.New = f.path, f.value
		byPath[f.path] = c
	}
	var changes []Change
	for _, c := range byPath {
		if c.Old != c.New {
			changes = append(changes, c)
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return strings.Compare(a.Path, b.Path) })
	return changes
}

type field struct{ path, value string }

// fields lists the values of d that can differ; none of them is empty.
func (d *Document) fields() []field {
	list := []field{
		{"version", fmt.Sprint(d.Version)},
		{"name", d.Name},
		{"classes", fmt.Sprint(d.Classes)},
		{"resend_window", d.ResendWindow.String()},
		{"answers.bytes", fmt.Sprint(d.Answers.Bytes)},
		{"answers.keys", fmt.Sprint(d.Answers.Keys)},
		{"groups", fmt.Sprint(d.Groups)},
	}
	for _, s := range d.Services {
		path := "services." + s.Name
		list = append(list, field{path + ".targets", fmt.Sprint(s.Targets)})
		for _, r := range s.Routes {
			list = append(list, r.fields(d, path+".routes."+r.Name)...)
		}
	}
	return list
}

func (r *Route) fields(d *Document, path string) []field {
	return []field{
		{path + ".method", r.Method},
		{path + ".path", r.Path},
		{path + ".class", d.ClassName(r.Class)},
		{path + ".idempotent", fmt.Sprint(r.Idempotent)},
		{path + ".wait", r.Wait.String()},
		{path + ".retries", fmt.Sprint(r.Retries)},
		{path + ".retry_on", r.retryOn()},
		{path + ".calls", fmt.Sprint(r.Calls)},
	}
}

// retryOn is the value of the field retry_on that gives r.RetryLost.
func (r *Route) retryOn() string {
	if r.RetryLost {
		return retryOnLost
	}
	return retryOnNotRun
}
