package suspect

import (
	"maps"
	"slices"
	"time"
)

// Report is what a node reports of one request.
type Report struct {
	Fingerprint uint64
	// Crashes is the number of crashes of the node's upstream that count against the
	// request, MaxCrashes if the node blocks it, and 0 if the request completed there.
	Crashes uint8
	// Age is the time since the last of these crashes, or since the completion.
	Age time.Duration
	// Trials is the number of trials of the request so far.
	Trials uint8
}

// Reports returns what this node reports: first the blocked requests, then the suspects that
// ran at a crash of the local upstream, the most recent first, then the former suspects that
// completed there.
func (t *Table) Reports(now time.Duration) []Report {
	t.Tick(now)
	var blocked, suspected []Report
	for _, fingerprint := range slices.Backward(t.order) {
		r := t.records[fingerprint]
		own, crashedHere := r.crashes[t.cfg.Instance]
		switch {
		case r.blocked() && t.keepsBlocked(now, r):
			blocked = append(blocked, Report{fingerprint, MaxCrashes, now - r.lastCrash(), r.trials})
		case crashedHere:
			suspected = append(suspected, Report{Fingerprint: fingerprint, Crashes: own.count, Age: now - own.at})
		}
	}
	reports := append(blocked, suspected...)
	for _, fingerprint := range slices.Sorted(maps.Keys(t.cleared)) {
		if c := t.cleared[fingerprint]; c.own {
			reports = append(reports, Report{Fingerprint: fingerprint, Age: now - c.at})
		}
	}
	return reports
}
