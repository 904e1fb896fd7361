package demo

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// result is what the run showed beside the calls.
type result struct {
	// changed is true when the new document was in force everywhere in time.
	changed    bool
	violations int
}

// broken counts broken promises.
type broken struct {
	doubleRuns  int
	falseNotRun int
	mixed       int
	cut         int
}

// phase is one row of the table.
type phase struct {
	name     string
	from, to time.Duration
	write    bool
}

var phases = []phase{
	{"normal, lookups", warmEnd, surgeAt, false},
	{"normal, charges", warmEnd, surgeAt, true},
	{"surge, lookups", surgeAt, surgeEnd, false},
	{"surge, charges", surgeAt, surgeEnd, true},
	{"after, lookups", surgeEnd, runEnd, false},
	{"after, charges", surgeEnd, runEnd, true},
}

// report prints the table and the last line.
func (r *result) report(l *load, out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "phase\toffered\tanswered\tnot run\tunknown\tother\tp50 ms\tp99 ms\t")
	for _, p := range phases {
		p.row(table, l.records)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	b := promises(l.records)
	state := "ok"
	if b != (broken{}) || r.violations > 0 || !r.changed {
		state = "failed"
	}
	_, err := fmt.Fprintf(out, "demo=%s goodput_ratio=%.3f recovery_seconds=%.1f double_runs=%d false_not_run=%d "+
		"mixed_answers=%d cut_in_flight=%d violations=%d document_changed=%t\n",
		state, goodput(l.records), recovery(l.records).Seconds(), b.doubleRuns, b.falseNotRun,
		b.mixed, b.cut, r.violations, r.changed)
	if err == nil && state != "ok" {
		return ErrPromise
	}
	return err
}

func (p *phase) row(w io.Writer, records []record) {
	counts := map[string]int{}
	var times []time.Duration
	offered := 0
	for _, r := range records {
		if r.write != p.write || r.at < p.from || r.at >= p.to {
			continue
		}
		offered++
		counts[r.result.Outcome]++
		if r.result.Outcome == "answered" {
			times = append(times, r.took)
		}
	}
	answered, notRun, unknown := counts["answered"], counts["not_run"], counts["unknown_outcome"]
	_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t\n", p.name, offered, answered, notRun, unknown,
		offered-answered-notRun-unknown, quantile(times, 0.5), quantile(times, 0.99))
}

// reasons lists why calls were refused, and how often.
func reasons(records []record) string {
	counts := map[string]int{}
	for _, r := range records {
		if r.result.Reason == "" {
			continue
		}
		kind := "lookup"
		if r.write {
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

// quantile returns a quantile in milliseconds.
func quantile(times []time.Duration, q float64) float64 {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return float64(times[int(q*float64(len(times)-1))].Microseconds()) / 1000
}

// promises counts what was promised and did not hold. Before the surge nothing
// may be cut, although a node is stopped.
func promises(records []record) broken {
	var b broken
	for _, r := range records {
		outcome := r.result.Outcome
		if r.runs > 1 {
			b.doubleRuns++
		}
		if outcome == "not_run" && r.runs > 0 {
			b.falseNotRun++
		}
		if outcome == "answered" && r.result.Body != r.id {
			b.mixed++
		}
		if r.at >= warmEnd && r.at < surgeAt-time.Second && outcome != "answered" && outcome != "not_run" {
			b.cut++
		}
	}
	return b
}

// goodput is the share of what could be answered in the surge that was.
func goodput(records []record) float64 {
	offered, answered := 0, 0
	for _, r := range records {
		if r.at >= surgeAt && r.at < surgeEnd {
			offered++
			if r.result.Outcome == "answered" {
				answered++
			}
		}
	}
	possible := min(offered, slowed*int((surgeEnd-surgeAt)/time.Second))
	return min(1, float64(answered)/float64(possible))
}

// recovery is the time from the end of the surge until every later second
// answers 95 of 100 calls.
func recovery(records []record) time.Duration {
	const (
		step  = 100 * time.Millisecond
		width = time.Second
	)
	recovered := runEnd - width
	for from := runEnd - width; from >= surgeEnd; from -= step {
		offered, answered := 0, 0
		for _, r := range records {
			if r.at >= from && r.at < from+width {
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
