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

var (
	// forbiddenImports are the packages that the core must not import.
	forbiddenImports = []string{"net", "net/http", "os", "os/exec", "os/signal", "sync", "syscall", "math/rand", "crypto/rand"}
	// forbiddenNames are the functions that the core must not use of packages that it
	// may import: clocks, timers and global random sources.
	forbiddenNames = map[string][]string{
		"time": {"Now", "Since", "Until", "After", "AfterFunc", "Sleep", "Tick", "NewTimer", "NewTicker"},
		"rand": {
			"Int", "IntN", "Int32", "Int32N", "Int64", "Int64N", "Uint32", "Uint64", "Uint64N", "N",
			"Float64", "ExpFloat64", "NormFloat64", "Perm", "Shuffle",
		},
	}
)

// TestCoreIsDeterministic checks that no file of the module, tests excepted, does
// I/O, starts a goroutine, or uses a clock or a global random source.
func TestCoreIsDeterministic(t *testing.T) {
	files := 0
	err := filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		files++
		fileSet := token.NewFileSet()
		file, err := parser.ParseFile(fileSet, path, nil, 0)
		if err != nil {
			return err
		}
		checkFile(t, fileSet, file)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	// Fewer files mean that the walk missed a part of the module.
	if files < 50 {
		t.Fatalf("only %d files were read, want 50 or more", files)
	}
}

// checkFile reports the forbidden imports, functions and statements in a file.
func checkFile(t *testing.T, fileSet *token.FileSet, file *ast.File) {
	for _, imported := range file.Imports {
		if slices.Contains(forbiddenImports, strings.Trim(imported.Path.Value, `"`)) {
			t.Errorf("%s: imports %s", fileSet.Position(imported.Pos()), imported.Path.Value)
		}
	}
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.GoStmt:
			t.Errorf("%s: starts a goroutine", fileSet.Position(n.Pos()))
		case *ast.SelectorExpr:
			// The parser resolves a variable of the file to an object, but not the name
			// of a package.
			x, ok := n.X.(*ast.Ident)
			if ok && x.Obj == nil && slices.Contains(forbiddenNames[x.Name], n.Sel.Name) {
				t.Errorf("%s: uses %s.%s", fileSet.Position(n.Pos()), x.Name, n.Sel.Name)
			}
		}
		return true
	})
}
