package report

import (
	"html/template"
	"io"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrNoData means that the input has neither result lines nor refusal metrics.
var ErrNoData = errors.New("no result lines (case=...) and no refusals (" + refusedMetric + ") in these files")

var pageTemplate = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>shallotspool report</title>
<style>
body { font: 15px/1.5 sans-serif; max-width: 60em; margin: 2em auto; padding: 0 1em; color: #222; }
table { border-collapse: collapse; margin: 1em 0; }
th, td { border: 1px solid #bbb; padding: .2em .6em; text-align: right; }
th:first-child, td:first-child { text-align: left; }
svg { max-width: 100%; height: auto; }
</style>
</head>
<body>
<h1>shallotspool report</h1>
{{range .Plots}}<figure>{{.}}</figure>
{{end}}{{if .Rows}}<h2>Runs, mean over seeds</h2>
<table>
<tr><th>case</th><th>deployment</th><th>demand</th><th>policy</th><th>goodput</th><th>recovery, s</th><th>important refused</th><th>other refused</th><th>wasted work</th></tr>
{{range .Rows}}<tr><td>{{.Case}}</td><td>{{.Deployment}}</td><td>{{.Demand}}</td><td>{{.Policy}}</td><td>{{printf "%.3f" .Goodput}}</td><td>{{printf "%.1f" .RecoverySeconds}}</td><td>{{printf "%.4f" .ImportantRefused}}</td><td>{{printf "%.4f" .OtherRefused}}</td><td>{{printf "%.3f" .Wasted}}</td></tr>
{{end}}</table>
{{end}}</body>
</html>
`))

type pageData struct {
	Plots []template.HTML
	Rows  []Run
}

// WriteHTML writes the HTML page. It returns ErrNoData if the input has no data.
func (in *Input) WriteHTML(w io.Writer) error {
	if len(in.Runs) == 0 && len(in.Refusals) == 0 {
		return ErrNoData
	}
	plots, err := in.drawPlots()
	if err != nil {
		return err
	}
	data := pageData{Plots: plots, Rows: averageOverSeeds(in.Runs)}
	return errors.Wrap(pageTemplate.Execute(w, data), "write page")
}

func (in *Input) drawPlots() ([]template.HTML, error) {
	var all []template.HTML
	runs := withoutAblations(in.Runs)
	policies := distinct(runs, func(r Run) string { return r.Policy })
	for _, deployment := range distinct(runs, func(r Run) string { return r.Deployment }) {
		for _, name := range distinct(runs, func(r Run) string { return r.Case }) {
			s := goodputSeries(runs, name, deployment)
			if len(s) == 0 {
				continue
			}
			p, err := drawLineChart("Goodput: "+name+", "+deployment, "demand / capacity", "goodput", s)
			if err != nil {
				return nil, err
			}
			all = append(all, p)
		}
		p, err := drawBarChart("Recovery: "+deployment, "seconds", policies, recoveryGroups(runs, deployment, policies))
		if err != nil {
			return nil, err
		}
		all = append(all, p)
	}
	if len(in.Refusals) == 0 {
		return all, nil
	}
	reasons := distinct(in.Refusals, func(c RefusalCount) string { return c.Reason })
	p, err := drawBarChart("Refusals by class", "requests", reasons, refusalGroups(in.Refusals, reasons))
	return append(all, p), err
}

// withoutAblations returns the runs whose policy is not an ablation, that is policy
// full without one mechanism. Ablations, whose names contain a hyphen, appear only
// in the table.
func withoutAblations(runs []Run) []Run {
	return slices.DeleteFunc(slices.Clone(runs), func(r Run) bool { return strings.Contains(r.Policy, "-") })
}

// averageOverSeeds returns one row of means for each set of runs that differ only
// in their seed.
func averageOverSeeds(runs []Run) []Run {
	type key struct {
		name, deployment, policy string
		demand                   float64
	}
	index := map[key]int{}
	counts := []float64{}
	var rows []Run
	for _, r := range runs {
		k := key{r.Case, r.Deployment, r.Policy, r.Demand}
		i, ok := index[k]
		if !ok {
			index[k] = len(rows)
			rows, counts = append(rows, r), append(counts, 1)
			continue
		}
		counts[i]++
		rows[i].moveTowards(r, 1/counts[i])
	}
	return rows
}

// moveTowards moves each measured value of r towards that of other by the given
// weight; a weight of 1/n adds the n-th sample to a running mean.
func (r *Run) moveTowards(other Run, weight float64) {
	r.Goodput += (other.Goodput - r.Goodput) * weight
	r.RecoverySeconds += (other.RecoverySeconds - r.RecoverySeconds) * weight
	r.ImportantRefused += (other.ImportantRefused - r.ImportantRefused) * weight
	r.OtherRefused += (other.OtherRefused - r.OtherRefused) * weight
	r.Wasted += (other.Wasted - r.Wasted) * weight
}
