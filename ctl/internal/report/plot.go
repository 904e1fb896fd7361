package report

import (
	"bytes"
	"html/template"
	"math"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
	barWidth   = 0.35 * vg.Centimeter
	// labelRotation is in radians; names of cases are longer than their bars.
	labelRotation = math.Pi / 7
	// margin keeps the labels at the axes' ends inside the picture.
	margin = 0.4 * vg.Centimeter
	// legendPadding separates a legend entry from its mark.
	legendPadding = 0.1 * vg.Centimeter
	// barHeadroom leaves room for the legend above the highest bar.
	barHeadroom = 1.4
	// goodputAxis leaves room for the legend above a goodput of 1.
	goodputAxis = 1.4
)

// lines draws one line for each series.
func lines(title, x, y string, all []series) (template.HTML, error) {
	p := newPlot(title, x, y)
	p.Y.Min, p.Y.Max = 0, goodputAxis
	for i, s := range all {
		xys := make(plotter.XYs, len(s.points))
		for j, pt := range s.points {
			xys[j].X, xys[j].Y = pt.x, pt.y
		}
		line, marks, err := plotter.NewLinePoints(xys)
		if err != nil {
			return "", errors.Wrapf(err, "plot %q", title)
		}
		line.Color, marks.Color = plotutil.Color(i), plotutil.Color(i)
		marks.Shape = plotutil.Shape(i)
		p.Add(line, marks)
		p.Legend.Add(s.name, line, marks)
	}
	return svg(p)
}

// bars draws one group of bars for each group, one bar for each of names.
func bars(title, y string, names []string, groups []group) (template.HTML, error) {
	p := newPlot(title, "", y)
	p.Y.Min = 0
	for i, name := range names {
		values := make(plotter.Values, len(groups))
		for j, g := range groups {
			values[j] = g.values[i]
		}
		chart, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return "", errors.Wrapf(err, "plot %q", title)
		}
		chart.Color = plotutil.Color(i)
		chart.Offset = barWidth * vg.Length(float64(i)-float64(len(names)-1)/2)
		p.Add(chart)
		p.Legend.Add(name, chart)
	}
	p.Y.Max *= barHeadroom
	labels := make([]string, len(groups))
	for i, g := range groups {
		labels[i] = g.name
	}
	p.NominalX(labels...)
	p.X.Tick.Label.Rotation = labelRotation
	p.X.Tick.Label.XAlign, p.X.Tick.Label.YAlign = draw.XRight, draw.YTop
	return svg(p)
}

func newPlot(title, x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Legend.Top, p.Legend.Left, p.Legend.Padding = true, true, legendPadding
	p.Add(plotter.NewGrid())
	return p
}

// svg renders p for use inside an HTML page.
func svg(p *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.Crop(draw.New(canvas), 0, -margin, 0, -margin))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", errors.Wrap(err, "render plot")
	}
	text := out.Bytes()
	if start := bytes.Index(text, []byte("<svg")); start > 0 {
		text = text[start:]
	}
	// The text is the plotting library's own output: labels are escaped there.
	return template.HTML(text), nil
}
