package document

import (
	"fmt"
	"regexp"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
)

// reader takes typed values out of a YAML tree and collects what is wrong.
type reader struct{ problems *Problems }

// position is where a value stands in the text.
type position struct{ line, column int }

func positionOf(t *token.Token) position {
	if t == nil || t.Position == nil {
		return position{1, 1}
	}
	return position{t.Position.Line, t.Position.Column}
}

func (r *reader) report(at position, path, suggestion, format string, args ...any) {
	r.problems.add(Problem{
		Line: at.line, Column: at.column, Path: path,
		Reason: fmt.Sprintf(format, args...), Suggestion: suggestion,
	})
}

// object is one mapping with its fields in the order of the text.
type object struct {
	r      *reader
	path   string
	at     position
	names  []string
	keys   map[string]position
	fields map[string]ast.Node
}

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9_-]*$`)

// object reads a mapping; known lists its field names, nil allows any name.
func (r *reader) object(node ast.Node, path string, known []string) *object {
	o := &object{r: r, path: path, at: positionOf(node.GetToken()), keys: map[string]position{}, fields: map[string]ast.Node{}}
	var entries []*ast.MappingValueNode
	switch n := node.(type) {
	case *ast.MappingNode:
		entries = n.Values
	case *ast.MappingValueNode:
		entries = []*ast.MappingValueNode{n}
	default:
		r.report(o.at, path, "", "must be a mapping, not %s", kindOf(node))
		return nil
	}
	if len(entries) > 0 {
		o.at = positionOf(entries[0].Key.GetToken())
	}
	for _, e := range entries {
		o.take(e, known)
	}
	return o
}

// take adds one entry to o unless its key is unknown or stands twice.
func (o *object) take(e *ast.MappingValueNode, known []string) {
	at := positionOf(e.Key.GetToken())
	if _, isString := e.Key.(*ast.StringNode); !isString {
		o.r.report(at, o.path, "", "a field's name must be plain text, not %s", kindOf(e.Key))
		return
	}
	name := e.Key.GetToken().Value
	path := join(o.path, name)
	switch {
	case known != nil && !contains(known, name):
		o.r.report(at, path, didYouMean(name, known), "unknown field")
		return
	case known == nil && (len(name) > maxNameBytes || !namePattern.MatchString(name)):
		o.r.report(at, path, "", "a name is a lower-case letter, then up to %d letters, digits, - or _", maxNameBytes-1)
		return
	}
	if first, twice := o.keys[name]; twice {
		o.r.report(at, path, "", "the field stands twice, first on line %d", first.line)
		return
	}
	o.names = append(o.names, name)
	o.keys[name] = at
	o.fields[name] = e.Value
}

// field returns the named value, or nil; it reports a missing one.
func (o *object) field(name string, required bool) ast.Node {
	node := o.fields[name]
	_, present := o.keys[name]
	if required && !present {
		o.r.report(o.at, join(o.path, name), "", "the field is missing")
	}
	return node
}

// positionOf returns where the named value stands, or the object itself.
func (o *object) positionOf(name string) position {
	if node := o.fields[name]; node != nil {
		return positionOf(node.GetToken())
	}
	return o.at
}

func (o *object) integer(name string, low, high int64, required bool) int64 {
	node := o.field(name, required)
	if node == nil {
		return 0
	}
	path, at := join(o.path, name), positionOf(node.GetToken())
	n, ok := node.(*ast.IntegerNode)
	if !ok {
		o.r.report(at, path, "", "must be a whole number, not %s", kindOf(node))
		return 0
	}
	value, inRange := toInt64(n.Value)
	if !inRange || value < low || value > high {
		o.r.report(at, path, "", "%s is outside %d to %d", n.GetToken().Value, low, high)
		return 0
	}
	return value
}

func toInt64(value any) (int64, bool) {
	switch v := value.(type) {
	case int64:
		return v, true
	case uint64:
		return int64(v), v <= MaxVersion
	}
	return 0, false
}

func (o *object) boolean(name string) bool {
	node := o.field(name, true)
	if node == nil {
		return false
	}
	n, ok := node.(*ast.BoolNode)
	if !ok {
		o.r.report(positionOf(node.GetToken()), join(o.path, name), "write true or false", "must be a truth value, not %s", kindOf(node))
		return false
	}
	return n.Value
}

func (o *object) duration(name string, low, high time.Duration) time.Duration {
	node := o.field(name, true)
	if node == nil {
		return 0
	}
	path, at := join(o.path, name), positionOf(node.GetToken())
	n, ok := node.(*ast.StringNode)
	if !ok {
		o.r.report(at, path, "write a number with its unit, as 800ms or 2s", "must be a duration, not %s", kindOf(node))
		return 0
	}
	value, err := time.ParseDuration(n.Value)
	if err != nil {
		o.r.report(at, path, "write a number with its unit, as 800ms or 2s", "%q is not a duration", clip(n.Value))
		return 0
	}
	if value < low || value > high {
		o.r.report(at, path, "", "%s is outside %s to %s", value, low, high)
		return 0
	}
	return value
}

func (o *object) text(name string, required bool) string {
	node := o.field(name, required)
	if node == nil {
		return ""
	}
	return o.r.text(node, join(o.path, name))
}

func (r *reader) text(node ast.Node, path string) string {
	n, ok := node.(*ast.StringNode)
	if !ok || n.Value == "" {
		r.report(positionOf(node.GetToken()), path, "", "must be plain text, not %s", kindOf(node))
		return ""
	}
	return n.Value
}

// item is one text of a list.
type item struct {
	value string
	at    position
}

func (o *object) list(name string, low, high int, required bool) []item {
	node := o.field(name, required)
	if node == nil {
		return nil
	}
	path, at := join(o.path, name), positionOf(node.GetToken())
	n, ok := node.(*ast.SequenceNode)
	if !ok {
		o.r.report(at, path, "", "must be a list, not %s", kindOf(node))
		return nil
	}
	if len(n.Values) < low || len(n.Values) > high {
		o.r.report(at, path, "", "has %d entries, outside %d to %d", len(n.Values), low, high)
		return nil
	}
	var items []item
	for i, one := range n.Values {
		value := o.r.text(one, fmt.Sprintf("%s[%d]", path, i))
		if value == "" {
			continue
		}
		items = append(items, item{value: value, at: positionOf(one.GetToken())})
	}
	return items
}

// nameList reads a list whose entries are names, each of them once.
func (o *object) nameList(name string, low, high int, required bool) []string {
	var names []string
	seen := map[string]bool{}
	for _, one := range o.list(name, low, high, required) {
		if len(one.value) > maxNameBytes || !namePattern.MatchString(one.value) {
			o.r.report(one.at, join(o.path, name), "", "%q is not a name: a lower-case letter, then letters, digits, - or _", clip(one.value))
			continue
		}
		if seen[one.value] {
			o.r.report(one.at, join(o.path, name), "", "%q stands twice", one.value)
			continue
		}
		seen[one.value] = true
		names = append(names, one.value)
	}
	return names
}

func join(path, name string) string {
	if path == "" {
		return clip(name)
	}
	return path + "." + clip(name)
}

// clip bounds what of the text is repeated in a message.
func clip(s string) string {
	if len(s) <= maxNameBytes {
		return s
	}
	return strings.ToValidUTF8(s[:maxNameBytes], "") + "..."
}

// kindOf names the kind of a value for a message.
func kindOf(node ast.Node) string {
	switch n := node.(type) {
	case *ast.NullNode:
		return "empty"
	case *ast.BoolNode:
		return "a truth value"
	case *ast.IntegerNode:
		return "a whole number"
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
