package document

import (
	"fmt"
	"regexp"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
)

// yamlReader extracts typed values from a YAML syntax tree and collects the
// problems it finds.
type yamlReader struct{ problems *Problems }

// position is a place in the text; line and column count from 1.
type position struct{ line, column int }

// positionOf returns the position of a token, or the start of the text if it is
// unknown.
func positionOf(t *token.Token) position {
	if t == nil || t.Position == nil {
		return position{1, 1}
	}
	return position{t.Position.Line, t.Position.Column}
}

// report adds a problem; suggestion may be empty.
func (r *yamlReader) report(pos position, path, suggestion, format string, args ...any) {
	r.problems.add(Problem{
		Line: pos.line, Column: pos.column, Path: path,
		Reason: fmt.Sprintf(format, args...), Suggestion: suggestion,
	})
}

// mapping is one YAML mapping, with its accepted fields and their positions.
type mapping struct {
	reader *yamlReader
	// path is the path of the mapping in the document, as in Problem.Path.
	path     string
	position position
	// fieldNames lists the accepted keys in the order of the text.
	fieldNames   []string
	keyPositions map[string]position
	values       map[string]ast.Node
}

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9_-]*$`)

// readMapping reads node as a mapping; it reports a problem and returns nil if node is
// of another kind. known lists the accepted keys; if it is nil, any key that matches
// namePattern and is not too long is accepted.
func (r *yamlReader) readMapping(node ast.Node, path string, known []string) *mapping {
	m := &mapping{reader: r, path: path, position: positionOf(node.GetToken()), keyPositions: map[string]position{}, values: map[string]ast.Node{}}
	var entries []*ast.MappingValueNode
	switch n := node.(type) {
	case *ast.MappingNode:
		entries = n.Values
	case *ast.MappingValueNode:
		entries = []*ast.MappingValueNode{n}
	default:
		r.report(m.position, path, "", "must be a mapping, not %s", describeKind(node))
		return nil
	}
	if len(entries) > 0 {
		m.position = positionOf(entries[0].Key.GetToken())
	}
	for _, entry := range entries {
		m.addEntry(entry, known)
	}
	return m
}

// addEntry adds one entry to m. An invalid, unknown or duplicate key is reported
// and skipped.
func (m *mapping) addEntry(entry *ast.MappingValueNode, known []string) {
	pos := positionOf(entry.Key.GetToken())
	if _, isString := entry.Key.(*ast.StringNode); !isString {
		m.reader.report(pos, m.path, "", "a field's name must be plain text, not %s", describeKind(entry.Key))
		return
	}
	name := entry.Key.GetToken().Value
	path := joinPath(m.path, name)
	switch {
	case known != nil && !contains(known, name):
		m.reader.report(pos, path, didYouMean(name, known), "unknown field")
		return
	case known == nil && (len(name) > maxNameBytes || !namePattern.MatchString(name)):
		m.reader.report(pos, path, "", "a name must be a lower-case letter followed by up to %d lower-case letters, digits, - or _", maxNameBytes-1)
		return
	}
	if first, duplicate := m.keyPositions[name]; duplicate {
		m.reader.report(pos, path, "", "duplicate field, first defined on line %d", first.line)
		return
	}
	m.fieldNames = append(m.fieldNames, name)
	m.keyPositions[name] = pos
	m.values[name] = entry.Value
}

// field returns the value of the named field, or nil if m has none. A missing
// required field is reported.
func (m *mapping) field(name string, required bool) ast.Node {
	node := m.values[name]
	_, present := m.keyPositions[name]
	if required && !present {
		m.reader.report(m.position, joinPath(m.path, name), "", "the field is missing")
	}
	return node
}

// positionOf returns the position of the named value, or that of m if the field
// is missing.
func (m *mapping) positionOf(name string) position {
	if node := m.values[name]; node != nil {
		return positionOf(node.GetToken())
	}
	return m.position
}

// integer returns the value of the named field, which must be in [low, high]; it
// returns 0 after reporting a problem.
func (m *mapping) integer(name string, low, high int64, required bool) int64 {
	node := m.field(name, required)
	if node == nil {
		return 0
	}
	path, pos := joinPath(m.path, name), positionOf(node.GetToken())
	n, ok := node.(*ast.IntegerNode)
	if !ok {
		m.reader.report(pos, path, "", "must be an integer, not %s", describeKind(node))
		return 0
	}
	value, inRange := toInt64(n.Value)
	if !inRange || value < low || value > high {
		m.reader.report(pos, path, "", "%s is outside %d to %d", n.GetToken().Value, low, high)
		return 0
	}
	return value
}

// toInt64 converts the value of an ast.IntegerNode. The second result is false for
// other types and for unsigned values above MaxVersion.
func toInt64(value any) (int64, bool) {
	switch v := value.(type) {
	case int64:
		return v, true
	case uint64:
		return int64(v), v <= MaxVersion
	}
	return 0, false
}

// boolean returns the value of the named field, which is required.
func (m *mapping) boolean(name string) bool {
	node := m.field(name, true)
	if node == nil {
		return false
	}
	n, ok := node.(*ast.BoolNode)
	if !ok {
		m.reader.report(positionOf(node.GetToken()), joinPath(m.path, name), "write true or false", "must be a boolean, not %s", describeKind(node))
		return false
	}
	return n.Value
}

// duration returns the value of the named field, which is required and must be in
// [low, high]; it returns 0 after reporting a problem.
func (m *mapping) duration(name string, low, high time.Duration) time.Duration {
	node := m.field(name, true)
	if node == nil {
		return 0
	}
	path, pos := joinPath(m.path, name), positionOf(node.GetToken())
	n, ok := node.(*ast.StringNode)
	if !ok {
		m.reader.report(pos, path, "write a number with its unit, as 800ms or 2s", "must be a duration, not %s", describeKind(node))
		return 0
	}
	value, err := time.ParseDuration(n.Value)
	if err != nil {
		m.reader.report(pos, path, "write a number with its unit, as 800ms or 2s", "%q is not a duration", truncate(n.Value))
		return 0
	}
	if value < low || value > high {
		m.reader.report(pos, path, "", "%s is outside %s to %s", value, low, high)
		return 0
	}
	return value
}

// text returns the value of the named field, which must be a non-empty string; it
// returns "" after reporting a problem.
func (m *mapping) text(name string, required bool) string {
	node := m.field(name, required)
	if node == nil {
		return ""
	}
	return m.reader.readText(node, joinPath(m.path, name))
}

func (r *yamlReader) readText(node ast.Node, path string) string {
	n, ok := node.(*ast.StringNode)
	if !ok || n.Value == "" {
		r.report(positionOf(node.GetToken()), path, "", "must be plain text, not %s", describeKind(node))
		return ""
	}
	return n.Value
}

// listItem is one string in a list.
type listItem struct {
	value    string
	position position
}

// list returns the strings of the named list, which must have low to high
// entries. Entries other than non-empty strings are reported and skipped.
func (m *mapping) list(name string, low, high int, required bool) []listItem {
	node := m.field(name, required)
	if node == nil {
		return nil
	}
	path, pos := joinPath(m.path, name), positionOf(node.GetToken())
	n, ok := node.(*ast.SequenceNode)
	if !ok {
		m.reader.report(pos, path, "", "must be a list, not %s", describeKind(node))
		return nil
	}
	if len(n.Values) < low || len(n.Values) > high {
		m.reader.report(pos, path, "", "has %d entries, outside %d to %d", len(n.Values), low, high)
		return nil
	}
	var items []listItem
	for i, entry := range n.Values {
		value := m.reader.readText(entry, fmt.Sprintf("%s[%d]", path, i))
		if value == "" {
			continue
		}
		items = append(items, listItem{value: value, position: positionOf(entry.GetToken())})
	}
	return items
}

// nameList reads a list of distinct names; invalid and duplicate entries are
// reported and skipped.
func (m *mapping) nameList(name string, low, high int, required bool) []string {
	var names []string
	seen := map[string]bool{}
	for _, entry := range m.list(name, low, high, required) {
		if len(entry.value) > maxNameBytes || !namePattern.MatchString(entry.value) {
			m.reader.report(entry.position, joinPath(m.path, name), "", "%q is not a valid name: use a lower-case letter followed by lower-case letters, digits, - or _", truncate(entry.value))
			continue
		}
		if seen[entry.value] {
			m.reader.report(entry.position, joinPath(m.path, name), "", "duplicate entry %q", entry.value)
			continue
		}
		seen[entry.value] = true
		names = append(names, entry.value)
	}
	return names
}

// joinPath appends a field name to the path of its parent.
func joinPath(path, name string) string {
	if path == "" {
		return truncate(name)
	}
	return path + "." + truncate(name)
}

// truncate shortens s to maxNameBytes bytes before it is quoted in a message.
func truncate(s string) string {
	if len(s) <= maxNameBytes {
		return s
	}
	return strings.ToValidUTF8(s[:maxNameBytes], "") + "..."
}

// describeKind returns the kind of a YAML value, for use in a message.
func describeKind(node ast.Node) string {
	switch n := node.(type) {
	case *ast.NullNode:
		return "empty"
	case *ast.BoolNode:
		return "a boolean"
	case *ast.IntegerNode:
		return "an integer"
	case *ast.FloatNode, *ast.InfinityNode, *ast.NanNode:
		return "a number"
	case *ast.StringNode:
		if n.Value == "" {
			return "empty text"
		}
		return "text"
	case *ast.SequenceNode:
		return "a list"
	case *ast.MappingNode, *ast.MappingValueNode:
		return "a mapping"
	case *ast.AnchorNode, *ast.AliasNode, *ast.MergeKeyNode:
		return "an anchor or alias"
	case *ast.LiteralNode:
		return "a block of text"
	case *ast.TagNode:
		return "a tagged value"
	}
	return "this kind of value"
}
