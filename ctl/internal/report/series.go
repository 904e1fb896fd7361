package report

import (
	"cmp"
	"slices"
)

// point is the mean y of count samples that have the same x.
type point struct {
	x, y  float64
	count int
}

// series is the line of one policy in a chart.
type series struct {
	name   string
	points []point
}

// goodputSeries returns one series of goodput over demand for each policy, from
// the runs of one case and one deployment.
func goodputSeries(runs []Run, caseName, deployment string) []series {
	var all []series
	for _, r := range runs {
		if r.Case != caseName || r.Deployment != deployment {
			continue
		}
		i := slices.IndexFunc(all, func(s series) bool { return s.name == r.Policy })
		if i < 0 {
			all = append(all, series{name: r.Policy})
			i = len(all) - 1
		}
		all[i].addSample(r.Demand, r.Goodput)
	}
	for i := range all {
		slices.SortFunc(all[i].points, func(a, b point) int { return cmp.Compare(a.x, b.x) })
	}
	return all
}

// addSample updates the mean at x, or adds a point if there is none.
func (s *series) addSample(x, y float64) {
	i := slices.IndexFunc(s.points, func(p point) bool { return p.x == x })
	if i < 0 {
		s.points = append(s.points, point{x: x, y: y, count: 1})
		return
	}
	p := &s.points[i]
	p.count++
	p.y += (y - p.y) / float64(p.count)
}

// barGroup is a labelled group of adjacent bars, with one value per series.
type barGroup struct {
	name   string
	values []float64
}

// recoveryGroups returns one group per case with the mean recovery time in
// seconds of each policy, for one deployment.
func recoveryGroups(runs []Run, deployment string, policies []string) []barGroup {
	var groups []barGroup
	for _, name := range distinct(runs, func(r Run) string { return r.Case }) {
		g := barGroup{name: name}
		for _, policy := range policies {
			g.values = append(g.values, meanRecovery(runs, name, deployment, policy))
		}
		groups = append(groups, g)
	}
	return groups
}

// meanRecovery returns the mean recovery time in seconds, 0 if there are no runs.
func meanRecovery(runs []Run, caseName, deployment, policy string) float64 {
	total, n := 0.0, 0
	for _, r := range runs {
		if r.Case == caseName && r.Deployment == deployment && r.Policy == policy {
			total += r.RecoverySeconds
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return total / float64(n)
}

// refusalGroups returns one group per class with the refusals of each reason,
// summed over all nodes.
func refusalGroups(refusals []RefusalCount, reasons []string) []barGroup {
	var groups []barGroup
	for _, class := range distinct(refusals, func(c RefusalCount) string { return c.Class }) {
		g := barGroup{name: class, values: make([]float64, len(reasons))}
		for _, c := range refusals {
			if c.Class == class {
				g.values[slices.Index(reasons, c.Reason)] += c.Value
			}
		}
		groups = append(groups, g)
	}
	return groups
}

// distinct returns the distinct values of key in order of first appearance.
func distinct[T any](list []T, key func(T) string) []string {
	var values []string
	for _, item := range list {
		if k := key(item); !slices.Contains(values, k) {
			values = append(values, k)
		}
	}
	return values
}
