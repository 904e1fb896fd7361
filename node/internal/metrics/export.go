package metrics

import (
	"fmt"
	"io"
	"slices"
	"strings"

	gometrics "github.com/rcrowley/go-metrics"
)

// quantiles are the quantiles that are exported for every histogram.
var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

const secondsPerMicrosecond = 1e-6

// Write writes all metrics in Prometheus' text format, sorted by name.
func (m *Metrics) Write(w io.Writer) error {
	bySeries := map[string]any{}
	m.registry.Each(func(series string, metric any) { bySeries[series] = metric })
	allSeries := make([]string, 0, len(bySeries))
	for series := range bySeries {
		allSeries = append(allSeries, series)
	}
	slices.Sort(allSeries)
	family := ""
	for _, series := range allSeries {
		name, labels, _ := strings.Cut(strings.TrimSuffix(series, "}"), "{")
		if name != family {
			family = name
			if _, err := fmt.Fprintf(w, "# TYPE %s %s\n", name, metricType(bySeries[series])); err != nil {
				return err
			}
		}
		if err := writeMetric(w, name, labels, bySeries[series]); err != nil {
			return err
		}
	}
	return nil
}

// GaugeSample is the current value of a gauge with at most one label.
type GaugeSample struct {
	Name                  string
	LabelName, LabelValue string
	Current               float64
}

// WriteGauges writes gauges in Prometheus' text format. The gauges of one name
// must be adjacent.
func WriteGauges(w io.Writer, gauges []GaugeSample) error {
	family := ""
	for _, g := range gauges {
		if g.Name != family {
			family = g.Name
			if _, err := fmt.Fprintf(w, "# TYPE %s gauge\n", family); err != nil {
				return err
			}
		}
		labels := ""
		if g.LabelName != "" {
			labels = fmt.Sprintf("%s=%q", g.LabelName, g.LabelValue)
		}
		if _, err := fmt.Fprintf(w, "%s%s %g\n", g.Name, formatLabels(labels), g.Current); err != nil {
			return err
		}
	}
	return nil
}

// metricType returns the Prometheus type of a metric.
func metricType(metric any) string {
	switch metric.(type) {
	case gometrics.Counter:
		return "counter"
	case gometrics.Histogram:
		return "summary"
	}
	return "gauge"
}

// writeMetric writes the samples of one metric.
func writeMetric(w io.Writer, name, labels string, metric any) error {
	var err error
	switch metric := metric.(type) {
	case gometrics.Counter:
		_, err = fmt.Fprintf(w, "%s%s %d\n", name, formatLabels(labels), metric.Count())
	case gometrics.Gauge:
		_, err = fmt.Fprintf(w, "%s%s %d\n", name, formatLabels(labels), metric.Value())
	case gometrics.Histogram:
		err = writeSummary(w, name, labels, metric.Snapshot())
	}
	return err
}

// writeSummary writes the quantiles, the sum and the count of a histogram. It
// converts the histogram's microseconds to seconds.
func writeSummary(w io.Writer, name, labels string, h gometrics.Histogram) error {
	for _, q := range quantiles {
		quantile := fmt.Sprintf("quantile=\"%g\"", q)
		if labels != "" {
			quantile = labels + "," + quantile
		}
		if _, err := fmt.Fprintf(w, "%s{%s} %g\n", name, quantile, h.Percentile(q)*secondsPerMicrosecond); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "%s_sum%s %g\n%s_count%s %d\n",
		name, formatLabels(labels), float64(h.Sum())*secondsPerMicrosecond, name, formatLabels(labels), h.Count())
	return err
}

// formatLabels puts a non-empty list of labels in braces.
func formatLabels(labels string) string {
	if labels == "" {
		return ""
	}
	return "{" + labels + "}"
}
