package spread

import (
	"fmt"
	"io"
	"runtime"
	"slices"
	"time"

	"github.com/shallotspool/shallotspool/core/document"
)

// The times of one run.
const (
	warm   = 15 * time.Second
	steady = 10 * time.Second
	// giveUp is how long a change may take before the run ends without it.
	giveUp = 30 * time.Second
)

func documentVersion(v uint64) document.Version { return document.Version(v) }

// Result is what one fleet showed. Rates are for one node and second.
type Result struct {
	Nodes     int
	TextBytes int
	// InForce is the time from the change on the platform until the last node
	// had it, Median until half had; Missed counts those that never did.
	InForce time.Duration
	Median  time.Duration
	Missed  int
	// Reads and ListReads are of the whole fleet in a second, of all resources
	// and of the member list.
	Reads     float64
	ListReads float64
	Messages  float64
	Bytes     float64
	// ChangeBytes and Texts are for one node and change.
	ChangeBytes float64
	Texts       float64
	CPU         time.Duration
	ChangeCPU   time.Duration
	// Parse is the time to parse the document, apart from the engine.
	Parse       time.Duration
	SlowestStep time.Duration
	// LeavingLinked is the time until the last linked node heard that one
	// leaves, LeavingUntold counts linked nodes that did not. Of the others
	// LeavingTold heard it from somebody and LeavingUnlinked did not.
	LeavingLinked   time.Duration
	LeavingUntold   int
	LeavingTold     int
	LeavingUnlinked int
	LinksMean       float64
	LinksMax        int
	HeapBytes       int
}

// String is the result line.
func (r Result) String() string {
	return fmt.Sprintf("spread nodes=%d services=%d data_centres=%d text_bytes=%d in_force_seconds=%.2f in_force_median_seconds=%.2f missed=%d "+
		"platform_reads_per_second=%.1f list_reads_per_second=%.1f messages_per_node_second=%.1f bytes_per_node_second=%.0f "+
		"bytes_per_node_change=%.0f texts_per_node_change=%.2f cpu_ns_per_node_second=%d cpu_ns_per_node_change=%d parse_ns_per_node_change=%d slowest_step_ms=%.1f "+
		"links_mean=%.1f links_max=%d leaving_linked_seconds=%.3f leaving_linked_untold=%d leaving_others_told=%d leaving_others_untold=%d heap_bytes_per_node=%d",
		r.Nodes, servicesOf(r.Nodes), dataCentres, r.TextBytes, r.InForce.Seconds(), r.Median.Seconds(), r.Missed,
		r.Reads, r.ListReads, r.Messages, r.Bytes, r.ChangeBytes, r.Texts, r.CPU.Nanoseconds(), r.ChangeCPU.Nanoseconds(), r.Parse.Nanoseconds(),
		float64(r.SlowestStep.Microseconds())/1000, r.LinksMean, r.LinksMax,
		r.LeavingLinked.Seconds(), r.LeavingUntold, r.LeavingTold, r.LeavingUnlinked, r.HeapBytes)
}

// Run measures one fleet.
func Run(nodes int, seed uint64) Result {
	before := heapBytes()
	f := newFleet(nodes, seed)
	f.run(warm, never)
	r := Result{Nodes: nodes, TextBytes: len(f.text), HeapBytes: (heapBytes() - before) / nodes}
	f.measureSteady(&r)
	f.measureChange(&r)
	f.measureLinks(&r)
	f.measureLeaving(&r)
	return r
}

func heapBytes() int {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int(m.HeapAlloc)
}

func (f *fleet) measureSteady(r *Result) {
	start := f.sum
	f.run(warm+steady, never)
	perNode := float64(r.Nodes) * steady.Seconds()
	r.Reads = float64(f.sum.reads-start.reads) / steady.Seconds()
	r.ListReads = float64(f.sum.listReads-start.listReads) / steady.Seconds()
	r.Messages = float64(f.sum.frames-start.frames) / perNode
	r.Bytes = float64(f.sum.bytes-start.bytes) / perNode
	r.CPU = time.Duration(float64(f.sum.cpu-start.cpu) / perNode)
}

// measureChange publishes a document; what is counted is beyond the steady rate.
func (f *fleet) measureChange(r *Result) {
	start, began := f.sum, f.now
	f.version++
	f.text = text(r.Nodes, int(f.version))
	for _, h := range f.hosts {
		h.slowest = 0
	}
	all := func() bool {
		return !slices.ContainsFunc(f.hosts, func(h *host) bool { return h.version != f.version })
	}
	// Looking at all nodes after each event would cost more than the run.
	looked := f.now
	done := func() bool {
		if f.now-looked < 10*time.Millisecond {
			return false
		}
		looked = f.now
		return all()
	}
	f.run(began+giveUp, done)
	took := (f.now - began).Seconds()
	var times []time.Duration
	for _, h := range f.hosts {
		r.SlowestStep = max(r.SlowestStep, h.slowest)
		if h.version != f.version {
			r.Missed++
			continue
		}
		times = append(times, h.inForce-began)
	}
	if len(times) > 0 {
		slices.Sort(times)
		r.InForce, r.Median = times[len(times)-1], times[len(times)/2]
	}
	perNode := float64(r.Nodes)
	r.ChangeBytes = float64(f.sum.bytes-start.bytes)/perNode - r.Bytes*took
	r.Texts = float64(f.sum.documents-start.documents) / perNode
	r.Parse = (f.sum.parse - start.parse) / time.Duration(r.Nodes)
	r.ChangeCPU = time.Duration(float64(f.sum.cpu-start.cpu)/perNode - float64(r.CPU)*took)
}

func (f *fleet) measureLinks(r *Result) {
	total := 0
	for _, h := range f.hosts {
		total += len(h.links)
		r.LinksMax = max(r.LinksMax, len(h.links))
	}
	r.LinksMean = float64(total) / float64(r.Nodes)
}

// Options choose the fleets.
type Options struct {
	Nodes []int
	Seed  uint64
}

// All measures one fleet after the other and prints their lines.
func All(o Options, out, progress io.Writer) error {
	for _, n := range o.Nodes {
		_, _ = fmt.Fprintf(progress, "%d nodes\n", n)
		if _, err := fmt.Fprintln(out, Run(n, o.Seed)); err != nil {
			return err
		}
	}
	return nil
}
