package measure

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"time"

	"github.com/shallotspool/shallotspool/core/engine"
	"github.com/shallotspool/shallotspool/harness/sim"
)

// normalDemand is the share of capacity that is asked for outside the pressure.
const normalDemand = 0.7

// scenarios are the cases by name.
var scenarios = map[string]scenario{
	"surge": {trigger: surge},
}

// surge multiplies the demand for the length of the pressure.
func surge(w *sim.World, d deployment, demand float64) {
	offer(w, d, demand-normalDemand, begin, end, 0)
}

// offer adds a share of capacity as demand, in the deployment's mix.
func offer(w *sim.World, d deployment, share float64, from, to time.Duration, resends int) {
	for _, l := range d.loads(share, from, to) {
		l.Resends = resends
		w.Offer(l)
	}
}

// loads returns the demand of a share of capacity, none for a share below zero.
func (d deployment) loads(share float64, from, to time.Duration) []sim.Load {
	if share <= 0 {
		return nil
	}
	rate := share * d.capacity
	return []sim.Load{
		{Route: d.reads, Rate: rate * (1 - d.important), From: from, To: to},
		{Route: d.writes, Rate: rate * d.important, From: from, To: to},
	}
}

// Run runs one case; examples is the folder of the example documents.
func Run(examples string, spec Spec) (Result, error) {
	d, ok := deployments[spec.Deployment]
	if !ok {
		return Result{}, fmt.Errorf("no deployment %q", spec.Deployment)
	}
	s, ok := scenarios[spec.scenario()]
	if !ok {
		return Result{}, fmt.Errorf("no case %q", spec.Case)
	}
	policy, err := policyOf(spec.Policy)
	if err != nil {
		return Result{}, err
	}
	text, err := documentText(filepath.Join(examples, d.document))
	if err != nil {
		return Result{}, err
	}
	if spec.Tree != "" {
		d, text = deepen(d, spec.Tree)
	}
	w, err := sim.NewWorld(sim.Setup{
		Seed: spec.Seed, Document: text, DataCentres: d.centres, Shape: d.shape, Parallel: d.parallel,
		Configure: func(c *engine.Config) { configure(c, policy) },
	})
	if err != nil {
		return Result{}, err
	}
	from := warm
	if spec.Tree != "" {
		from = treeWarm
	}
	if s.hard {
		offerHard(w, d, min(normalDemand, spec.Demand), from, tail)
	} else {
		offer(w, d, min(normalDemand, spec.Demand), from, tail, 0)
	}
	told := newWatch(w)
	s.trigger(w, d, spec.Demand)
	w.Run(tail + 5*time.Second)
	if s.able != nil {
		d.capacity *= s.able(d)
	}
	r := resultOf(w, d, spec)
	r.FalseNotRun = told.False
	return r, nil
}

var resendLine = regexp.MustCompile(`(?m)^resend_window:.*$`)

// documentText reads a document and shortens its resend window, so that the
// runs need not wait for long until nodes are older than it.
func documentText(path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return resendLine.ReplaceAll(text, []byte("resend_window: "+resendWindow.String())), nil
}

// staticLimit is the fixed limit of policy static, in calls.
const staticLimit = 100

func configure(c *engine.Config, p engine.Policy) {
	c.Policy = p
	switch {
	case p.Adaptive:
	case p.HopAttempts >= 3 && !p.Budget:
		c.Admission.Initial, c.Admission.Max = 1<<20, 1<<20
	default:
		c.Admission.Initial, c.Admission.Max = staticLimit, staticLimit
	}
}

func resultOf(w *sim.World, d deployment, spec Spec) Result {
	s := &w.Stats
	window := end - begin
	offered, answered := sum(s.OfferedAt, begin, end), sum(s.ReachedAt, begin, end)
	possible := min(float64(offered), d.capacity*window.Seconds())
	r := Result{Spec: spec, Depth: d.depth, Offered: offered, DoubleRuns: s.DoubleRuns, Mixed: s.Mixed}
	r.MaxAttempts, r.AttemptBudget = s.Attempts.Max, s.Attempts.MaxBudget
	r.Goodput = min(1, float64(answered)/possible)
	r.CutInFlight = s.Cut
	r.Recovery = recovery(s)
	r.ImportantRefuse, r.OtherRefuse = refusedRatios(w, d)
	if s.Worked > 0 {
		r.Wasted = 1 - s.Useful.Seconds()/s.Worked.Seconds()
	}
	return r
}

// refusedRatios returns the shares of the requests made in the pressure window
// that got no whole answer in time: of the class of the writes, and of all others.
func refusedRatios(w *sim.World, d deployment) (important, other float64) {
	top := w.Route(d.writes).Class
	var offered, refused [2]int
	for class, at := range w.Stats.OfferedBy {
		i := 1
		if class <= top {
			i = 0
		}
		offered[i] += sum(at, begin, end)
		refused[i] += sum(w.Stats.RefusedBy[class], begin, end)
	}
	return ratio(refused[0], offered[0]), ratio(refused[1], offered[1])
}

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

func sum(buckets []int, from, to time.Duration) int {
	total := 0
	for i := int(from / sim.Bucket); i < int(to/sim.Bucket) && i < len(buckets); i++ {
		total += buckets[i]
	}
	return total
}

// recovery is the time from the end of the pressure until every later window of
// half a second answers 0.95 of what it was offered.
func recovery(s *sim.Stats) time.Duration {
	const smooth = 500 * time.Millisecond
	recovered := tail - smooth
	for at := tail - smooth; at >= end; at -= sim.Bucket {
		if float64(sum(s.AnsweredAt, at, at+smooth)) < 0.95*float64(sum(s.OfferedAt, at, at+smooth)) {
			break
		}
		recovered = at
	}
	return recovered - end
}
