package report

// This file draws the charts of a run as SVG text with gonum/plot.

import (
	"bytes"
	"fmt"
	"image/color"
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/font"
	"gonum.org/v1/plot/palette"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"saddleport/internal/lab/record"
)

const (
	chartWidth  = 17 * vg.Centimeter
	chartHeight = 6.2 * vg.Centimeter
)

// colours is a palette that colour-blind readers can distinguish (Okabe and Ito 2008).
var colours = []color.Color{
	color.RGBA{0, 114, 178, 255}, color.RGBA{213, 94, 0, 255}, color.RGBA{0, 158, 115, 255}, color.RGBA{204, 121, 167, 255},
	color.RGBA{230, 159, 0, 255}, color.RGBA{86, 180, 233, 255}, color.RGBA{90, 90, 90, 255},
}

func colour(i int) color.Color { return colours[i%len(colours)] }

// curve is one curve of a chart.
type curve struct {
	name   string
	points plotter.XYs
	dashed bool
}

func newPlot(title, x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.Title.TextStyle.Font.Size = font.Length(11)
	p.X.Label.Text, p.Y.Label.Text = x, y
	p.Legend.Top = true
	p.Legend.TextStyle.Font.Size = font.Length(9)
	p.Add(plotter.NewGrid())
	return p
}

// svg draws a plot as an <svg> element that can be embedded in a page.
func svg(p *plot.Plot, h vg.Length) (string, error) {
	c := vgsvg.NewWith(vgsvg.UseWH(chartWidth, h))
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", err
	}
	text := b.Bytes()
	if i := bytes.Index(text, []byte("<svg")); i > 0 {
		text = text[i:]
	}
	return string(text), nil
}

func drawCurves(title, y string, minY, maxY float64, lines []curve, events []record.Event) (string, error) {
	p := newPlot(title, "seconds", y)
	top := minY
	for i, l := range lines {
		if len(l.points) == 0 {
			continue
		}
		for _, xy := range l.points {
			top = max(top, xy.Y)
		}
		c, err := plotter.NewLine(l.points)
		if err != nil {
			return "", err
		}
		c.Color, c.Width = colour(i), vg.Points(1.4)
		if l.dashed {
			c.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
		}
		p.Add(c)
		p.Legend.Add(l.name, c)
	}
	p.Y.Min = minY
	if p.Y.Max = top * 1.5; maxY > 0 {
		p.Y.Max = maxY
	}
	if p.Y.Max <= p.Y.Min {
		p.Y.Max = p.Y.Min + 1
	}
	markEvents(p, events)
	return svg(p, chartHeight)
}

// markEvents draws a vertical line at each event, at most one per second and 40 in
// all.
func markEvents(p *plot.Plot, events []record.Event) {
	seen := make(map[int]bool)
	for _, e := range events {
		at := int(e.At / time.Second)
		if seen[at] || len(seen) >= 40 {
			continue
		}
		seen[at] = true
		l, err := plotter.NewLine(plotter.XYs{{X: e.At.Seconds(), Y: p.Y.Min}, {X: e.At.Seconds(), Y: p.Y.Max}})
		if err != nil {
			continue
		}
		l.Color, l.Width, l.Dashes = color.Gray{150}, vg.Points(0.7), []vg.Length{vg.Points(1), vg.Points(2)}
		p.Add(l)
	}
}

// bucket sums the queries that were due in one interval of a run.
type bucket struct {
	value, earned            float64
	asked, refused, failed   float64
	tries, attempts, partial float64
	hist                     *hdrhistogram.Histogram
}

// bucketQueries groups a run's queries by the time that they were due. The width of
// the buckets grows with the run, so that a chart has at most 240 points.
func bucketQueries(r *record.Run, class string) (list []bucket, width time.Duration) {
	width = time.Second
	for r.Length/width > 240 {
		width *= 2
	}
	n := int((r.Length + width - 1) / width)
	list = make([]bucket, max(n, 1))
	for i := range list {
		list[i].hist = hdrhistogram.New(1, int64(20*time.Minute/time.Microsecond), 2)
	}
	for _, q := range r.Queries {
		i := int(time.Duration(q.Due) * time.Microsecond / width)
		if i < 0 || i >= len(list) || class != "" && q.Class != class {
			continue
		}
		b := &list[i]
		b.value, b.earned = b.value+q.Value, b.earned+q.Earned
		b.asked++
		b.tries += float64(q.Tries)
		b.attempts += float64(q.Attempts)
		switch q.Outcome {
		case "answered":
			b.hist.RecordValue(max(q.Took, 1))
			if !q.Whole {
				b.partial++
			}
		case "refused":
			b.refused++
		default:
			b.failed++
		}
	}
	return list, width
}

func series(list []bucket, width time.Duration, value func(*bucket) (float64, bool)) plotter.XYs {
	var out plotter.XYs
	for i := range list {
		if y, ok := value(&list[i]); ok {
			out = append(out, plotter.XY{X: (time.Duration(i)*width + width/2).Seconds(), Y: y})
		}
	}
	return out
}

func bucketGoodput(b *bucket) (float64, bool) { return b.earned / max(b.value, 1e-9), b.value > 0 }

// goodput draws value earned divided by value requested, by due time.
func goodput(r *record.Run) (string, error) {
	all, width := bucketQueries(r, "")
	lines := []curve{{name: "all", points: series(all, width, bucketGoodput)}}
	for _, c := range r.Classes {
		list, width := bucketQueries(r, c.Name)
		lines = append(lines, curve{name: c.Name, points: series(list, width, bucketGoodput), dashed: true})
	}
	return drawCurves("Goodput: value earned divided by value requested", "share", 0, 1.6, lines, r.Events)
}

// latency draws percentiles of the time from a query's due time to its answer.
func latency(r *record.Run) (string, error) {
	list, width := bucketQueries(r, "")
	at := func(p float64) func(*bucket) (float64, bool) {
		return func(b *bucket) (float64, bool) {
			return float64(b.hist.ValueAtQuantile(p)) / 1000, b.hist.TotalCount() > 0
		}
	}
	var lines []curve
	for _, p := range []float64{50, 90, 99} {
		lines = append(lines, curve{name: fmt.Sprintf("p%v", p), points: series(list, width, at(p))})
	}
	return drawCurves("Latency of answers, from the due time", "ms", 0, 0, lines, r.Events)
}

// load draws the rates of queries, of client attempts and of their outcomes.
func load(r *record.Run) (string, error) {
	list, width := bucketQueries(r, "")
	per := func(f func(*bucket) float64) plotter.XYs {
		return series(list, width, func(b *bucket) (float64, bool) { return f(b) / width.Seconds(), true })
	}
	return drawCurves("Queries, client attempts and outcomes, per second", "per second", 0, 0, []curve{
		{name: "asked", points: per(func(b *bucket) float64 { return b.asked })},
		{name: "tries", points: per(func(b *bucket) float64 { return b.tries }), dashed: true},
		{name: "refused", points: per(func(b *bucket) float64 { return b.refused })},
		{name: "failed or left", points: per(func(b *bucket) float64 { return b.failed })},
		{name: "partial answers", points: per(func(b *bucket) float64 { return b.partial })},
	}, r.Events)
}

// attempts draws the rates of parts that servers took, served, failed and rejected.
func attempts(r *record.Run) (string, error) {
	n := int(r.Length / time.Second)
	taken, served, failed, busy := make(plotter.XYs, n), make(plotter.XYs, n), make(plotter.XYs, n), make(plotter.XYs, n)
	for i := range n {
		x := float64(i) + 0.5
		taken[i].X, served[i].X, failed[i].X, busy[i].X = x, x, x, x
	}
	for _, s := range r.Seconds {
		if i := int(s.Second); i < n {
			taken[i].Y += float64(s.Taken)
			served[i].Y += float64(s.Served)
			failed[i].Y += float64(s.Failed)
			busy[i].Y += float64(s.Busy)
		}
	}
	return drawCurves("Parts at all servers, per second", "per second", 0, 0, []curve{{name: "taken", points: taken}, {name: "served", points: served, dashed: true},
		{name: "failed", points: failed}, {name: "rejected", points: busy}}, r.Events)
}

// value draws the share of its value that each class earned.
func value(r *record.Run) (string, error) {
	if len(r.Classes) == 0 {
		return "", nil
	}
	p := newPlot("Value by class", "", "share of the value requested")
	var names []string
	var earned plotter.Values
	for _, c := range r.Classes {
		names = append(names, c.Name)
		earned = append(earned, c.Goodput)
	}
	bars, err := plotter.NewBarChart(earned, vg.Points(40))
	if err != nil {
		return "", err
	}
	bars.Color = colour(0)
	p.Add(bars)
	p.NominalX(names...)
	p.Y.Min, p.Y.Max = 0, 1.08
	return svg(p, chartHeight)
}

// grid is a heat map's data: a row for each server, a column for each second.
type grid struct {
	cols, rows int
	at         []float64
}

func (g *grid) Dims() (c, r int)   { return g.cols, g.rows }
func (g *grid) Z(c, r int) float64 { return g.at[r*g.cols+c] }
func (g *grid) X(c int) float64    { return float64(c) + 0.5 }
func (g *grid) Y(r int) float64    { return float64(r) }

// maxRows bounds the rows of a heat map. With more servers, several adjacent servers
// share a row, which shows the largest of their values.
const maxRows = 160

// queueDepth draws the largest number of parts that each server had running and
// queued, by second. A server that is down is white.
func queueDepth(r *record.Run) (string, error) {
	var names []string
	row := make(map[string]int)
	for _, s := range r.Seconds {
		if _, ok := row[s.Server]; !ok {
			row[s.Server] = len(names)
			names = append(names, s.Server)
		}
	}
	if len(names) == 0 {
		return "", nil
	}
	per := (len(names) + maxRows - 1) / maxRows
	g := &grid{cols: max(int(r.Length/time.Second), 1), rows: (len(names) + per - 1) / per}
	g.at = make([]float64, g.cols*g.rows)
	maxDepth := 1.0
	for i := range g.at {
		g.at[i] = math.NaN()
	}
	for _, s := range r.Seconds {
		if i := int(s.Second); i < g.cols && s.Up {
			at := &g.at[row[s.Server]/per*g.cols+i]
			if v := float64(s.Held); math.IsNaN(*at) || v > *at {
				*at = v
			}
			maxDepth = max(maxDepth, float64(s.Held))
		}
	}
	p := newPlot(fmt.Sprintf("Most parts running and queued, by server and second (darkest: %.0f; white: down)", maxDepth), "seconds", "server")
	h := plotter.NewHeatMap(g, reversed{palette.Heat(24, 1)})
	h.Min, h.Max, h.NaN = 0, maxDepth, color.White
	p.Add(h)
	var ticks []plot.Tick
	for i := 0; i < g.rows; i++ {
		if i%max(g.rows/12, 1) == 0 {
			ticks = append(ticks, plot.Tick{Value: float64(i), Label: names[i*per]})
		}
	}
	p.Y.Tick.Marker = plot.ConstantTicks(ticks)
	return svg(p, max(chartHeight, vg.Length(g.rows)*vg.Points(3)+2*vg.Centimeter))
}

// reversed is a palette from light to dark.
type reversed struct{ palette.Palette }

func (r reversed) Colors() []color.Color {
	c := slices.Clone(r.Palette.Colors())
	slices.Reverse(c)
	return c
}
