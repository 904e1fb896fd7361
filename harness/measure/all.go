package measure

import (
	"fmt"
	"io"
	"runtime"
	"runtime/debug"
	"strings"

	"github.com/sourcegraph/conc/iter"
)

// Options narrow what is run; the zero value runs everything.
type Options struct {
	// Seed replaces the usual three, unless it is 0.
	Seed       uint64
	Case       string
	Policy     string
	Deployment string
}

func (o Options) takes(s Spec) bool {
	return (o.Case == "" || o.Case == s.Case) &&
		(o.Policy == "" || o.Policy == s.Policy) &&
		(o.Deployment == "" || o.Deployment == s.Deployment)
}

// ablate turns a run of policy full into one of the ablation that o asks for, so
// that any mechanism can be left out of any case.
func (o Options) ablate(s Spec) Spec {
	if strings.HasPrefix(o.Policy, ablation) && s.Policy == "full" {
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

// Specs returns every run of make measure, in the order of its lines.
func Specs(seeds []uint64) []Spec {
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
	specs = append(specs, pressureSpecs(seeds)...)
	specs = append(specs, lossSpecs(seeds)...)
	specs = append(specs, promiseSpecs(seeds)...)
	return append(specs, controlSpecs(seeds)...)
}

// collectPercent lets the heap grow further than usual between collections: the
// runs make much that lives shortly, and memory is not what they wait for.
const collectPercent = 800

// All runs what o takes and prints its lines to out, and progress to progress.
func All(examples string, o Options, out, progress io.Writer) error {
	defer debug.SetGCPercent(debug.SetGCPercent(collectPercent))
	var specs []Spec
	seen := map[Spec]bool{}
	for _, s := range Specs(o.seeds()) {
		s = o.ablate(s)
		if o.takes(s) && !seen[s] {
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
