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

// maxFile is the size of the largest settings file, in bytes.
const maxFile = 64 << 10

// place returns "line L column C" of a token.
func place(t *token.Token) string {
	if t == nil || t.Position == nil {
		return "unknown place"
	}
	return "line " + itoa(t.Position.Line) + " column " + itoa(t.Position.Column)
}

// fileReader reads one settings file.
type fileReader struct {
	known map[string]bool
	seen  map[string]bool
	set   func(name, value string) error
}

// readFile reads r and gives each value to set under its flag's name. An error
// tells line and column.
func readFile(r io.Reader, known []option, set func(name, value string) error) error {
	text, err := io.ReadAll(io.LimitReader(r, maxFile+1))
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	if len(text) > maxFile {
		return errors.Newf("settings file has more than %d bytes", maxFile)
	}
	file, err := parser.ParseBytes(text, 0)
	if err != nil {
		return syntaxError(err)
	}
	if len(file.Docs) > 1 {
		return errors.Newf("%s: a second YAML document begins", place(file.Docs[1].Start))
	}
	reader := &fileReader{known: map[string]bool{}, seen: map[string]bool{}, set: set}
	for _, o := range known {
		reader.known[o.path] = true
	}
	for _, doc := range file.Docs {
		if doc.Body == nil {
			continue
		}
		if err := reader.mapping("", doc.Body); err != nil {
			return err
		}
	}
	return nil
}

// syntaxError gives the first line of the parser's error, with its place in the
// form of all others.
func syntaxError(err error) error {
	first, _, _ := strings.Cut(err.Error(), "\n")
	var line, column int
	if _, scanErr := fmt.Sscanf(first, "[%d:%d]", &line, &column); scanErr != nil {
		return errors.Newf("not YAML: %s", first)
	}
	_, detail, _ := strings.Cut(first, "] ")
	return errors.Newf("line %d column %d: %s", line, column, detail)
}

// mapping reads the keys below path.
func (f *fileReader) mapping(path string, node ast.Node) error {
	switch n := node.(type) {
	case *ast.MappingNode:
		for _, pair := range n.Values {
			if err := f.pair(path, pair); err != nil {
				return err
			}
		}
		return nil
	case *ast.MappingValueNode:
		return f.pair(path, n)
	case *ast.CommentGroupNode:
		return nil
	}
	if path == "" {
		path = "the file"
	}
	return errors.Newf("%s: %s must hold keys and values", place(node.GetToken()), path)
}

func (f *fileReader) pair(path string, pair *ast.MappingValueNode) error {
	key := pair.Key.GetToken()
	full := key.Value
	if path != "" {
		full = path + "." + full
	}
	if f.seen[full] {
		return errors.Newf("%s: %s is set twice", place(key), full)
	}
	f.seen[full] = true
	if f.known[full] {
		return f.scalar(full, pair.Value)
	}
	if f.section(full) {
		return f.mapping(full, pair.Value)
	}
	return errors.Newf("%s: unknown setting %s%s", place(key), full, f.suggestion(full))
}

// section tells whether some setting stands below path.
func (f *fileReader) section(path string) bool {
	for known := range f.known {
		if strings.HasPrefix(known, path+".") {
			return true
		}
	}
	return false
}

func (f *fileReader) scalar(path string, node ast.Node) error {
	_, ok := node.(ast.ScalarNode)
	if _, null := node.(*ast.NullNode); !ok || null {
		return errors.Newf("%s: %s must be one value", place(node.GetToken()), path)
	}
	if err := f.set(flagName(path), node.GetToken().Value); err != nil {
		return errors.Newf("%s: %s: %s", place(node.GetToken()), path, reasonOf(err))
	}
	return nil
}
