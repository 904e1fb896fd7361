package report

import (
	"cmp"
	"slices"
)

// point is the mean of the runs that share an x.
type point struct {
	x, y float64
	n    int
}

// series is one policy's line.
type series struct {
	name   string
	points []point
}

// goodputSeries returns each policy's goodput against demand, in one case of
// one deployment.
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
		all[i].add(r.Demand, r.Goodput)
	}
	for i := range all {
		slices.SortFunc(all[i].points, func(a, b point) int { return cmp.Compare(a.x, b.x) })
	}
	return all
}

func (s *series) add(x, y float64) {
	i := slices.IndexFunc(s.points, func(p point) bool { return p.x == x })
	if i < 0 {
		s.points = append(s.points, point{x: x, y: y, n: 1})
		return
	}
	p := &s.points[i]
	p.n++
	p.y += (y - p.y) / float64(p.n)
}

// group is one bar group: a name and one value for each of the plot's series.
type group struct {
	name   string
	values []float64
}

// recoveryGroups returns the mean recovery time of each case, for the given
// policies, in one deployment.
func recoveryGroups(runs []Run, deployment string, policies []string) []group {
	var groups []group
	for _, name := range distinct(runs, func(r Run) string { return r.Case }) {
		g := group{name: name}
		for _, policy := range policies {
			g.values = append(g.values, meanRecovery(runs, name, deployment, policy))
		}
		groups = append(groups, g)
	}
	return groups
}

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

// refusalGroups returns the refusals of each class, summed over nodes, with one
// value for each of reasons.
func refusalGroups(counters []Counter, reasons []string) []group {
	var groups []group
	for _, class := range distinct(counters, func(c Counter) string { return c.Class }) {
		g := group{name: class, values: make([]float64, len(reasons))}
		for _, c := range counters {
			if c.Class == class {
				g.values[slices.Index(reasons, c.Reason)] += c.Value
			}
		}
		groups = append(groups, g)
	}
	return groups
}

// distinct returns the values of key in order of first appearance.
func distinct[T any](list []T, key func(T) string) []string {
	var seen []string
	for _, item := range list {
		if k := key(item); !slices.Contains(seen, k) {
			seen = append(seen, k)
		}
	}
	return seen
}
