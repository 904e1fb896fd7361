// Package soak runs randomised schedules of faults against simulated nodes under
// virtual time. Violations are reported by the engine's own assertions and by checks
// of what callers and upstreams observe. A seed always gives the same run.
package soak

import (
	"fmt"
	"io"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc/iter"

	"github.com/shallotspool/shallotspool/core/engine"
	"github.com/shallotspool/shallotspool/core/replication"
	"github.com/shallotspool/shallotspool/harness/sim"
)

// Options configure a soak: it runs the seeds From to From+Seeds-1.
type Options struct {
	Seeds, From uint64
	// EngineFaults are faults built into the engine, nil for none; tests use them to
	// show that violations are detected.
	EngineFaults *engine.Faults
}

// Report is the result of one seed.
type Report struct {
	Seed       uint64
	Steps      uint64 // engine steps over all nodes
	Faults     int    // scheduled faults, of which some have no effect
	Sends      int    // sends of callers' requests, including resends
	Answered   int    // sends that received a response of an upstream
	Violations []string
}

// RunSeed runs one seed. engineFaults holds the faults built into the engine, nil
// for none.
func RunSeed(seed uint64, engineFaults *engine.Faults) (Report, error) {
	upstream := sim.UpstreamConfig{Slots: 8, WorkTime: 10 * time.Millisecond}
	w, err := sim.NewWorld(sim.Config{
		Seed: seed, Document: documentText(1), DataCentres: 3,
		Upstreams: map[string]sim.UpstreamConfig{"shop": upstream, "stock": upstream, "pay": upstream},
		ConfigureNode: func(c *engine.Config) {
			c.Faults = engineFaults
			c.Admission.Initial = 8
			c.PeerQueryTimeout = replication.DefaultPeerQueryTimeout
		},
	})
	if err != nil {
		return Report{}, err
	}
	checker := newChecker(w)
	checker.reliableNetwork = seed%4 == 0 // these seeds check the bound on crashes
	c := &callers{world: w, checker: checker}
	f := &injector{world: w, callers: c, checker: checker, documentVersion: 1}
	f.scheduleFaults()
	c.generateLoad()
	w.RunUntil(runEnd)
	checker.checkFinalState()
	return checker.buildReport(seed, f.faultCount), nil
}

// generateLoad starts new requests at random times, from 2 s before faultsStart
// until loadEnd.
func (c *callers) generateLoad() {
	const meanInterval = 20 * time.Millisecond
	var next func()
	next = func() {
		if c.world.Now() >= loadEnd {
			return
		}
		c.sendNewRequest(requestKinds[c.world.Random.IntN(len(requestKinds))], "")
		c.world.After(time.Duration(c.world.Random.ExpFloat64()*float64(meanInterval)), next)
	}
	c.world.After(faultsStart-2*time.Second, next)
}

// buildReport returns the report of the run.
func (c *checker) buildReport(seed uint64, faults int) Report {
	r := Report{Seed: seed, Steps: c.world.Stats.NodeEvents, Faults: faults, Sends: len(c.sends), Violations: c.violations}
	for _, s := range c.sends {
		if s.reply != nil && s.reply.Outcome == engine.OutcomeAnswered {
			r.Answered++
		}
	}
	return r
}

// maxPrintedViolations is the largest number of violations printed for one seed.
const maxPrintedViolations = 5

// RunSeeds runs the seeds of o in parallel. It prints the result line to out, progress
// and violations to progress, and returns an error if any seed shows a violation.
func RunSeeds(o Options, out, progress io.Writer) error {
	seeds := make([]uint64, o.Seeds)
	for i := range seeds {
		seeds[i] = o.From + uint64(i)
	}
	var done atomic.Int64
	mapper := iter.Mapper[uint64, Report]{MaxGoroutines: runtime.GOMAXPROCS(0)}
	reports, err := mapper.MapErr(seeds, func(seed *uint64) (Report, error) {
		r, err := RunSeed(*seed, o.EngineFaults)
		if n := done.Add(1); n%10 == 0 {
			_, _ = fmt.Fprintf(progress, "%d of %d seeds\n", n, len(seeds))
		}
		return r, err
	})
	if err != nil {
		return err
	}
	return summarize(reports, out, progress)
}

// summarize prints the violations and the totals of all reports and returns an error if
// there is a violation.
func summarize(reports []Report, out, progress io.Writer) error {
	var sum Report
	violations, sends := 0, 0
	for _, r := range reports {
		sum.Steps += r.Steps
		sum.Faults += r.Faults
		sum.Answered += r.Answered
		sends += r.Sends
		violations += len(r.Violations)
		for i, v := range r.Violations {
			if i < maxPrintedViolations {
				_, _ = fmt.Fprintf(progress, "seed=%d %s; replay with: make soak SEEDS=1 FROM=%d\n", r.Seed, v, r.Seed)
			}
		}
	}
	_, _ = fmt.Fprintf(progress, "%d of %d sends were answered\n", sum.Answered, sends)
	_, err := fmt.Fprintf(out, "seeds=%d steps=%d faults=%d violations=%d\n", len(reports), sum.Steps, sum.Faults, violations)
	if err == nil && violations > 0 {
		err = fmt.Errorf("soak: %d violations", violations)
	}
	return err
}
