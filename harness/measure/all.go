package measure

import (
	"fmt"
	"io"
	"runtime"
	"runtime/debug"
	"strings"

	"github.com/sourcegraph/conc/iter"
)

// Options selects the runs. The zero value selects all of them.
type Options struct {
	// Seed replaces the default seeds 1, 2 and 3 unless it is 0.
	Seed       uint64
	Case       string
	Policy     string
	Deployment string
}

// matches tells whether o selects a run.
func (o Options) matches(s Spec) bool {
	return (o.Case == "" || o.Case == s.Case) &&
		(o.Policy == "" || o.Policy == s.Policy) &&
		(o.Deployment == "" || o.Deployment == s.Deployment)
}

// applyAblation replaces policy full by the ablation that o selects, so that any
// mechanism can be disabled in any case.
func (o Options) applyAblation(s Spec) Spec {
	if strings.HasPrefix(o.Policy, ablationPrefix) && s.Policy == "full" {
		s.Policy = o.Policy
	}
	return s
}

func (o Options) seeds() []uint64 {
	if o.Seed != 0 {
		return []uint64{o.Seed}
	}
	return []uint64{1, 2, 3}
}

// AllSpecs returns all runs of make measure in the order of their result lines.
func AllSpecs(seeds []uint64) []Spec {
	var specs []Spec
	for _, deployment := range []string{"comics", "charter"} {
		for _, demand := range []float64{0.7, 1.5, 3, 10} {
			for _, policy := range []string{"none", "static", "full"} {
				for _, seed := range seeds {
					specs = append(specs, Spec{Case: "surge", Policy: policy, Deployment: deployment, Demand: demand, Seed: seed})
				}
			}
		}
	}
	specs = append(specs, overloadSpecs(seeds)...)
	specs = append(specs, lossSpecs(seeds)...)
	specs = append(specs, faultSpecs(seeds)...)
	return append(specs, restartSpecs(seeds)...)
}

// gcPercent is the garbage collection target in percent of the live heap. It is
// above the default of 100 because the runs allocate many short-lived objects and
// need little memory.
const gcPercent = 800

// RunAll executes the runs that o selects and prints their result lines to out. It
// writes a dot to progress after each run.
func RunAll(examples string, o Options, out, progress io.Writer) error {
	defer debug.SetGCPercent(debug.SetGCPercent(gcPercent))
	var specs []Spec
	seen := map[Spec]bool{}
	for _, s := range AllSpecs(o.seeds()) {
		s = o.applyAblation(s)
		if o.matches(s) && !seen[s] {
			seen[s] = true
			specs = append(specs, s)
		}
	}
	mapper := iter.Mapper[Spec, Result]{MaxGoroutines: runtime.GOMAXPROCS(0)}
	results, err := mapper.MapErr(specs, func(s *Spec) (Result, error) {
		r, err := Run(examples, *s)
		_, _ = fmt.Fprint(progress, ".")
		return r, err
	})
	_, _ = fmt.Fprintln(progress)
	if err != nil {
		return err
	}
	for _, r := range results {
		if _, err := fmt.Fprintln(out, r); err != nil {
			return err
		}
	}
	return nil
}
