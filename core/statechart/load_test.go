package statechart_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/shallotspool/shallotspool/core/statechart"
)

var testNames = statechart.Names{Events: []string{"start", "end"}, Actions: []string{"greet"}}

func readFile(t *testing.T, file string) []byte {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// TestLoadReportsProblems checks the error for each malformed chart against the
// golden file.
func TestLoadReportsProblems(t *testing.T) {
	files, _ := filepath.Glob("testdata/malformed/*.yaml")
	if len(files) < 10 {
		t.Fatalf("found %d malformed charts, want at least 10", len(files))
	}
	var out strings.Builder
	for _, file := range files {
		_, err := statechart.Load(readFile(t, file), testNames)
		if !errors.Is(err, statechart.ErrInvalid) {
			t.Errorf("%s: want ErrInvalid, got %v", file, err)
			continue
		}
		out.WriteString(filepath.Base(file) + ": " + err.Error() + "\n")
	}
	goldie.New(t).Assert(t, "malformed", []byte(out.String()))
}

// TestMachineTransitions checks that a machine ignores an event, takes a transition
// with an action, and ends in a final state.
func TestMachineTransitions(t *testing.T) {
	c, err := statechart.Load(readFile(t, "testdata/valid.yaml"), testNames)
	if err != nil {
		t.Fatal(err)
	}
	m := c.NewMachine()
	// Event 0 is start, event 1 is end.
	if actions := m.Fire(1); len(actions) != 0 || m.StateName() != "idle" {
		t.Fatalf("the ignored event end led to %s, actions %v, want idle and none", m.StateName(), actions)
	}
	if actions := m.Fire(0); len(actions) != 1 || m.State() != c.MustState("busy") || m.IsFinal() {
		t.Fatalf("start led to %s, actions %v, want busy and one", m.StateName(), actions)
	}
	if m.Fire(1); !m.IsFinal() {
		t.Fatalf("end led to %s, want a final state", m.StateName())
	}
}
