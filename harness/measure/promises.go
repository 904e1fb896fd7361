package measure

import (
	"strings"
	"time"

	"github.com/shallotspool/shallotspool/core/engine"
	"github.com/shallotspool/shallotspool/core/owner"
	"github.com/shallotspool/shallotspool/harness/sim"
)

func init() {
	scenarios["poison"] = scenario{trigger: poison}
	scenarios["partition"] = scenario{trigger: partition}
	scenarios["late_wake"] = scenario{trigger: lateWake}
}

// promiseSpecs returns the runs of the cases of faults that are no overload.
func promiseSpecs(seeds []uint64) []Spec {
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

// watch counts the sends that ran though their caller was told they had not.
type watch struct {
	ran   map[string]bool
	told  map[string]bool
	False int
}

func newWatch(w *sim.World) *watch {
	s := &watch{ran: map[string]bool{}, told: map[string]bool{}}
	w.OnRun = func(h *sim.Host, r *engine.Request) { s.run(r) }
	w.OnReply = s.reply
	return s
}

func (s *watch) run(r *engine.Request) {
	send := string(r.Header)
	if !strings.HasPrefix(send, r.Key+"#") {
		return
	}
	if s.told[send] && !s.ran[send] {
		s.False++
	}
	s.ran[send] = true
}

func (s *watch) reply(_ *sim.Host, r *engine.Request, reply engine.Reply) {
	send := string(r.Header)
	if reply.Outcome != engine.OutcomeNotRun {
		return
	}
	if s.ran[send] && !s.told[send] {
		s.False++
	}
	s.told[send] = true
}

const (
	// poisonBody is the body of a request that crashes what runs it.
	poisonBody = "poison"
	// poisonRate is in requests per second, each under a new key.
	poisonRate = 5
	// coldFor is how long an upstream is slow after a crash, coldFactor by how
	// much.
	coldFor    = time.Second
	coldFactor = 10
)

// poison adds a request that crashes each upstream that runs it, sent again and
// again under new keys.
func poison(w *sim.World, d deployment, _ float64) {
	w.Offer(sim.Load{Route: d.writes, Rate: poisonRate, From: begin, To: end, Body: poisonBody})
	before := w.OnRun
	w.OnRun = func(h *sim.Host, r *engine.Request) {
		before(h, r)
		if string(r.Body) != poisonBody {
			return
		}
		epoch := h.Upstream.Epoch()
		w.After(0, func() {
			if h.Upstream.Epoch() == epoch {
				crash(w, h)
			}
		})
	}
}

func crash(w *sim.World, h *sim.Host) {
	h.Crash()
	h.Upstream.Slow = coldFactor
	w.After(coldFor, func() { h.Upstream.Slow = 1 })
}

// partition cuts the first data centre off from the others.
func partition(w *sim.World, _ deployment, _ float64) {
	cut := false
	w.After(begin-w.Now(), func() { cut = true })
	w.After(end-w.Now(), func() { cut = false })
	w.Cut = func(a, b string) bool { return cut && a != b && (a == "dc0" || b == "dc0") }
}

// wakeEvery is the time between two nodes that wake.
const wakeEvery = 500 * time.Millisecond

// lateWake pauses one node of each service at once; they wake one by one. Their
// callers send again what had no answer.
func lateWake(w *sim.World, d deployment, _ float64) {
	const resends = 2
	offer(w, d, normalDemand/4, begin, end, resends)
	for i, service := range d.chain {
		h := w.Host(owner.TargetName(service, 1))
		w.After(begin-w.Now(), h.Pause)
		w.After(end-time.Duration(i)*wakeEvery-w.Now(), h.Resume)
	}
}
