package core_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// The packages that the core may not import, and the names it may not use from
// those it may: clocks, timers and random sources that nobody passed in.
var (
	forbiddenImports = []string{"net", "net/http", "os", "os/exec", "os/signal", "sync", "syscall", "math/rand", "crypto/rand"}
	forbiddenNames   = map[string][]string{
		"time": {"Now", "Since", "Until", "After", "AfterFunc", "Sleep", "Tick", "NewTimer", "NewTicker"},
		"rand": {
			"Int", "IntN", "Int32", "Int32N", "Int64", "Int64N", "Uint32", "Uint64", "Uint64N", "N",
			"Float64", "ExpFloat64", "NormFloat64", "Perm", "Shuffle",
		},
	}
)

// TestCoreIsPure reads every file of the module that is not a test.
func TestCoreIsPure(t *testing.T) {
	files := 0
	err := filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		files++
		set := token.NewFileSet()
		file, err := parser.ParseFile(set, path, nil, 0)
		if err != nil {
			return err
		}
		check(t, set, file)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if files < 50 {
		t.Fatalf("only %d files were read", files)
	}
}

func check(t *testing.T, set *token.FileSet, file *ast.File) {
	for _, imported := range file.Imports {
		if slices.Contains(forbiddenImports, strings.Trim(imported.Path.Value, `"`)) {
			t.Errorf("%s: imports %s", set.Position(imported.Pos()), imported.Path.Value)
		}
	}
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.GoStmt:
			t.Errorf("%s: starts a goroutine", set.Position(n.Pos()))
		case *ast.SelectorExpr:
			// A package's name has no object in the file; a variable's has.
			x, ok := n.X.(*ast.Ident)
			if ok && x.Obj == nil && slices.Contains(forbiddenNames[x.Name], n.Sel.Name) {
				t.Errorf("%s: uses %s.%s", set.Position(n.Pos()), x.Name, n.Sel.Name)
			}
		}
		return true
	})
}
