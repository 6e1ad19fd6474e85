package load

import (
	"image/color"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"heathershed/internal/contract"
)

// Dimensions of the plot.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
	lineWidth  = vg.Length(1.2)
)

// Colours of the lines and of the area that marks a trigger.
var (
	offeredColour = color.NRGBA{R: 130, G: 130, B: 130, A: 255}
	notRunColour  = color.NRGBA{R: 230, G: 140, B: 0, A: 255}
	otherColour   = color.NRGBA{R: 200, G: 0, B: 0, A: 255}
	triggerColour = color.NRGBA{R: 255, G: 225, B: 200, A: 255}
	classColours  = [contract.NumClasses]color.NRGBA{
		{R: 0, G: 90, B: 200, A: 255},
		{R: 0, G: 150, B: 170, A: 255},
		{R: 0, G: 140, B: 40, A: 255},
	}
)

// WritePlot writes a plot of the run over time to file. The file name's
// extension selects the format, such as .svg.
func (r *Result) WritePlot(file string) error {
	p := plot.New()
	p.Title.Text = r.Profile + ", " + r.Policy
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "requests a second, by arrival"
	p.Y.Min = 0
	p.Legend.Top = true
	top := 0.0
	for _, point := range r.Series {
		top = max(top, point.Offered)
	}
	for _, t := range r.Triggers {
		if err := shadeTrigger(p, t, top); err != nil {
			return err
		}
	}
	lines := []struct {
		name   string
		colour color.Color
		value  func(Point) float64
	}{
		{"offered", offeredColour, func(q Point) float64 { return q.Offered }},
		{"not run", notRunColour, func(q Point) float64 { return q.NotRun }},
		{"other", otherColour, func(q Point) float64 { return q.Other }},
	}
	for c := range contract.NumClasses {
		lines = append(lines, struct {
			name   string
			colour color.Color
			value  func(Point) float64
		}{"whole: " + contract.Class(c).String(), classColours[c], func(q Point) float64 { return q.Complete[c] }})
	}
	for _, l := range lines {
		if err := addLine(p, r.Series, l.name, l.colour, l.value); err != nil {
			return err
		}
	}
	return errors.Wrap(p.Save(plotWidth, plotHeight, file), "plot")
}

func addLine(p *plot.Plot, points []Point, name string, c color.Color, value func(Point) float64) error {
	xys := make(plotter.XYs, 0, len(points))
	for _, q := range points {
		xys = append(xys, plotter.XY{X: q.AtS, Y: value(q)})
	}
	line, err := plotter.NewLine(xys)
	if err != nil {
		return errors.Wrap(err, "plot")
	}
	line.Color, line.Width = c, lineWidth
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}

// shadeTrigger shades the time during which a trigger was active.
func shadeTrigger(p *plot.Plot, t Recovery, top float64) error {
	area, err := plotter.NewPolygon(plotter.XYs{
		{X: t.FromS, Y: 0}, {X: t.ToS, Y: 0}, {X: t.ToS, Y: top}, {X: t.FromS, Y: top},
	})
	if err != nil {
		return errors.Wrap(err, "plot")
	}
	area.Color = triggerColour
	area.LineStyle.Width = 0
	p.Add(area)
	return nil
}
