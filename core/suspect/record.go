package suspect

import "time"

// MaxCrashes is the number of crashes after which a request is blocked.
const MaxCrashes = 2

// trialDelays are the times after the last crash at which a blocked request may run once.
// The platform allows three further runs after the third crash; one is left for a trial
// that two nodes start at the same time.
var trialDelays = []time.Duration{20 * time.Second, time.Minute}

// maxInstancesPerRecord bounds the instances with crashes in one record. More cannot change
// whether the request may run.
const maxInstancesPerRecord = 4 * MaxCrashes

// record is the evidence against one request.
type record struct {
	// crashes holds the crashes by the instance that reported them.
	crashes map[string]crashes
	// trials is the number of trials so far, at all nodes. trialOpen is set while one runs
	// at the local upstream.
	trials    uint8
	trialOpen bool
	// seenAt is when the blocked request last arrived at this node, reportedAt when another
	// node last reported it as blocked.
	seenAt, reportedAt time.Duration
}

// crashes are the crashes that one run of an instance's node reported. at is the time of
// the last one.
type crashes struct {
	incarnation int64
	count       uint8
	at          time.Duration
}

func (r *record) total() int {
	total := 0
	for _, c := range r.crashes {
		total += int(c.count)
	}
	return total
}

func (r *record) blocked() bool { return r.total() >= MaxCrashes }

// lastCrash returns the time of the last crash.
func (r *record) lastCrash() time.Duration {
	first, last := true, time.Duration(0)
	for _, c := range r.crashes {
		if first || c.at > last {
			first, last = false, c.at
		}
	}
	return last
}

// merge adds the report of an instance. Of two reports of the same crash the earlier time
// holds, since reports are delayed. A node that has restarted counts anew.
func (r *record) merge(instance string, reported crashes) {
	known, ok := r.crashes[instance]
	if !ok && len(r.crashes) >= maxInstancesPerRecord {
		return
	}
	restarted := ok && reported.incarnation != known.incarnation
	switch {
	case restarted && reported.at <= known.at:
		reported.count, reported.at = max(reported.count, known.count), known.at
	case restarted:
		reported.count = max(reported.count, min(known.count+1, MaxCrashes))
	case ok && reported.count <= known.count:
		reported.count, reported.at = known.count, min(known.at, reported.at)
	}
	r.crashes[instance] = reported
}

// dropUntil removes the crashes up to a time at which the request completed, and reports
// whether none is left.
func (r *record) dropUntil(completed time.Duration) (empty bool) {
	for instance, c := range r.crashes {
		if c.at <= completed {
			delete(r.crashes, instance)
		}
	}
	return len(r.crashes) == 0
}

// trialDue reports whether a trial may start.
func (r *record) trialDue(now time.Duration) bool {
	return !r.trialOpen && int(r.trials) < len(trialDelays) && now >= r.lastCrash()+trialDelays[r.trials]
}
