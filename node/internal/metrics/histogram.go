package metrics

import (
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"
	gometrics "github.com/rcrowley/go-metrics"
)

// The range and the precision of a histogram.
const (
	minMicroseconds   = 1
	maxMicroseconds   = 600_000_000
	significantDigits = 2
)

// Histogram is a high dynamic range histogram of durations in microseconds. It
// implements go-metrics' Histogram interface. Its methods may be called from any
// goroutine.
type Histogram struct {
	mu  sync.Mutex
	hdr *hdrhistogram.Histogram
	sum int64
}

// NewHistogram returns an empty Histogram.
func NewHistogram() *Histogram {
	return &Histogram{hdr: hdrhistogram.New(minMicroseconds, maxMicroseconds, significantDigits)}
}

// Update adds a value. A value out of range is recorded as the nearest value in
// range, but added to the sum unchanged.
func (h *Histogram) Update(v int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.hdr.RecordValue(min(max(v, minMicroseconds), maxMicroseconds))
	h.sum += v
}

// Clear removes all values.
func (h *Histogram) Clear() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hdr.Reset()
	h.sum = 0
}

// Snapshot returns a copy.
func (h *Histogram) Snapshot() gometrics.Histogram {
	h.mu.Lock()
	defer h.mu.Unlock()
	return &Histogram{hdr: hdrhistogram.Import(h.hdr.Export()), sum: h.sum}
}

// Percentile returns the p-quantile of the values, with p between 0 and 1.
func (h *Histogram) Percentile(p float64) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return float64(h.hdr.ValueAtQuantile(p * 100))
}

// Percentiles returns the quantiles for each of ps.
func (h *Histogram) Percentiles(ps []float64) []float64 {
	values := make([]float64, len(ps))
	for i, p := range ps {
		values[i] = h.Percentile(p)
	}
	return values
}

// Count returns the number of values.
func (h *Histogram) Count() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hdr.TotalCount()
}

// Sum returns the sum of all values.
func (h *Histogram) Sum() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sum
}

// Max returns the largest value.
func (h *Histogram) Max() int64 { return h.readInt((*hdrhistogram.Histogram).Max) }

// Min returns the smallest value.
func (h *Histogram) Min() int64 { return h.readInt((*hdrhistogram.Histogram).Min) }

// Mean returns the mean.
func (h *Histogram) Mean() float64 { return h.readFloat((*hdrhistogram.Histogram).Mean) }

// StdDev returns the standard deviation.
func (h *Histogram) StdDev() float64 { return h.readFloat((*hdrhistogram.Histogram).StdDev) }

// Variance returns the square of the standard deviation.
func (h *Histogram) Variance() float64 { return h.StdDev() * h.StdDev() }

// Sample returns an empty sample, since the histogram keeps no individual values.
func (h *Histogram) Sample() gometrics.Sample { return gometrics.NilSample{} }

func (h *Histogram) readInt(get func(*hdrhistogram.Histogram) int64) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return get(h.hdr)
}

func (h *Histogram) readFloat(get func(*hdrhistogram.Histogram) float64) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return get(h.hdr)
}
