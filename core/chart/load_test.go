package chart_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/shallotspool/shallotspool/core/chart"
)

var names = chart.Names{Events: []string{"start", "end"}, Actions: []string{"greet"}}

func read(t *testing.T, file string) []byte {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// TestMalformed keeps the error of each malformed chart.
func TestMalformed(t *testing.T) {
	files, _ := filepath.Glob("testdata/malformed/*.yaml")
	if len(files) < 10 {
		t.Fatalf("%d malformed charts", len(files))
	}
	var out strings.Builder
	for _, file := range files {
		_, err := chart.Load(read(t, file), names)
		if !errors.Is(err, chart.ErrChart) {
			t.Errorf("%s: %v", file, err)
			continue
		}
		out.WriteString(filepath.Base(file) + ": " + err.Error() + "\n")
	}
	goldie.New(t).Assert(t, "malformed", []byte(out.String()))
}

func TestMachine(t *testing.T) {
	c, err := chart.Load(read(t, "testdata/valid.yaml"), names)
	if err != nil {
		t.Fatal(err)
	}
	m := c.Start()
	if actions := m.Fire(1); len(actions) != 0 || m.StateName() != "idle" {
		t.Fatalf("an ignored event led to %s, %v", m.StateName(), actions)
	}
	if actions := m.Fire(0); len(actions) != 1 || m.State() != c.State("busy") || m.Final() {
		t.Fatalf("start led to %s, %v", m.StateName(), actions)
	}
	if m.Fire(1); !m.Final() {
		t.Fatalf("end led to %s", m.StateName())
	}
}
