// Package bench measures the rig and the mixer: what virtual time costs by size, and
// what one mixer does on real sockets. It owns the measuring and its tables. It must
// never print a figure that it did not measure in that call.
package bench

import (
	"context"
	"fmt"
	"io"
	"os"
	"runtime"
	"runtime/debug"
	"runtime/pprof"
	"text/tabwriter"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"saddleport/choice"
	"saddleport/internal/exchange"
	"saddleport/internal/lab/scenario"
	"saddleport/internal/lab/virtual"
)

// Size is one row of the table.
type Size struct {
	Servers, Proxies int
	QueriesS         float64 // a second of virtual time
	PartsS           float64
	Virtual, Wall    time.Duration
	Events           int64
	HeapMiB          int64 // live after the run's last collection, at most
	Deciding         time.Duration
	Goodput          float64
}

// Sizes is the table.
type Sizes struct{ Rows []Size }

// perServer is the load that stays constant: parts a second at each server.
const perServer = 10.0

// timed measures what deciding takes.
type timed struct {
	exchange.Decider
	spent *time.Duration
}

func (t timed) Step(now choice.Micros, events []choice.Event) []choice.Action {
	begun := time.Now()
	out := t.Decider.Step(now, events)
	*t.spent += time.Since(begun)
	return out
}

// text is a scenario of so many servers under the same load a server.
func text(servers, mixers int, length time.Duration) string {
	cells := servers / 4
	rate := float64(servers) * perServer / 8 // queries of eight parts
	return fmt.Sprintf(`[scenario]
name   = scale
length = %v
warmup = 1s
[mixers]
count = %d
[fleet]
cells    = %d
replicas = 4
shards   = %d
cores    = 1
[class trip-report]
rate     = %g
parts    = 8
work     = lognormal 15ms 0.5
aim      = 800ms
patience = 3s
`, length, mixers, cells, 4*cells, rate)
}

// Scale measures the virtual drive on one core.
func Scale(ctx context.Context, length time.Duration, profile string, progress func(float64, string)) (*Sizes, error) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	t := &Sizes{}
	sizes := [][2]int{{16, 3}, {160, 3}, {160, 20}, {1600, 3}, {1600, 20}, {1600, 100}, {5000, 20}, {5000, 100}}
	for i, n := range sizes {
		progress(float64(i)/float64(len(sizes)), fmt.Sprintf("%d servers, %d mixers", n[0], n[1]))
		row, err := scaleRow(ctx, n[0], n[1], length, map[bool]string{true: profile}[n[0] == 1600 && n[1] == 20])
		if err != nil {
			return nil, err
		}
		t.Rows = append(t.Rows, *row)
	}
	return t, nil
}

func scaleRow(ctx context.Context, servers, mixers int, length time.Duration, profile string) (*Size, error) {
	doc, err := scenario.Text("scale.ini", []byte(text(servers, mixers, length)))
	if err != nil {
		return nil, err
	}
	s, err := doc.Scenario(nil)
	if err != nil {
		return nil, err
	}
	plan, err := s.Plan(1)
	if err != nil {
		return nil, err
	}
	debug.FreeOSMemory()
	row := &Size{Servers: servers, Proxies: mixers, Virtual: length}
	if profile != "" {
		f, err := os.Create(profile)
		if err != nil {
			return nil, err
		}
		defer f.Close()
		if err := pprof.StartCPUProfile(f); err != nil {
			return nil, err
		}
		defer pprof.StopCPUProfile()
	}
	looked := time.Now()
	run, err := virtual.Run(ctx, plan, virtual.Options{Decide: func(w *virtual.World, mixer, life int, seed uint64, set choice.Settings) (exchange.Decider, error) {
		d, err := virtual.Mixer(w, mixer, life, seed, set)
		return timed{d, &row.Deciding}, err
	}, Progress: func(_, _ time.Duration, _ int64) {
		if time.Since(looked) > 200*time.Millisecond {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			row.HeapMiB, looked = max(row.HeapMiB, int64(m.HeapInuse>>20)), time.Now()
		}
	}})
	if err != nil {
		return nil, err
	}
	row.Wall, row.Events, row.Goodput = run.Machine.Wall, run.Machine.Events, run.Summary.Goodput
	row.QueriesS, row.PartsS = float64(run.Summary.Queries)/length.Seconds(), float64(run.Summary.Parts)/length.Seconds()
	return row, nil
}

// Print writes the table.
func (s *Sizes) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "servers\tmixers\tqueries/s\tparts/s\tvirtual\twall\ttimes real\tevents\tevents/s\tdeciding\theap MiB\tgoodput\t")
	for _, r := range s.Rows {
		fmt.Fprintf(t, "%d\t%d\t%.0f\t%.0f\t%v\t%.2f s\t%.1f\t%d\t%.0f\t%.0f%%\t%d\t%.3f\t\n", r.Servers, r.Proxies, r.QueriesS, r.PartsS, r.Virtual, r.Wall.Seconds(),
			r.Virtual.Seconds()/r.Wall.Seconds(), r.Events, float64(r.Events)/r.Wall.Seconds(), 100*r.Deciding.Seconds()/r.Wall.Seconds(), r.HeapMiB, r.Goodput)
	}
	return t.Flush()
}

// Chart draws how the cost grows.
func (s *Sizes) Chart(file string) error {
	p := plot.New()
	p.Title.Text = "Virtual drive on one core, 10 parts a second at each server"
	p.X.Label.Text, p.Y.Label.Text = "parts a second", "seconds of machine a second of virtual time"
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	var xy plotter.XYs
	for _, r := range s.Rows {
		xy = append(xy, plotter.XY{X: r.PartsS, Y: r.Wall.Seconds() / r.Virtual.Seconds()})
	}
	dots, err := plotter.NewScatter(xy)
	if err != nil {
		return err
	}
	labels := plotter.XYLabels{XYs: xy}
	for _, r := range s.Rows {
		labels.Labels = append(labels.Labels, fmt.Sprintf(" %d/%d", r.Servers, r.Proxies))
	}
	names, err := plotter.NewLabels(labels)
	if err != nil {
		return err
	}
	real, err := plotter.NewLine(plotter.XYs{{X: xy[0].X, Y: 1}, {X: xy[len(xy)-1].X * 2, Y: 1}})
	if err != nil {
		return err
	}
	real.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	p.Add(plotter.NewGrid(), dots, names, real)
	p.Legend.Add("servers/mixers", dots)
	p.Legend.Add("as fast as real time", real)
	p.Legend.Top, p.Legend.Left = true, true
	return p.Save(16*vg.Centimeter, 9*vg.Centimeter, file)
}
