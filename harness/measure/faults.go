package measure

import (
	"strings"
	"time"

	"github.com/shallotspool/shallotspool/core/engine"
	"github.com/shallotspool/shallotspool/core/idempotency"
	"github.com/shallotspool/shallotspool/harness/sim"
)

func init() {
	scenarios["poison"] = scenario{start: poison}
	scenarios["partition"] = scenario{start: partition}
	scenarios["late_wake"] = scenario{start: lateWake}
}

// faultSpecs returns the runs of the cases with faults other than overload.
func faultSpecs(seeds []uint64) []Spec {
	var specs []Spec
	for _, name := range []string{"poison", "partition", "late_wake"} {
		for _, deployment := range []string{"comics", "charter"} {
			for _, policy := range []string{"none", "static", "full"} {
				specs = append(specs, Spec{Case: name, Policy: policy, Deployment: deployment, Demand: normalDemand})
			}
		}
	}
	return withSeeds(specs, seeds)
}

// notRunChecker counts the sends that ran although their caller got the outcome
// not run.
type notRunChecker struct {
	ranSends    map[string]bool
	notRunSends map[string]bool
	violations  int
}

// newNotRunChecker returns a checker that observes a simulation.
func newNotRunChecker(w *sim.World) *notRunChecker {
	s := &notRunChecker{ranSends: map[string]bool{}, notRunSends: map[string]bool{}}
	w.OnRun = func(h *sim.Host, r *engine.Request) { s.recordRun(r) }
	w.OnReply = s.recordReply
	return s
}

// recordRun records that a send ran. It ignores calls made by upstreams, whose
// headers are those of the caller's send but whose keys differ.
func (s *notRunChecker) recordRun(r *engine.Request) {
	send := string(r.Header)
	if !strings.HasPrefix(send, r.Key+"#") {
		return
	}
	if s.notRunSends[send] && !s.ranSends[send] {
		s.violations++
	}
	s.ranSends[send] = true
}

// recordReply records that the caller was told that a send did not run.
func (s *notRunChecker) recordReply(_ *sim.Host, r *engine.Request, reply engine.Reply) {
	send := string(r.Header)
	if reply.Outcome != engine.OutcomeNotRun {
		return
	}
	if s.ranSends[send] && !s.notRunSends[send] {
		s.violations++
	}
	s.notRunSends[send] = true
}

const (
	// poisonBody is the body of requests that crash every upstream that runs them.
	poisonBody = "poison"
	// poisonRate is the number of such requests per second, each with a new key.
	poisonRate = 5
	// crashSlowTime is how long an upstream is slow after a crash, and
	// crashSlowFactor the factor on its working time.
	crashSlowTime   = time.Second
	crashSlowFactor = 10
)

// poison adds a load of identical requests, with different keys, that crash every
// upstream that runs them.
func poison(w *sim.World, d deployment, _ float64) {
	w.AddLoad(sim.Load{Route: d.writeRoute, Rate: poisonRate, From: pressureStart, To: pressureEnd, Body: poisonBody})
	previous := w.OnRun
	w.OnRun = func(h *sim.Host, r *engine.Request) {
		previous(h, r)
		if string(r.Body) != poisonBody {
			return
		}
		restarts := h.Upstream.Restarts()
		w.After(0, func() {
			if h.Upstream.Restarts() == restarts {
				crashUpstream(w, h)
			}
		})
	}
}

// crashUpstream restarts the upstream of h, which is slow at first.
func crashUpstream(w *sim.World, h *sim.Host) {
	h.CrashUpstream()
	h.Upstream.SlowFactor = crashSlowFactor
	w.After(crashSlowTime, func() { h.Upstream.SlowFactor = 1 })
}

// partition isolates the data centre dc0 from the others during the pressure.
func partition(w *sim.World, _ deployment, _ float64) {
	cut := false
	w.After(pressureStart-w.Now(), func() { cut = true })
	w.After(pressureEnd-w.Now(), func() { cut = false })
	w.Disconnected = func(a, b string) bool { return cut && a != b && (a == "dc0" || b == "dc0") }
}

// wakeInterval is the time between the ends of two pauses in case late_wake.
const wakeInterval = 500 * time.Millisecond

// lateWake pauses one node of each service at the same time and resumes them one by
// one, while callers resend unanswered requests.
func lateWake(w *sim.World, d deployment, _ float64) {
	const resends = 2
	addLoad(w, d, normalDemand/4, pressureStart, pressureEnd, resends)
	for i, service := range d.services {
		h := w.Host(idempotency.TargetName(service, 1))
		w.After(pressureStart-w.Now(), h.Pause)
		w.After(pressureEnd-time.Duration(i)*wakeInterval-w.Now(), h.Resume)
	}
}
