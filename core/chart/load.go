package chart

import (
	"embed"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
)

// ErrChart is what every error of Load is; test for it with errors.Is.
var ErrChart = errors.New("invalid chart")

//go:embed *.yaml
var files embed.FS

// file is a chart as its data file has it.
type file struct {
	Chart   string      `yaml:"chart"`
	Initial string      `yaml:"initial"`
	Final   []string    `yaml:"final"`
	States  []fileState `yaml:"states"`
}

type fileState struct {
	Name string `yaml:"name"`
	// On holds the transitions, Ignore the events that change nothing here.
	On     []fileTransition `yaml:"on"`
	Ignore []string         `yaml:"ignore"`
}

type fileTransition struct {
	Event string   `yaml:"event"`
	To    string   `yaml:"to"`
	Do    []string `yaml:"do"`
}

// MustBuiltIn returns the chart of the named file of this package. It panics
// when the chart does not fit the names: the program must not start then.
func MustBuiltIn(name string, names Names) *Chart {
	text, err := files.ReadFile(name + ".yaml")
	if err != nil {
		panic(err)
	}
	c, err := Load(text, names)
	if err != nil {
		panic(err)
	}
	return c
}

// Load reads, checks and compiles a chart. It reports all problems at once.
func Load(text []byte, names Names) (*Chart, error) {
	var f file
	if err := yaml.UnmarshalWithOptions(text, &f, yaml.Strict()); err != nil {
		return nil, errors.Wrapf(ErrChart, "%s", yaml.FormatError(err, false, false))
	}
	l := &loader{file: &f, names: names}
	c := l.compile()
	if len(l.problems) > 0 {
		return nil, errors.Wrapf(ErrChart, "chart %s: %s", f.Chart, strings.Join(l.problems, "; "))
	}
	return c, nil
}

// stateNames returns the states in the order of the file.
func (f *file) stateNames() []string {
	names := make([]string, len(f.States))
	for i, s := range f.States {
		names[i] = s.Name
	}
	return names
}

// indexOf returns where name stands in list, and whether it does.
func indexOf(list []string, name string) (int, bool) {
	i := slices.Index(list, name)
	return max(i, 0), i >= 0
}
