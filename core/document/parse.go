package document

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
)

// MaxBytes is the size of the longest document the platform holds.
const MaxBytes = 1 << 20

type documentText struct {
	Version      uint64                  `yaml:"version"`
	Name         string                  `yaml:"name"`
	Classes      []string                `yaml:"classes"`
	ResendWindow time.Duration           `yaml:"resend_window"`
	Answers      answersText             `yaml:"answers"`
	Groups       []string                `yaml:"groups"`
	Services     map[string]*serviceText `yaml:"services"`
}

type answersText struct {
	Bytes int64 `yaml:"bytes"`
	Keys  int   `yaml:"keys"`
}

type serviceText struct {
	Targets int                   `yaml:"targets"`
	Routes  map[string]*routeText `yaml:"routes"`
}

type routeText struct {
	Method     string        `yaml:"method"`
	Path       string        `yaml:"path"`
	Class      string        `yaml:"class"`
	Idempotent bool          `yaml:"idempotent"`
	Wait       time.Duration `yaml:"wait"`
	Retries    int           `yaml:"retries"`
	Calls      []string      `yaml:"calls"`
}

// Parse reads and checks the text of a document.
func Parse(text []byte) (*Document, error) {
	if len(text) > MaxBytes {
		return nil, errors.Newf("document has %d bytes, more than %d", len(text), MaxBytes)
	}
	var t documentText
	if err := yaml.UnmarshalWithOptions(text, &t, yaml.Strict()); err != nil {
		return nil, errors.Wrap(err, "document")
	}
	return build(&t)
}

func build(t *documentText) (*Document, error) {
	d := &Document{
		Version: Version(t.Version), Name: t.Name, Classes: t.Classes,
		ResendWindow: t.ResendWindow, Answers: AnswerLimits(t.Answers), Groups: t.Groups,
	}
	for _, name := range sortedKeys(t.Services) {
		s := &Service{Name: name, Targets: t.Services[name].Targets}
		for _, routeName := range sortedKeys(t.Services[name].Routes) {
			r, err := d.route(routeName, t.Services[name].Routes[routeName])
			if err != nil {
				return nil, errors.Wrapf(err, "services.%s.routes", name)
			}
			s.Routes = append(s.Routes, r)
		}
		d.Services = append(d.Services, s)
	}
	d.Index()
	return d, nil
}

func (d *Document) route(name string, t *routeText) (*Route, error) {
	for i, class := range d.Classes {
		if class == t.Class {
			return &Route{
				Name: name, Method: t.Method, Path: t.Path, Class: Class(i),
				Idempotent: t.Idempotent, Wait: t.Wait, Retries: t.Retries, Calls: t.Calls,
			}, nil
		}
	}
	return nil, errors.Newf("%s: unknown class %q", name, t.Class)
}
