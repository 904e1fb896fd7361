package settings

import (
	"fmt"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// maxFileBytes is the maximum size of a settings file.
const maxFileBytes = 64 << 10

// formatPosition returns the position of a token as "line L column C".
func formatPosition(t *token.Token) string {
	if t == nil || t.Position == nil {
		return "unknown position"
	}
	return "line " + itoa(t.Position.Line) + " column " + itoa(t.Position.Column)
}

// fileReader reads one settings file. A path names a setting or a section by the
// keys that lead to it, joined with dots.
type fileReader struct {
	knownPaths map[string]bool
	seenPaths  map[string]bool
	set        func(name, value string) error
}

// readFile parses the YAML in r and calls set with the flag name and the value of
// each setting. An error about the content contains the line and column.
func readFile(r io.Reader, opts []option, set func(name, value string) error) error {
	text, err := io.ReadAll(io.LimitReader(r, maxFileBytes+1))
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	if len(text) > maxFileBytes {
		return errors.Newf("settings file has more than %d bytes", maxFileBytes)
	}
	file, err := parser.ParseBytes(text, 0)
	if err != nil {
		return syntaxError(err)
	}
	if len(file.Docs) > 1 {
		return errors.Newf("%s: more than one YAML document", formatPosition(file.Docs[1].Start))
	}
	fr := &fileReader{knownPaths: map[string]bool{}, seenPaths: map[string]bool{}, set: set}
	for _, o := range opts {
		fr.knownPaths[o.path] = true
	}
	for _, doc := range file.Docs {
		if doc.Body == nil {
			continue
		}
		if err := fr.readMapping("", doc.Body); err != nil {
			return err
		}
	}
	return nil
}

// syntaxError returns the first line of the YAML parser's error, with the
// position in the format of formatPosition.
func syntaxError(err error) error {
	first, _, _ := strings.Cut(err.Error(), "\n")
	var line, column int
	if _, scanErr := fmt.Sscanf(first, "[%d:%d]", &line, &column); scanErr != nil {
		return errors.Newf("invalid YAML: %s", first)
	}
	_, detail, _ := strings.Cut(first, "] ")
	return errors.Newf("line %d column %d: %s", line, column, detail)
}

// readMapping reads the settings of the section at path, or of the whole file if
// path is empty.
func (f *fileReader) readMapping(path string, node ast.Node) error {
	switch n := node.(type) {
	case *ast.MappingNode:
		for _, entry := range n.Values {
			if err := f.readEntry(path, entry); err != nil {
				return err
			}
		}
		return nil
	case *ast.MappingValueNode:
		return f.readEntry(path, n)
	case *ast.CommentGroupNode:
		return nil
	}
	if path == "" {
		path = "the file"
	}
	return errors.Newf("%s: %s must be a mapping", formatPosition(node.GetToken()), path)
}

// readEntry reads one key of the section at path: a setting or a subsection.
func (f *fileReader) readEntry(path string, entry *ast.MappingValueNode) error {
	key := entry.Key.GetToken()
	fullPath := key.Value
	if path != "" {
		fullPath = path + "." + fullPath
	}
	if f.seenPaths[fullPath] {
		return errors.Newf("%s: %s is set twice", formatPosition(key), fullPath)
	}
	f.seenPaths[fullPath] = true
	if f.knownPaths[fullPath] {
		return f.readScalar(fullPath, entry.Value)
	}
	if f.isSection(fullPath) {
		return f.readMapping(fullPath, entry.Value)
	}
	return errors.Newf("%s: unknown setting %s%s", formatPosition(key), fullPath, f.suggest(fullPath))
}

// isSection reports whether path is a section that contains settings.
func (f *fileReader) isSection(path string) bool {
	for knownPath := range f.knownPaths {
		if strings.HasPrefix(knownPath, path+".") {
			return true
		}
	}
	return false
}

// readScalar passes the value of one setting to set.
func (f *fileReader) readScalar(path string, node ast.Node) error {
	_, isScalar := node.(ast.ScalarNode)
	if _, isNull := node.(*ast.NullNode); !isScalar || isNull {
		return errors.Newf("%s: %s must be a single value", formatPosition(node.GetToken()), path)
	}
	if err := f.set(flagName(path), node.GetToken().Value); err != nil {
		return errors.Newf("%s: %s: %s", formatPosition(node.GetToken()), path, valueError(err))
	}
	return nil
}
