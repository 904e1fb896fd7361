package settings

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/sebdah/goldie/v2"
)

// TestLoadRejectsMalformedFiles loads every file in testdata/malformed and
// compares the errors with the golden file.
func TestLoadRejectsMalformedFiles(t *testing.T) {
	paths, err := filepath.Glob("testdata/malformed/*.yaml")
	if err != nil || len(paths) < 10 {
		t.Fatalf("found %d malformed files, error %v; want at least 10 files", len(paths), err)
	}
	var got bytes.Buffer
	for _, path := range paths {
		_, err := Load([]string{"-config", path}, &got)
		if !errors.Is(err, ErrUsage) {
			t.Errorf("%s: want an error marked ErrUsage, got %v", path, err)
			continue
		}
		fmt.Fprintf(&got, "%v\n\n", err)
	}
	goldie.New(t).Assert(t, "malformed", got.Bytes())
}

func TestFlagOverridesFile(t *testing.T) {
	s, err := Load([]string{"-config", "testdata/good.yaml", "-limits-calls", "77"}, os.Stderr)
	if err != nil {
		t.Fatal(err)
	}
	if s.Target != "pullreg-1" || s.MaxCalls != 77 || s.MaxPeerConnections != 300 || s.ListenAdmin.String() != "127.0.0.1:9090" {
		t.Fatalf("got %+v; want target pullreg-1 and 300 peer connections of the file, 77 calls of the flag, the default admin listener", s)
	}
}

func TestEnvironmentOverridesFile(t *testing.T) {
	t.Setenv("SHALLOTD_LIMITS_PEER_CONNECTIONS", "400")
	s, err := Load([]string{"-config", "testdata/good.yaml"}, os.Stderr)
	if err != nil || s.MaxPeerConnections != 400 {
		t.Fatalf("got %+v, error %v; want 400 peer connections", s, err)
	}
	t.Setenv("SHALLOTD_LIMITS_PEER_CONNECTIONS", "4") // below the minimum
	if _, err := Load([]string{"-config", "testdata/good.yaml"}, os.Stderr); !errors.Is(err, ErrUsage) {
		t.Fatalf("want an error marked ErrUsage, got %v", err)
	}
}

// TestHelpListsAllSettings checks the help text, and that docs/CONFIGURATION.md
// mentions every setting.
func TestHelpListsAllSettings(t *testing.T) {
	var help bytes.Buffer
	if _, err := Load([]string{"-help"}, &help); !errors.Is(err, flag.ErrHelp) {
		t.Fatalf("want flag.ErrHelp, got %v", err)
	}
	goldie.New(t).Assert(t, "help", help.Bytes())
	page, err := os.ReadFile("../../../docs/CONFIGURATION.md")
	if err != nil {
		t.Fatal(err)
	}
	missing := slices.DeleteFunc(options(Default()), func(o option) bool {
		return strings.Contains(string(page), "`"+o.path+"`")
	})
	for _, o := range missing {
		t.Errorf("docs/CONFIGURATION.md does not mention %s", o.path)
	}
}
