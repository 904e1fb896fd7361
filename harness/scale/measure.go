package scale

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
	Nodes         int
	DocumentBytes int // size of the document
	// TimeToAll is the time from a change on the platform until the last node has the
	// new document in force.
	TimeToAll time.Duration
	// TimeToHalf is the same time for half of the nodes.
	TimeToHalf time.Duration
	// NotUpdated counts the nodes that do not get the new document within changeTimeout.
	NotUpdated int
	// PlatformReads is the rate of reads from the platform, for the whole fleet.
	PlatformReads float64
	// MemberListReads is the rate of reads of the member list, for the whole fleet.
	MemberListReads float64
	MessageRate     float64 // sent frames
	ByteRate        float64 // sent bytes, with frameOverhead
	// BytesPerChange is the traffic per node that a change adds to ByteRate.
	BytesPerChange float64
	// DocumentsPerChange is the number of documents that each node sends for a change.
	DocumentsPerChange float64
	CPUPerSecond       time.Duration // see fleetTotals.cpuTime
	// CPUPerChange is the CPU time per node that a change adds to CPUPerSecond.
	CPUPerChange time.Duration
	// ParseTimePerChange is the time per node to parse the changed document, which is
	// not part of the CPU times.
	ParseTimePerChange time.Duration
	// SlowestStep is the longest time that one engine step or one encoding or decoding
	// of a frame took on any node during the change.
	SlowestStep time.Duration
	// LeaveDelayLinked is the time until the last node with a link to a leaving node
	// learns that it leaves.
	LeaveDelayLinked time.Duration
	// LeaveUnknownLinked counts the linked nodes that do not learn it.
	LeaveUnknownLinked int
	// LeaveKnownUnlinked counts the nodes without a link that learn it from other nodes.
	LeaveKnownUnlinked int
	// LeaveUnknownUnlinked counts the nodes without a link that do not learn it.
	LeaveUnknownUnlinked int
	LinksMean            float64
	LinksMax             int
	HeapBytes            int // per node
}

// String returns the result line.
func (r Result) String() string {
	return fmt.Sprintf("spread nodes=%d services=%d data_centres=%d text_bytes=%d in_force_seconds=%.2f in_force_median_seconds=%.2f missed=%d "+
		"platform_reads_per_second=%.1f list_reads_per_second=%.1f messages_per_node_second=%.1f bytes_per_node_second=%.0f "+
		"bytes_per_node_change=%.0f texts_per_node_change=%.2f cpu_ns_per_node_second=%d cpu_ns_per_node_change=%d parse_ns_per_node_change=%d slowest_step_ms=%.1f "+
		"links_mean=%.1f links_max=%d leaving_linked_seconds=%.3f leaving_linked_untold=%d leaving_others_told=%d leaving_others_untold=%d heap_bytes_per_node=%d",
		r.Nodes, serviceCount(r.Nodes), dataCentreCount, r.DocumentBytes, r.TimeToAll.Seconds(), r.TimeToHalf.Seconds(), r.NotUpdated,
		r.PlatformReads, r.MemberListReads, r.MessageRate, r.ByteRate, r.BytesPerChange, r.DocumentsPerChange, r.CPUPerSecond.Nanoseconds(), r.CPUPerChange.Nanoseconds(), r.ParseTimePerChange.Nanoseconds(),
		float64(r.SlowestStep.Microseconds())/1000, r.LinksMean, r.LinksMax,
		r.LeaveDelayLinked.Seconds(), r.LeaveUnknownLinked, r.LeaveKnownUnlinked, r.LeaveUnknownUnlinked, r.HeapBytes)
}

// Measure measures a fleet of the given size.
func Measure(nodes int, seed uint64) Result {
	before := heapBytes()
	f := newFleet(nodes, seed)
	f.run(warmUpTime, neverDone)
	r := Result{Nodes: nodes, DocumentBytes: len(f.text), HeapBytes: (heapBytes() - before) / nodes}
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
	f.run(warmUpTime+steadyTime, neverDone)
	nodeSeconds := float64(r.Nodes) * steadyTime.Seconds()
	r.PlatformReads = float64(f.totals.platformReads-start.platformReads) / steadyTime.Seconds()
	r.MemberListReads = float64(f.totals.memberListReads-start.memberListReads) / steadyTime.Seconds()
	r.MessageRate = float64(f.totals.frames-start.frames) / nodeSeconds
	r.ByteRate = float64(f.totals.bytes-start.bytes) / nodeSeconds
	r.CPUPerSecond = time.Duration(float64(f.totals.cpuTime-start.cpuTime) / nodeSeconds)
}

// measureChange publishes a new document and measures its replication. The bytes and
// the CPU time of the steady state are subtracted.
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
			r.NotUpdated++
			continue
		}
		delays = append(delays, h.inForceAt-publishedAt)
	}
	if len(delays) > 0 {
		slices.Sort(delays)
		r.TimeToAll, r.TimeToHalf = delays[len(delays)-1], delays[len(delays)/2]
	}
	nodes := float64(r.Nodes)
	r.BytesPerChange = float64(f.totals.bytes-start.bytes)/nodes - r.ByteRate*elapsed
	r.DocumentsPerChange = float64(f.totals.documents-start.documents) / nodes
	r.ParseTimePerChange = (f.totals.parseTime - start.parseTime) / time.Duration(r.Nodes)
	r.CPUPerChange = time.Duration(float64(f.totals.cpuTime-start.cpuTime)/nodes - float64(r.CPUPerSecond)*elapsed)
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

// MeasureAll measures one fleet of each size and prints a result line for each.
func MeasureAll(o Options, out, progress io.Writer) error {
	for _, n := range o.Nodes {
		_, _ = fmt.Fprintf(progress, "%d nodes\n", n)
		if _, err := fmt.Fprintln(out, Measure(n, o.Seed)); err != nil {
			return err
		}
	}
	return nil
}
