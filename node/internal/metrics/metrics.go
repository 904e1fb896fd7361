// Package metrics counts and times the calls of a node, for each class and each
// caller group of the document, and exports the metrics in Prometheus' text
// format.
package metrics

import (
	"fmt"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/shallotspool/shallotspool/core/engine"
)

// maxSeries limits the number of time series. Without it they would grow without
// bound if each new version of the document had other classes and groups.
const maxSeries = 2000

// histogramNames holds the names of the histograms of the engine's metrics. All
// are exported in seconds.
var histogramNames = map[engine.Metric]string{
	engine.MetricQueueTime:    "shallot_queue_seconds",
	engine.MetricUpstreamTime: "shallot_upstream_seconds",
	engine.MetricCallTime:     "shallot_call_seconds",
	engine.MetricAddedTime:    "shallot_added_seconds",
}

// The names of the counters, and of the histogram of connect times.
const (
	attemptsName   = "shallot_attempts_total"
	callsName      = "shallot_calls_total"
	refusedName    = "shallot_refused_total"
	violationsName = "shallot_violations_total"
	connectName    = "shallot_connect_seconds"
)

// series identifies one time series by the name of its metric and its labels.
type series struct{ name, labelName, labelValue, reason string }

// Metrics holds the metrics of one node. Its methods may be called from any
// goroutine.
type Metrics struct {
	registry gometrics.Registry

	mu         sync.Mutex
	histograms map[series]*Histogram
	counters   map[series]gometrics.Counter
}

// New returns Metrics with no time series.
func New() *Metrics {
	return &Metrics{
		registry:   gometrics.NewRegistry(),
		histograms: map[series]*Histogram{}, counters: map[series]gometrics.Counter{},
	}
}

// RegisterGauge registers a gauge whose value is read when the metrics are exported.
func (m *Metrics) RegisterGauge(name string, read func() int64) {
	_ = m.registry.Register(name, gometrics.NewFunctionalGauge(read))
}

// AddToCounter adds n to a counter without labels.
func (m *Metrics) AddToCounter(name string, n int64) { m.counter(series{name: name}).Inc(n) }

// RecordConnectTime records the time that a new connection took to open.
func (m *Metrics) RecordConnectTime(d time.Duration) { m.observe(series{name: connectName}, d) }

// RecordMeasurement records a measurement of the engine; class is the name of its
// class.
func (m *Metrics) RecordMeasurement(measured *engine.Measurement, class string) {
	switch measured.Metric {
	case engine.MetricViolation:
		m.AddToCounter(violationsName, int64(max(measured.Count, 1)))
		return
	case engine.MetricCallTime:
		m.counter(series{name: callsName, labelName: "class", labelValue: class}).Inc(1)
		m.counter(series{name: attemptsName, labelName: "class", labelValue: class}).Inc(int64(measured.Count))
	case engine.MetricRefused:
		m.counter(series{refusedName, "class", class, measured.Reason.String()}).Inc(int64(measured.Count))
		return
	}
	name := histogramNames[measured.Metric]
	if name == "" {
		return
	}
	m.observe(series{name: name, labelName: "class", labelValue: class}, measured.Value)
	if measured.Group != "" {
		m.observe(series{name: name, labelName: "group", labelValue: measured.Group}, measured.Value)
	}
}

// RecordRequest records a request that ended with a status. reason is the node's
// reason for refusing or failing the request, or "none". The counter's label reason
// holds both, as STATUS/REASON.
func (m *Metrics) RecordRequest(route, status, reason string, took time.Duration) {
	m.counter(series{name: "shallot_requests_total", labelName: "route", labelValue: route, reason: status + "/" + reason}).Inc(1)
	m.observe(series{name: "shallot_request_seconds", labelName: "route", labelValue: route}, took)
}

// observe adds a duration to the histogram of s.
func (m *Metrics) observe(s series, d time.Duration) {
	if h := m.histogram(s); h != nil {
		h.Update(d.Microseconds())
	}
}

// histogram returns the histogram of s and creates it if necessary. It returns
// nil if there are too many time series.
func (m *Metrics) histogram(s series) *Histogram {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.histograms[s]
	if h == nil && m.hasRoom() {
		h = NewHistogram()
		m.histograms[s] = h
		_ = m.registry.Register(s.String(), h)
	}
	return h
}

// counter returns the counter of s and creates it if necessary. It returns a
// counter that does nothing if there are too many time series.
func (m *Metrics) counter(s series) gometrics.Counter {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.counters[s]
	if c != nil {
		return c
	}
	if !m.hasRoom() {
		return gometrics.NilCounter{}
	}
	c = gometrics.NewCounter()
	m.counters[s] = c
	_ = m.registry.Register(s.String(), c)
	return c
}

// hasRoom reports whether a time series may be added. mu must be held.
func (m *Metrics) hasRoom() bool { return len(m.histograms)+len(m.counters) < maxSeries }

// String returns the series' name with its labels in Prometheus' text format.
func (s series) String() string {
	if s.labelName == "" {
		return s.name
	}
	if s.reason == "" {
		return fmt.Sprintf("%s{%s=%q}", s.name, s.labelName, s.labelValue)
	}
	return fmt.Sprintf("%s{%s=%q,reason=%q}", s.name, s.labelName, s.labelValue, s.reason)
}
