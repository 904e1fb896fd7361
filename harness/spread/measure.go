package spread

import (
	"fmt"
	"io"
	"runtime"
	"slices"
	"time"

	"github.com/shallotspool/shallotspool/core/document"
)

// The phases of one run in virtual time.
const (
	warmUpTime = 15 * time.Second
	steadyTime = 10 * time.Second
	// changeTimeout is how long the measurement of a document change may take.
	changeTimeout = 30 * time.Second
)

// documentVersion converts a version number to the document's type.
func documentVersion(v uint64) document.Version { return document.Version(v) }

// Result holds the measurements of one fleet. Rates are per node and second unless
// stated otherwise.
type Result struct {
	Nodes     int
	TextBytes int // size of the document
	// InForce is the time from a change on the platform until the last node has the
	// new document in force.
	InForce time.Duration
	// Median is the same time for half of the nodes.
	Median time.Duration
	// Missed counts the nodes that do not get the new document within changeTimeout.
	Missed int
	// Reads is the rate of reads from the platform, for the whole fleet.
	Reads float64
	// ListReads is the rate of reads of the member list, for the whole fleet.
	ListReads float64
	Messages  float64
	Bytes     float64
	// ChangeBytes is the traffic per node that a change adds to the steady rate.
	ChangeBytes float64
	// Texts is the number of documents that each node sends for a change.
	Texts float64
	CPU   time.Duration
	// ChangeCPU is the CPU time per node that a change adds to the steady rate.
	ChangeCPU time.Duration
	// Parse is the time per node to parse the changed document, which is not part of
	// the CPU times.
	Parse time.Duration
	// SlowestStep is the longest step of any node during the change.
	SlowestStep time.Duration
	// LeavingLinked is the time until the last node with a link to a leaving node
	// learns that it leaves.
	LeavingLinked time.Duration
	// LeavingUntold counts the linked nodes that do not learn it.
	LeavingUntold int
	// LeavingTold counts the nodes without a link that learn it from other nodes.
	LeavingTold int
	// LeavingUnlinked counts the nodes without a link that do not learn it.
	LeavingUnlinked int
	LinksMean       float64
	LinksMax        int
	HeapBytes       int // per node
}

// String returns the result line.
func (r Result) String() string {
	return fmt.Sprintf("spread nodes=%d services=%d data_centres=%d text_bytes=%d in_force_seconds=%.2f in_force_median_seconds=%.2f missed=%d "+
		"platform_reads_per_second=%.1f list_reads_per_second=%.1f messages_per_node_second=%.1f bytes_per_node_second=%.0f "+
		"bytes_per_node_change=%.0f texts_per_node_change=%.2f cpu_ns_per_node_second=%d cpu_ns_per_node_change=%d parse_ns_per_node_change=%d slowest_step_ms=%.1f "+
		"links_mean=%.1f links_max=%d leaving_linked_seconds=%.3f leaving_linked_untold=%d leaving_others_told=%d leaving_others_untold=%d heap_bytes_per_node=%d",
		r.Nodes, serviceCount(r.Nodes), dataCentreCount, r.TextBytes, r.InForce.Seconds(), r.Median.Seconds(), r.Missed,
		r.Reads, r.ListReads, r.Messages, r.Bytes, r.ChangeBytes, r.Texts, r.CPU.Nanoseconds(), r.ChangeCPU.Nanoseconds(), r.Parse.Nanoseconds(),
		float64(r.SlowestStep.Microseconds())/1000, r.LinksMean, r.LinksMax,
		r.LeavingLinked.Seconds(), r.LeavingUntold, r.LeavingTold, r.LeavingUnlinked, r.HeapBytes)
}

// Run measures a fleet of the given size.
func Run(nodes int, seed uint64) Result {
	before := heapBytes()
	f := newFleet(nodes, seed)
	f.run(warmUpTime, never)
	r := Result{Nodes: nodes, TextBytes: len(f.text), HeapBytes: (heapBytes() - before) / nodes}
	f.measureSteady(&r)
	f.measureChange(&r)
	f.measureLinks(&r)
	f.measureLeaving(&r)
	return r
}

// heapBytes returns the allocated heap after a garbage collection, in bytes.
func heapBytes() int {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int(m.HeapAlloc)
}

// measureSteady measures the rates while nothing changes.
func (f *fleet) measureSteady(r *Result) {
	start := f.totals
	f.run(warmUpTime+steadyTime, never)
	perNode := float64(r.Nodes) * steadyTime.Seconds()
	r.Reads = float64(f.totals.platformReads-start.platformReads) / steadyTime.Seconds()
	r.ListReads = float64(f.totals.memberListReads-start.memberListReads) / steadyTime.Seconds()
	r.Messages = float64(f.totals.frames-start.frames) / perNode
	r.Bytes = float64(f.totals.bytes-start.bytes) / perNode
	r.CPU = time.Duration(float64(f.totals.cpuTime-start.cpuTime) / perNode)
}

// measureChange publishes a new document and measures its replication. The traffic and
// CPU time of the steady state are subtracted.
func (f *fleet) measureChange(r *Result) {
	start, publishedAt := f.totals, f.now
	f.version++
	f.text = documentText(r.Nodes, int(f.version))
	for _, h := range f.hosts {
		h.slowestStep = 0
	}
	allInForce := func() bool {
		return !slices.ContainsFunc(f.hosts, func(h *host) bool { return h.version != f.version })
	}
	// Checking all nodes after each event would take longer than the run itself.
	lastCheck := f.now
	done := func() bool {
		if f.now-lastCheck < 10*time.Millisecond {
			return false
		}
		lastCheck = f.now
		return allInForce()
	}
	f.run(publishedAt+changeTimeout, done)
	elapsed := (f.now - publishedAt).Seconds()
	var delays []time.Duration
	for _, h := range f.hosts {
		r.SlowestStep = max(r.SlowestStep, h.slowestStep)
		if h.version != f.version {
			r.Missed++
			continue
		}
		delays = append(delays, h.inForceAt-publishedAt)
	}
	if len(delays) > 0 {
		slices.Sort(delays)
		r.InForce, r.Median = delays[len(delays)-1], delays[len(delays)/2]
	}
	perNode := float64(r.Nodes)
	r.ChangeBytes = float64(f.totals.bytes-start.bytes)/perNode - r.Bytes*elapsed
	r.Texts = float64(f.totals.documents-start.documents) / perNode
	r.Parse = (f.totals.parseTime - start.parseTime) / time.Duration(r.Nodes)
	r.ChangeCPU = time.Duration(float64(f.totals.cpuTime-start.cpuTime)/perNode - float64(r.CPU)*elapsed)
}

// measureLinks counts the links of the nodes.
func (f *fleet) measureLinks(r *Result) {
	total := 0
	for _, h := range f.hosts {
		total += len(h.links)
		r.LinksMax = max(r.LinksMax, len(h.links))
	}
	r.LinksMean = float64(total) / float64(r.Nodes)
}

// Options configure the fleets to measure.
type Options struct {
	Nodes []int
	Seed  uint64
}

// All measures one fleet of each size and prints a result line for each.
func All(o Options, out, progress io.Writer) error {
	for _, n := range o.Nodes {
		_, _ = fmt.Fprintf(progress, "%d nodes\n", n)
		if _, err := fmt.Fprintln(out, Run(n, o.Seed)); err != nil {
			return err
		}
	}
	return nil
}
