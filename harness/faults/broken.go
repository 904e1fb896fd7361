package faults

import (
	"slices"
	"strings"
	"time"
)

// Broken is a part of a run that is built wrongly, to show that a check finds it.
type Broken string

// The broken parts.
const (
	upstreamLies  Broken = "upstream_lies"  // runs a request and says that it did not
	upstreamMixes Broken = "upstream_mixes" // answers with what belongs to another request
	stopIsKill    Broken = "stop_is_kill"   // stops without notice
	drainUntold   Broken = "drain_untold"   // does not tell the store that it leaves
	tableUntold   Broken = "table_untold"   // does not publish later tables
	manyRepeats   Broken = "many_repeats"   // lets nodes repeat as often as they like
	longDeadline  Broken = "long_deadline"  // tells more time than callers wait
	neverHeals    Broken = "never_heals"    // leaves all nodes frozen
	nodeEnds      Broken = "node_ends"      // ends a node for no reason
)

// variant is a broken part with the check that is to find it, and the kinds of
// faults that show it.
type variant struct {
	broken Broken
	check  string
	kinds  []string
}

var variants = []variant{
	{upstreamLies, "not_run", nil}, {upstreamMixes, "whole", nil}, {stopIsKill, "lost", []string{"stop"}},
	{drainUntold, "drain", []string{"drain"}}, {tableUntold, "config_late", []string{"table"}},
	{manyRepeats, "budget", []string{"upstream_sheds"}}, {longDeadline, "deadline", nil},
	{neverHeals, "recovery", nil}, {nodeEnds, "exit", nil},
}

// Variants returns the names of the broken parts.
func Variants() (out []Broken) {
	for _, v := range variants {
		out = append(out, v.broken)
	}
	return out
}

// Caught tells whether a run with a broken part found it.
func Caught(b Broken, report Report) bool {
	i := slices.IndexFunc(variants, func(v variant) bool { return v.broken == b })
	return i >= 0 && slices.ContainsFunc(report.Violations, func(found string) bool {
		return strings.HasPrefix(found, variants[i].check+": ")
	})
}

// showing returns the schedule of a run: that of its seed, or the faults that show
// its broken part, everywhere and long.
func showing(o Options) []event {
	i := slices.IndexFunc(variants, func(v variant) bool { return v.broken == o.Broken })
	if i < 0 {
		return schedule(o.Seed, o.Nodes)
	}
	var out []event
	for _, k := range kinds {
		if slices.Contains(variants[i].kinds, k.name) {
			out = append(out, everywhere(k, o)...)
		}
	}
	return out
}

// everywhere returns faults of one kind that show a broken part: a drain of one
// upstream, or faults on all instances, at once or one after the other.
func everywhere(k kind, o Options) (out []event) {
	for instance := range o.Nodes {
		e := event{at: time.Duration(instance) * time.Second, length: longFault, kind: k, instance: instance}
		switch {
		case o.Broken == drainUntold && instance > 0:
			return out
		case o.Broken == manyRepeats:
			e.at, e.length = 0, faultTime
		}
		out = append(out, e)
	}
	return out
}
