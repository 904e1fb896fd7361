package document_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/shallotspool/shallotspool/core/document"
)

// TestParseReportsProblems checks the line, column, path, reason and suggestion of
// every problem in each malformed document.
func TestParseReportsProblems(t *testing.T) {
	files, err := filepath.Glob("testdata/malformed/*.yaml")
	if err != nil || len(files) < 25 {
		t.Fatalf("found %d malformed documents, want at least 25; error %v", len(files), err)
	}
	g := goldie.New(t, goldie.WithFixtureDir("testdata/malformed"))
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".yaml")
		t.Run(name, func(t *testing.T) {
			text := readFile(t, file)
			_, err := document.ParseFile(name+".yaml", text)
			var problems *document.Problems
			if !errors.As(err, &problems) {
				t.Fatalf("want a *Problems, got %v", err)
			}
			g.Assert(t, name, []byte(problems.Error()+"\n"))
		})
	}
}

func TestParseRejectsOversizedDocument(t *testing.T) {
	if _, err := document.Parse(make([]byte, document.MaxBytes+1)); err == nil {
		t.Fatal("a document larger than MaxBytes was accepted")
	}
}

func TestExamplesAreValid(t *testing.T) {
	files, _ := filepath.Glob("../../examples/*.yaml")
	if len(files) < 2 {
		t.Fatal("found fewer than 2 examples")
	}
	for _, file := range files {
		if _, err := document.ParseFile(file, readFile(t, file)); err != nil {
			t.Error(err)
		}
	}
}

func readFile(t testing.TB, file string) []byte {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	return text
}
