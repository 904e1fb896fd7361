package metrics

import (
	"fmt"
	"io"
	"slices"
	"strings"

	gometrics "github.com/rcrowley/go-metrics"
)

// quantiles are those of every histogram that is written out.
var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// microsecond is one, in seconds.
const microsecond = 1e-6

// Write writes all metrics in Prometheus' text format, in the order of their
// names.
func (m *Metrics) Write(w io.Writer) error {
	all := map[string]any{}
	m.registry.Each(func(name string, metric any) { all[name] = metric })
	names := make([]string, 0, len(all))
	for name := range all {
		names = append(names, name)
	}
	slices.Sort(names)
	family := ""
	for _, name := range names {
		base, labels, _ := strings.Cut(strings.TrimSuffix(name, "}"), "{")
		if base != family {
			family = base
			if _, err := fmt.Fprintf(w, "# TYPE %s %s\n", base, kindOf(all[name])); err != nil {
				return err
			}
		}
		if err := writeMetric(w, base, labels, all[name]); err != nil {
			return err
		}
	}
	return nil
}

// Level is a value as it is now, with at most one label.
type Level struct {
	Name         string
	Label, Value string
	Now          float64
}

// WriteLevels writes levels in the same format; those of one name follow each
// other.
func WriteLevels(w io.Writer, levels []Level) error {
	family := ""
	for _, l := range levels {
		if l.Name != family {
			family = l.Name
			if _, err := fmt.Fprintf(w, "# TYPE %s gauge\n", family); err != nil {
				return err
			}
		}
		labels := ""
		if l.Label != "" {
			labels = fmt.Sprintf("%s=%q", l.Label, l.Value)
		}
		if _, err := fmt.Fprintf(w, "%s%s %g\n", l.Name, braces(labels), l.Now); err != nil {
			return err
		}
	}
	return nil
}

func kindOf(metric any) string {
	switch metric.(type) {
	case gometrics.Counter:
		return "counter"
	case gometrics.Histogram:
		return "summary"
	}
	return "gauge"
}

func writeMetric(w io.Writer, base, labels string, metric any) error {
	var err error
	switch metric := metric.(type) {
	case gometrics.Counter:
		_, err = fmt.Fprintf(w, "%s%s %d\n", base, braces(labels), metric.Count())
	case gometrics.Gauge:
		_, err = fmt.Fprintf(w, "%s%s %d\n", base, braces(labels), metric.Value())
	case gometrics.Histogram:
		err = writeSummary(w, base, labels, metric.Snapshot())
	}
	return err
}

func writeSummary(w io.Writer, base, labels string, h gometrics.Histogram) error {
	for _, q := range quantiles {
		quantile := fmt.Sprintf("quantile=\"%g\"", q)
		if labels != "" {
			quantile = labels + "," + quantile
		}
		if _, err := fmt.Fprintf(w, "%s{%s} %g\n", base, quantile, h.Percentile(q)*microsecond); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "%s_sum%s %g\n%s_count%s %d\n",
		base, braces(labels), float64(h.Sum())*microsecond, base, braces(labels), h.Count())
	return err
}

func braces(labels string) string {
	if labels == "" {
		return ""
	}
	return "{" + labels + "}"
}
