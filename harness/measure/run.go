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

// normalDemand is the demand outside the disturbance, as a multiple of capacity.
const normalDemand = 0.7

// scenarios holds the scenarios by name. The files of the other cases add theirs in
// init functions.
var scenarios = map[string]scenario{
	"surge": {start: addExcessLoad},
}

// addExcessLoad raises the demand from normalDemand to demand during the
// disturbance. The additional callers do not resend.
func addExcessLoad(w *sim.World, d deployment, demand float64) {
	addLoad(w, d, demand-normalDemand, disturbanceStart, disturbanceEnd, 0)
}

// addLoad adds load in the deployment's mix of reads and writes; demand is a
// multiple of capacity. Callers resend an unanswered request up to resends times.
func addLoad(w *sim.World, d deployment, demand float64, from, to time.Duration, resends int) {
	for _, l := range d.loads(demand, from, to) {
		l.MaxResends = resends
		w.AddLoad(l)
	}
}

// loads returns the reads and writes that make up a demand, which is a multiple of
// capacity; none if the demand is not positive.
func (d deployment) loads(demand float64, from, to time.Duration) []sim.Load {
	if demand <= 0 {
		return nil
	}
	rate := demand * d.capacity
	return []sim.Load{
		{Route: d.readRoute, Rate: rate * (1 - d.writeShare), From: from, To: to},
		{Route: d.writeRoute, Rate: rate * d.writeShare, From: from, To: to},
	}
}

// Run executes one run. examples is the directory of the example documents.
func Run(examples string, spec Spec) (Result, error) {
	d, ok := deployments[spec.Deployment]
	if !ok {
		return Result{}, fmt.Errorf("unknown deployment %q", spec.Deployment)
	}
	s, ok := scenarios[spec.scenarioName()]
	if !ok {
		return Result{}, fmt.Errorf("unknown case %q", spec.Case)
	}
	policy, err := policyByName(spec.Policy)
	if err != nil {
		return Result{}, err
	}
	text, err := readDocument(filepath.Join(examples, d.documentFile))
	if err != nil {
		return Result{}, err
	}
	if spec.CallTree != "" {
		d, text = generateTree(d, spec.CallTree)
	}
	w, err := sim.NewWorld(sim.Config{
		Seed: spec.Seed, Document: text, DataCentres: d.dataCentres, Upstreams: d.upstreams, ParallelCalls: d.parallelCalls,
		ConfigureNode: func(c *engine.Config) { configureNode(c, policy) },
	})
	if err != nil {
		return Result{}, err
	}
	from := loadStart
	if spec.CallTree != "" {
		from = treeLoadStart
	}
	if s.callersResend {
		addResendingLoad(w, d, min(normalDemand, spec.Demand), from, loadEnd)
	} else {
		addLoad(w, d, min(normalDemand, spec.Demand), from, loadEnd, 0)
	}
	checker := newNotRunChecker(w)
	s.start(w, d, spec.Demand)
	// Requests that are open at loadEnd have 5 s to end.
	w.RunUntil(loadEnd + 5*time.Second)
	if s.capacityShare != nil {
		d.capacity *= s.capacityShare(d)
	}
	r := newResult(w, d, spec)
	r.FalseNotRun = checker.violations
	return r, nil
}

var resendWindowLine = regexp.MustCompile(`(?m)^resend_window:.*$`)

// readDocument reads a document and shortens its resend window, so that the nodes
// of a run are soon older than it.
func readDocument(path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return resendWindowLine.ReplaceAll(text, []byte("resend_window: "+resendWindow.String())), nil
}

// staticLimit is the fixed concurrency limit of policy static, in calls.
const staticLimit = 100

// configureNode sets the policy of a node and the concurrency limit that belongs
// to it: adaptive, too high to have an effect for policy none, or fixed. Policy
// none is recognised by its three attempts per hop without a retry budget.
func configureNode(c *engine.Config, p engine.Policy) {
	c.Policy = p
	switch {
	case p.AdaptiveLimit:
	case p.MaxAttemptsPerHop >= 3 && !p.RetryBudget:
		c.Admission.Initial, c.Admission.Max = 1<<20, 1<<20
	default:
		c.Admission.Initial, c.Admission.Max = staticLimit, staticLimit
	}
}

// newResult computes the result of a finished simulation.
func newResult(w *sim.World, d deployment, spec Spec) Result {
	s := &w.Stats
	window := disturbanceEnd - disturbanceStart
	offered, answered := sumBuckets(s.OfferedByTime, disturbanceStart, disturbanceEnd), sumBuckets(s.DeliveredByTime, disturbanceStart, disturbanceEnd)
	possible := min(float64(offered), d.capacity*window.Seconds())
	r := Result{Spec: spec, Depth: d.chainDepth, Offered: offered, DoubleRuns: s.DoubleRuns, MixedAnswers: s.MixedAnswers}
	r.MaxAttempts, r.AttemptBudget = s.Attempts.MaxAttempts, s.Attempts.AttemptBudget
	r.Goodput = min(1, float64(answered)/possible)
	r.CutInFlight = s.CutInFlight
	r.RecoveryTime = recoveryTime(s)
	r.ImportantRefused, r.OtherRefused = refusedRatios(w, d)
	if s.UpstreamTime > 0 {
		r.WastedWork = 1 - s.UsefulTime.Seconds()/s.UpstreamTime.Seconds()
	}
	return r
}

// refusedRatios returns the ratios of requests made during the disturbance that got
// no answer in time: of the class of the writes and more important ones, and of all
// other classes.
func refusedRatios(w *sim.World, d deployment) (important, other float64) {
	writeClass := w.Route(d.writeRoute).Class
	var offered, refused [2]int
	for class, at := range w.Stats.OfferedByClass {
		i := 1
		if class <= writeClass {
			i = 0
		}
		offered[i] += sumBuckets(at, disturbanceStart, disturbanceEnd)
		refused[i] += sumBuckets(w.Stats.RefusedByClass[class], disturbanceStart, disturbanceEnd)
	}
	return ratio(refused[0], offered[0]), ratio(refused[1], offered[1])
}

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// sumBuckets returns the number of requests in the buckets between two times.
func sumBuckets(buckets []int, from, to time.Duration) int {
	total := 0
	for i := int(from / sim.BucketTime); i < int(to/sim.BucketTime) && i < len(buckets); i++ {
		total += buckets[i]
	}
	return total
}

// recoveryTime returns the time from the end of the disturbance after which at
// least 0.95 of the requests made in every window of half a second are answered.
// If there is no such time, it returns the time until the last window of the
// load.
func recoveryTime(s *sim.Stats) time.Duration {
	const window = 500 * time.Millisecond
	recovered := loadEnd - window
	for at := loadEnd - window; at >= disturbanceEnd; at -= sim.BucketTime {
		if float64(sumBuckets(s.AnsweredByTime, at, at+window)) < 0.95*float64(sumBuckets(s.OfferedByTime, at, at+window)) {
			break
		}
		recovered = at
	}
	return recovered - disturbanceEnd
}
