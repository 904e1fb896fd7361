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
	// labelRotation is in radians. The labels are rotated because the names of
	// cases are wider than their bars.
	labelRotation = math.Pi / 7
	// labelMargin prevents clipping of the labels at the ends of the axes.
	labelMargin = 0.4 * vg.Centimeter
	// legendPadding is the space between a legend entry and its symbol.
	legendPadding = 0.1 * vg.Centimeter
	// barHeadroom is the height of the y axis as a multiple of the highest bar;
	// the space above the bars holds the legend.
	barHeadroom = 1.4
	// goodputAxisMax is the top of the y axis. Goodput is at most 1; the space
	// above holds the legend.
	goodputAxisMax = 1.4
)

// drawLineChart renders a chart with one line per series. x and y are the axis
// labels.
func drawLineChart(title, x, y string, all []series) (template.HTML, error) {
	p := newPlot(title, x, y)
	p.Y.Min, p.Y.Max = 0, goodputAxisMax
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
	return renderSVG(p)
}

// drawBarChart renders a chart of grouped bars. Each group has one bar per name.
func drawBarChart(title, y string, names []string, groups []barGroup) (template.HTML, error) {
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
	return renderSVG(p)
}

func newPlot(title, x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Legend.Top, p.Legend.Left, p.Legend.Padding = true, true, legendPadding
	p.Add(plotter.NewGrid())
	return p
}

// renderSVG renders p as an svg element for embedding in an HTML page.
func renderSVG(p *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.Crop(draw.New(canvas), 0, -labelMargin, 0, -labelMargin))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", errors.Wrap(err, "render plot")
	}
	text := out.Bytes()
	if start := bytes.Index(text, []byte("<svg")); start > 0 {
		text = text[start:]
	}
	// The plotting library escapes the labels, so its output is safe HTML.
	return template.HTML(text), nil
}
