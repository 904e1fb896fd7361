package document

import (
	"fmt"
	"slices"
	"strings"
)

// Change is one difference between two documents.
type Change struct {
	// Path is the path of the field, such as "services.stock.routes.list.wait".
	Path string
	// Old and New are the values of the field, empty in the document that does not
	// have it.
	Old string
	New string
}

// String returns the change as one line: "+" for an added field, "-" for a removed
// one and "~" for a changed one.
func (c Change) String() string {
	switch {
	case c.Old == "":
		return fmt.Sprintf("+ %s: %s", c.Path, c.New)
	case c.New == "":
		return fmt.Sprintf("- %s: %s", c.Path, c.Old)
	}
	return fmt.Sprintf("~ %s: %s -> %s", c.Path, c.Old, c.New)
}

// Diff returns the differences between two valid documents, sorted by path.
func Diff(older, newer *Document) []Change {
	before, after := older.diffFields(), newer.diffFields()
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

// field is one field of a document with its printed value.
type field struct{ path, value string }

// diffFields lists the fields of d that Diff compares, under their names in the
// document's text. No value may be empty, because Diff takes an empty value for a
// missing field.
func (d *Document) diffFields() []field {
	list := []field{
		{"version", fmt.Sprint(d.Version)},
		{"name", d.Name},
		{"classes", fmt.Sprint(d.Classes)},
		{"resend_window", d.ResendWindow.String()},
		{"answers.bytes", fmt.Sprint(d.ResponseCache.Bytes)},
		{"answers.keys", fmt.Sprint(d.ResponseCache.Keys)},
		{"groups", fmt.Sprint(d.Groups)},
	}
	for _, s := range d.Services {
		path := "services." + s.Name
		list = append(list, field{path + ".targets", fmt.Sprint(s.TargetCount)})
		for _, r := range s.Routes {
			list = append(list, r.diffFields(d, path+".routes."+r.Name)...)
		}
	}
	return list
}

// diffFields lists the fields of r likewise; path is the path of r.
func (r *Route) diffFields(d *Document, path string) []field {
	return []field{
		{path + ".method", r.Method},
		{path + ".path", r.Path},
		{path + ".class", d.ClassName(r.Class)},
		{path + ".idempotent", fmt.Sprint(r.Idempotent)},
		{path + ".wait", r.Timeout.String()},
		{path + ".retries", fmt.Sprint(r.RetryBudget)},
		{path + ".retry_on", r.retryOnValue()},
		{path + ".calls", fmt.Sprint(r.Callees)},
	}
}

// retryOnValue returns the value of the field retry_on that corresponds to
// r.RetryOnLost.
func (r *Route) retryOnValue() string {
	if r.RetryOnLost {
		return retryOnLost
	}
	return retryOnNotRun
}
