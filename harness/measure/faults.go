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

// faultSpecs returns the runs of the cases poison, partition and late_wake.
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
	c := &notRunChecker{ranSends: map[string]bool{}, notRunSends: map[string]bool{}}
	w.OnRun = func(h *sim.Host, r *engine.Request) { c.recordRun(r) }
	w.OnReply = c.recordReply
	return c
}

// recordRun records that a send, which the header identifies as KEY#NUMBER, ran. It
// ignores calls made by upstreams, whose headers are those of the caller's send but
// whose keys differ.
func (c *notRunChecker) recordRun(r *engine.Request) {
	send := string(r.Header)
	if !strings.HasPrefix(send, r.Key+"#") {
		return
	}
	if c.notRunSends[send] && !c.ranSends[send] {
		c.violations++
	}
	c.ranSends[send] = true
}

// recordReply records that the caller was told that a send did not run.
func (c *notRunChecker) recordReply(_ *sim.Host, r *engine.Request, reply engine.Reply) {
	send := string(r.Header)
	if reply.Outcome != engine.OutcomeNotRun {
		return
	}
	if c.ranSends[send] && !c.notRunSends[send] {
		c.violations++
	}
	c.notRunSends[send] = true
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
// upstream that runs them. It extends the OnRun of the notRunChecker, which must
// have been created before.
func poison(w *sim.World, d deployment, _ float64) {
	w.AddLoad(sim.Load{Route: d.writeRoute, Rate: poisonRate, From: disturbanceStart, To: disturbanceEnd, Body: poisonBody})
	previous := w.OnRun
	w.OnRun = func(h *sim.Host, r *engine.Request) {
		previous(h, r)
		if string(r.Body) != poisonBody {
			return
		}
		restarts := h.Upstream.Restarts()
		// The crash follows the current step of the node. An upstream that was
		// restarted meanwhile does not run the request any more.
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

// partition isolates the data centre dc0 from the others during the disturbance.
func partition(w *sim.World, _ deployment, _ float64) {
	partitioned := false
	w.After(disturbanceStart-w.Now(), func() { partitioned = true })
	w.After(disturbanceEnd-w.Now(), func() { partitioned = false })
	w.Disconnected = func(a, b string) bool { return partitioned && a != b && (a == "dc0" || b == "dc0") }
}

// wakeInterval is the time between the ends of two pauses in case late_wake.
const wakeInterval = 500 * time.Millisecond

// lateWake pauses one node of each service at the same time and resumes them one by
// one, while callers resend unanswered requests.
func lateWake(w *sim.World, d deployment, _ float64) {
	const resends = 2
	addLoad(w, d, normalDemand/4, disturbanceStart, disturbanceEnd, resends)
	for i, service := range d.services {
		h := w.Host(idempotency.TargetName(service, 1))
		w.After(disturbanceStart-w.Now(), h.Pause)
		w.After(disturbanceEnd-time.Duration(i)*wakeInterval-w.Now(), h.Resume)
	}
}
