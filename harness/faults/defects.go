package faults

import (
	"slices"
	"strings"
	"time"
)

// Defect is an error that is deliberately built into a run, to show that a check
// detects it.
type Defect string

// The defects.
const (
	falseNotExecuted  Defect = "upstream_lies"  // the upstream executes a request and reports that it did not
	mixedResponses    Defect = "upstream_mixes" // the upstream sends the response of another request
	killOnStop        Defect = "stop_is_kill"   // a graceful stop is replaced by SIGKILL
	unpublishedDrain  Defect = "drain_untold"   // draining is not published in the store
	unpublishedTables Defect = "table_untold"   // routing tables after the first are not published
	unlimitedRetries  Defect = "many_repeats"   // the nodes' retry ratio is practically unlimited
	extendedDeadline  Defect = "long_deadline"  // the announced deadline is longer than callers wait
	permanentFreeze   Defect = "never_heals"    // all nodes stay frozen
	unexpectedExit    Defect = "node_ends"      // one node is killed outside the schedule
)

// defectCase is a defect, the check that must detect it and the kinds of faults that
// expose it.
type defectCase struct {
	defect     Defect
	check      string
	faultKinds []string
}

var defectCases = []defectCase{
	{falseNotExecuted, "not_run", nil}, {mixedResponses, "whole", nil}, {killOnStop, "lost", []string{"stop"}},
	{unpublishedDrain, "drain", []string{"drain"}}, {unpublishedTables, "config_late", []string{"table"}},
	{unlimitedRetries, "budget", []string{"upstream_sheds"}}, {extendedDeadline, "deadline", nil},
	{permanentFreeze, "recovery", nil}, {unexpectedExit, "exit", nil},
}

// Defects returns all defects.
func Defects() (out []Defect) {
	for _, c := range defectCases {
		out = append(out, c.defect)
	}
	return out
}

// Detected returns whether the check that belongs to a defect reported a violation.
func Detected(d Defect, report Report) bool {
	i := slices.IndexFunc(defectCases, func(c defectCase) bool { return c.defect == d })
	return i >= 0 && slices.ContainsFunc(report.Violations, func(violation string) bool {
		return strings.HasPrefix(violation, defectCases[i].check+": ")
	})
}

// planFaults returns the schedule of a run: the schedule of its seed, or, for a run
// with a defect, long faults of the kinds that expose it.
func planFaults(o Options) []scheduledFault {
	i := slices.IndexFunc(defectCases, func(c defectCase) bool { return c.defect == o.Defect })
	if i < 0 && o.Scenario != "" {
		return planScenario(o)
	}
	if i < 0 {
		return drawSchedule(o.Seed, o.Nodes)
	}
	var out []scheduledFault
	for _, k := range faultKinds {
		if slices.Contains(defectCases[i].faultKinds, k.name) {
			out = append(out, exposingFaults(k, o)...)
		}
	}
	return out
}

// exposingFaults returns the faults of one kind that expose a defect: a single fault on
// the first instance for an unpublished drain, faults on all instances at once for
// unlimited retries, and otherwise one fault on each instance, one second apart.
func exposingFaults(k faultKind, o Options) (out []scheduledFault) {
	for instance := range o.Nodes {
		s := scheduledFault{startAt: time.Duration(instance) * time.Second, duration: maxFaultDuration, kind: k, instance: instance}
		switch {
		case o.Defect == unpublishedDrain && instance > 0:
			return out
		case o.Defect == unlimitedRetries:
			s.startAt, s.duration = 0, faultPeriod
		}
		out = append(out, s)
	}
	return out
}
