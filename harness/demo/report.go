package demo

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// runResult holds the observations that do not concern single calls.
type runResult struct {
	// documentChanged tells whether the new document was in force on all nodes when the
	// surge started.
	documentChanged bool
	// nodeViolations counts the invariant violations that the nodes detected.
	nodeViolations int
}

// violationCounts counts the calls that violated a guarantee, by guarantee.
type violationCounts struct {
	repeatedExecutions int
	falseNotExecuted   int
	wrongResponses     int
	interruptedCalls   int
}

// phase is one row of the report: the charges or the lookups started in a time span.
type phase struct {
	name     string
	from, to time.Duration
	charges  bool
}

var phases = []phase{
	{"normal, lookups", warmUpEnd, surgeAt, false},
	{"normal, charges", warmUpEnd, surgeAt, true},
	{"surge, lookups", surgeAt, surgeEnd, false},
	{"surge, charges", surgeAt, surgeEnd, true},
	{"after, lookups", surgeEnd, runEnd, false},
	{"after, charges", surgeEnd, runEnd, true},
}

// writeReport prints the table and the result line. It returns ErrGuaranteeViolated if a
// guarantee was violated or the new document was not in force in time.
func (r *runResult) writeReport(l *loadGenerator, out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "phase\toffered\tanswered\tnot run\tunknown\tother\tp50 ms\tp99 ms\t")
	for _, p := range phases {
		p.writeRow(table, l.records)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	counts := countViolations(l.records)
	state := "ok"
	if counts != (violationCounts{}) || r.nodeViolations > 0 || !r.documentChanged {
		state = "failed"
	}
	_, err := fmt.Fprintf(out, "demo=%s goodput_ratio=%.3f recovery_seconds=%.1f double_runs=%d false_not_run=%d "+
		"mixed_answers=%d cut_in_flight=%d violations=%d document_changed=%t\n",
		state, goodputRatio(l.records), recoveryTime(l.records).Seconds(), counts.repeatedExecutions, counts.falseNotExecuted,
		counts.wrongResponses, counts.interruptedCalls, r.nodeViolations, r.documentChanged)
	if err == nil && state != "ok" {
		return ErrGuaranteeViolated
	}
	return err
}

// writeRow prints the calls of a phase by outcome, and their latencies.
func (p *phase) writeRow(w io.Writer, records []callRecord) {
	counts := map[string]int{}
	var times []time.Duration
	offered := 0
	for _, r := range records {
		if r.isCharge != p.charges || r.startedAt < p.from || r.startedAt >= p.to {
			continue
		}
		offered++
		counts[r.result.Outcome]++
		if r.result.Outcome == "answered" {
			times = append(times, r.latency)
		}
	}
	answered, notRun, unknown := counts["answered"], counts["not_run"], counts["unknown_outcome"]
	_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t\n", p.name, offered, answered, notRun, unknown,
		offered-answered-notRun-unknown, quantile(times, 0.5), quantile(times, 0.99))
}

// formatRefusalReasons returns the number of refused calls by kind and reason.
func formatRefusalReasons(records []callRecord) string {
	counts := map[string]int{}
	for _, r := range records {
		if r.result.Reason == "" {
			continue
		}
		kind := "lookup"
		if r.isCharge {
			kind = "charge"
		}
		counts[kind+"/"+r.result.Reason]++
	}
	var list []string
	for name, n := range counts {
		list = append(list, fmt.Sprintf("%s=%d", name, n))
	}
	slices.Sort(list)
	return strings.Join(list, " ")
}

// quantile returns a quantile in milliseconds, 0 if there are no times. It sorts times.
func quantile(times []time.Duration, q float64) float64 {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return float64(times[int(q*float64(len(times)-1))].Microseconds()) / 1000
}

// countViolations counts the calls that violated a guarantee. From the end of the warm-up
// until one second before the surge no call may be interrupted, although a node is
// stopped.
func countViolations(records []callRecord) violationCounts {
	var counts violationCounts
	for _, r := range records {
		outcome := r.result.Outcome
		if r.executions > 1 {
			counts.repeatedExecutions++
		}
		if outcome == "not_run" && r.executions > 0 {
			counts.falseNotExecuted++
		}
		if outcome == "answered" && r.result.Body != r.id {
			counts.wrongResponses++
		}
		if r.startedAt >= warmUpEnd && r.startedAt < surgeAt-time.Second && outcome != "answered" && outcome != "not_run" {
			counts.interruptedCalls++
		}
	}
	return counts
}

// goodputRatio returns the ratio of the calls answered during the surge to those that
// could be answered at the reduced capacity, at most 1.
func goodputRatio(records []callRecord) float64 {
	offered, answered := 0, 0
	for _, r := range records {
		if r.startedAt >= surgeAt && r.startedAt < surgeEnd {
			offered++
			if r.result.Outcome == "answered" {
				answered++
			}
		}
	}
	possible := min(offered, slowedCapacity*int((surgeEnd-surgeAt)/time.Second))
	return min(1, float64(answered)/float64(possible))
}

// recoveryTime returns the time from the end of the surge until at least 95% of the
// calls are answered in every later window of one second. It returns the time until the
// last window if the calls never recover.
func recoveryTime(records []callRecord) time.Duration {
	const (
		step  = 100 * time.Millisecond
		width = time.Second
	)
	recovered := runEnd - width
	for from := runEnd - width; from >= surgeEnd; from -= step {
		offered, answered := 0, 0
		for _, r := range records {
			if r.startedAt >= from && r.startedAt < from+width {
				offered++
				if r.result.Outcome == "answered" {
					answered++
				}
			}
		}
		if float64(answered) < 0.95*float64(offered) {
			break
		}
		recovered = from
	}
	return recovered - surgeEnd
}
