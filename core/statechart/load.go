package statechart

import (
	"embed"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
)

// ErrInvalid is wrapped by every error of Load; test for it with errors.Is.
var ErrInvalid = errors.New("invalid chart")

//go:embed *.yaml
var builtInFiles embed.FS

// chartFile is the YAML form of a chart.
type chartFile struct {
	Chart   string       `yaml:"chart"`
	Initial string       `yaml:"initial"`
	Final   []string     `yaml:"final"`
	States  []stateEntry `yaml:"states"`
}

// stateEntry is the YAML form of a state.
type stateEntry struct {
	Name string `yaml:"name"`
	// On lists the transitions out of this state, Ignore the events that leave the
	// machine unchanged in it.
	On     []transitionEntry `yaml:"on"`
	Ignore []string          `yaml:"ignore"`
}

// transitionEntry is the YAML form of a transition.
type transitionEntry struct {
	Event string   `yaml:"event"`
	To    string   `yaml:"to"`
	Do    []string `yaml:"do"`
}

// MustLoadBuiltIn loads the chart from the file name.yaml embedded in this package.
// It panics if the chart is invalid or does not match names, so that such a program
// does not start.
func MustLoadBuiltIn(name string, names Names) *Chart {
	text, err := builtInFiles.ReadFile(name + ".yaml")
	if err != nil {
		panic(err)
	}
	chart, err := Load(text, names)
	if err != nil {
		panic(err)
	}
	return chart
}

// Load parses, checks and compiles a chart. The error lists all problems at once.
func Load(text []byte, names Names) (*Chart, error) {
	var f chartFile
	if err := yaml.UnmarshalWithOptions(text, &f, yaml.Strict()); err != nil {
		return nil, errors.Wrapf(ErrInvalid, "%s", yaml.FormatError(err, false, false))
	}
	c := &compiler{file: &f, names: names}
	chart := c.compile()
	if len(c.problems) > 0 {
		return nil, errors.Wrapf(ErrInvalid, "chart %s: %s", f.Chart, strings.Join(c.problems, "; "))
	}
	return chart, nil
}

// stateNames returns the names of the states in the order of the file.
func (f *chartFile) stateNames() []string {
	names := make([]string, len(f.States))
	for i, s := range f.States {
		names[i] = s.Name
	}
	return names
}

// indexOf returns the index of name in list, or 0 and false if it is not there.
func indexOf(list []string, name string) (int, bool) {
	i := slices.Index(list, name)
	return max(i, 0), i >= 0
}
