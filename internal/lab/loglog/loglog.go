// Package loglog draws how something grows with size: microseconds on two logarithmic
// axes. It owns the form of such a chart. It must never draw a value that was not measured.
package loglog

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// least is what a value of nothing is drawn at: a logarithm has no 0.
const least = 0.01

// Line is one line: microseconds by size.
type Line struct {
	Name   string
	Values []float64
}

// Save draws lines over sizes into a file (.png or .svg).
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
			xy[i] = plotter.XY{X: float64(n), Y: max(l.Values[i], least)}
		}
		all = append(all, l.Name, xy)
	}
	if err := plotutil.AddLinePoints(p, all...); err != nil {
		return err
	}
	return p.Save(6*vg.Inch, 4*vg.Inch, file)
}
