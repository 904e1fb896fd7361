// Package metrics counts and times what a node does, for each class and each
// caller group that the document names, and writes it out for Prometheus.
package metrics

import (
	"fmt"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/shallotspool/shallotspool/core/engine"
)

// maxSeries bounds the number of time series, should documents name ever new
// classes and groups.
const maxSeries = 2000

// The names of the histograms, by the engine's metric. All are in seconds.
var histogramNames = map[engine.Metric]string{
	engine.MetricQueueTime:    "shallot_queue_seconds",
	engine.MetricUpstreamTime: "shallot_upstream_seconds",
	engine.MetricCallTime:     "shallot_call_seconds",
	engine.MetricAddedTime:    "shallot_added_seconds",
}

// The names of the counters.
const (
	attemptsName   = "shallot_attempts_total"
	callsName      = "shallot_calls_total"
	refusedName    = "shallot_refused_total"
	violationsName = "shallot_violations_total"
	connectName    = "shallot_connect_seconds"
)

// series names one time series.
type series struct{ name, label, value, reason string }

// Metrics is the metrics of one node; its methods may be called from any
// goroutine.
type Metrics struct {
	registry gometrics.Registry

	mu         sync.Mutex
	histograms map[series]*Histogram
	counters   map[series]gometrics.Counter
}

// New returns Metrics without any series.
func New() *Metrics {
	return &Metrics{
		registry:   gometrics.NewRegistry(),
		histograms: map[series]*Histogram{}, counters: map[series]gometrics.Counter{},
	}
}

// Gauge registers a value that is read when metrics are written.
func (m *Metrics) Gauge(name string, read func() int64) {
	_ = m.registry.Register(name, gometrics.NewFunctionalGauge(read))
}

// Count adds to a counter without labels.
func (m *Metrics) Count(name string, n int64) { m.counter(series{name: name}).Inc(n) }

// Connected takes the time a new connection took.
func (m *Metrics) Connected(d time.Duration) { m.observe(series{name: connectName}, d) }

// Take takes a sample of the engine; class is the name of its class.
func (m *Metrics) Take(s *engine.Measurement, class string) {
	switch s.Metric {
	case engine.MetricViolation:
		m.Count(violationsName, int64(max(s.Count, 1)))
		return
	case engine.MetricCallTime:
		m.counter(series{name: callsName, label: "class", value: class}).Inc(1)
		m.counter(series{name: attemptsName, label: "class", value: class}).Inc(int64(s.Count))
	case engine.MetricRefused:
		m.counter(series{refusedName, "class", class, s.Reason.String()}).Inc(int64(s.Count))
		return
	}
	name := histogramNames[s.Metric]
	if name == "" {
		return
	}
	m.observe(series{name: name, label: "class", value: class}, s.Value)
	if s.Group != "" {
		m.observe(series{name: name, label: "group", value: s.Group}, s.Value)
	}
}

// Ended counts a request of a route that ended with a status, for a reason of
// the node's own or "none".
func (m *Metrics) Ended(route, status, reason string, took time.Duration) {
	m.counter(series{name: "shallot_requests_total", label: "route", value: route, reason: status + "/" + reason}).Inc(1)
	m.observe(series{name: "shallot_request_seconds", label: "route", value: route}, took)
}

func (m *Metrics) observe(s series, d time.Duration) {
	if h := m.histogram(s); h != nil {
		h.Update(d.Microseconds())
	}
}

// histogram returns the histogram of s, nil when there are too many.
func (m *Metrics) histogram(s series) *Histogram {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.histograms[s]
	if h == nil && m.room() {
		h = NewHistogram()
		m.histograms[s] = h
		_ = m.registry.Register(s.String(), h)
	}
	return h
}

func (m *Metrics) counter(s series) gometrics.Counter {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.counters[s]
	if c != nil {
		return c
	}
	if !m.room() {
		return gometrics.NilCounter{}
	}
	c = gometrics.NewCounter()
	m.counters[s] = c
	_ = m.registry.Register(s.String(), c)
	return c
}

func (m *Metrics) room() bool { return len(m.histograms)+len(m.counters) < maxSeries }

// String is the name of the series in Prometheus' text format.
func (s series) String() string {
	if s.label == "" {
		return s.name
	}
	if s.reason == "" {
		return fmt.Sprintf("%s{%s=%q}", s.name, s.label, s.value)
	}
	return fmt.Sprintf("%s{%s=%q,reason=%q}", s.name, s.label, s.value, s.reason)
}
