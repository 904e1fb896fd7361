// Package soak runs long randomised schedules of faults against the decisions
// under virtual time and checks what must always hold, both with the program's
// own assertions and from outside. One seed always gives the same run.
package soak

import (
	"fmt"
	"io"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc/iter"

	"github.com/shallotspool/shallotspool/core/engine"
	"github.com/shallotspool/shallotspool/core/spread"
	"github.com/shallotspool/shallotspool/harness/sim"
)

// Options choose the seeds From to From+Seeds-1.
type Options struct {
	Seeds, From uint64
	// Faults breaks the nodes on purpose; tests use it.
	Faults *engine.Faults
}

// Report is what one seed showed.
type Report struct {
	Seed       uint64
	Steps      uint64
	Faults     int
	Sends      int
	Answered   int
	Violations []string
}

// Run runs one seed.
func Run(seed uint64, broken *engine.Faults) (Report, error) {
	shape := sim.Shape{Slots: 8, Time: 10 * time.Millisecond}
	w, err := sim.NewWorld(sim.Setup{
		Seed: seed, Document: documentText(1), DataCentres: 3,
		Shape: map[string]sim.Shape{"shop": shape, "stock": shape, "pay": shape},
		Configure: func(c *engine.Config) {
			c.Faults = broken
			c.Admission.Initial = 8
			c.AskPeers = spread.DefaultAsk
		},
	})
	if err != nil {
		return Report{}, err
	}
	check := newChecker(w)
	check.strict = seed%4 == 0
	c := &callers{w: w, check: check}
	f := &injector{w: w, callers: c, check: check, version: 1}
	f.start()
	c.demand()
	w.Run(runTo)
	check.end()
	return check.report(seed, f.count), nil
}

// demand lets requests come until the rest.
func (c *callers) demand() {
	const mean = 20 * time.Millisecond
	var next func()
	next = func() {
		if c.w.Now() >= restAt {
			return
		}
		c.make(kinds[c.w.Random.IntN(len(kinds))], "")
		c.w.After(time.Duration(c.w.Random.ExpFloat64()*float64(mean)), next)
	}
	c.w.After(faultsFrom-2*time.Second, next)
}

func (c *checker) report(seed uint64, faults int) Report {
	r := Report{Seed: seed, Steps: c.w.Stats.Steps, Faults: faults, Sends: len(c.sends), Violations: c.found}
	for _, s := range c.sends {
		if s.reply != nil && s.reply.Outcome == engine.OutcomeAnswered {
			r.Answered++
		}
	}
	return r
}

// maxShown is the number of violations printed for one seed.
const maxShown = 5

// All runs the seeds of o and prints the result line to out, and progress and
// violations to progress. It fails when any seed shows a violation.
func All(o Options, out, progress io.Writer) error {
	seeds := make([]uint64, o.Seeds)
	for i := range seeds {
		seeds[i] = o.From + uint64(i)
	}
	var done atomic.Int64
	mapper := iter.Mapper[uint64, Report]{MaxGoroutines: runtime.GOMAXPROCS(0)}
	reports, err := mapper.MapErr(seeds, func(seed *uint64) (Report, error) {
		r, err := Run(*seed, o.Faults)
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
			if i < maxShown {
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
