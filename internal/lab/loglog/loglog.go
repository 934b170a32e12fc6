// Package loglog draws charts of microseconds over a size, with two logarithmic axes. It draws
// only values that it is given.
package loglog

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// minValue replaces smaller values, because 0 has no logarithm.
const minValue = 0.01

// Line is one line of the chart: microseconds by size.
type Line struct {
	Name   string
	Values []float64
}

// Save draws lines over sizes to a file (.png or .svg). what labels the sizes.
func Save(file, title, what string, sizes []int, lines ...Line) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text, p.Y.Label.Text = what, "microseconds"
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	p.Legend.Top, p.Legend.Left = true, true
	p.Add(plotter.NewGrid())
	var all []any
	for _, l := range lines {
		xy := make(plotter.XYs, len(sizes))
		for i, n := range sizes {
			xy[i] = plotter.XY{X: float64(n), Y: max(l.Values[i], minValue)}
		}
		all = append(all, l.Name, xy)
	}
	if err := plotutil.AddLinePoints(p, all...); err != nil {
		return err
	}
	return p.Save(6*vg.Inch, 4*vg.Inch, file)
}
