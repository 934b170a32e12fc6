// Package bench measures the simulation, by size of the cluster, and the capacity of one
// proxy on real sockets, and prints the tables. It never prints a figure that it did not
// measure in that call.
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

// Size holds the measurements at one size.
type Size struct {
	Servers       int
	Proxies       int     `json:"Mixers"`
	QueriesS      float64 // queries per second of virtual time
	PartsS        float64
	Virtual, Wall time.Duration
	Events        int64
	HeapMiB       int64 // highest of the samples of the heap in use
	Deciding      time.Duration
	Goodput       float64
}

// Sizes holds the measurements of all sizes.
type Sizes struct{ Rows []Size }

// perServer is the load at each server in parts a second, the same at all sizes.
const perServer = 10.0

// timedDecider adds up the time that a decider takes.
type timedDecider struct {
	exchange.Decider
	spent *time.Duration
}

func (t timedDecider) Step(now choice.Micros, events []choice.Event) []choice.Action {
	started := time.Now()
	out := t.Decider.Step(now, events)
	*t.spent += time.Since(started)
	return out
}

// scenarioText returns a scenario with the given number of servers and the same load per server
// at every size.
func scenarioText(servers, proxies int, length time.Duration) string {
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
`, length, proxies, cells, 4*cells, rate)
}

// Scale measures the virtual drive on one core. The profile file gets a CPU profile of the
// run with 1600 servers and 20 proxies.
func Scale(ctx context.Context, length time.Duration, profile string, progress func(float64, string)) (*Sizes, error) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	t := &Sizes{}
	sizes := [][2]int{{16, 3}, {160, 3}, {160, 20}, {1600, 3}, {1600, 20}, {1600, 100}, {5000, 20}, {5000, 100}}
	for i, n := range sizes {
		progress(float64(i)/float64(len(sizes)), fmt.Sprintf("%d servers, %d proxies", n[0], n[1]))
		row, err := scaleRow(ctx, n[0], n[1], length, map[bool]string{true: profile}[n[0] == 1600 && n[1] == 20])
		if err != nil {
			return nil, err
		}
		t.Rows = append(t.Rows, *row)
	}
	return t, nil
}

func scaleRow(ctx context.Context, servers, proxies int, length time.Duration, profile string) (*Size, error) {
	doc, err := scenario.Parse("scale.ini", []byte(scenarioText(servers, proxies, length)))
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
	row := &Size{Servers: servers, Proxies: proxies, Virtual: length}
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
	sampled := time.Now()
	run, err := virtual.Run(ctx, plan, virtual.Options{Decide: func(w *virtual.World, proxy, incarnation int, seed uint64, set choice.Settings) (exchange.Decider, error) {
		d, err := virtual.ProxyDecider(w, proxy, incarnation, seed, set)
		return timedDecider{d, &row.Deciding}, err
	}, Progress: func(_, _ time.Duration, _ int64) {
		if time.Since(sampled) > 200*time.Millisecond {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			row.HeapMiB, sampled = max(row.HeapMiB, int64(m.HeapInuse>>20)), time.Now()
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
	fmt.Fprintln(t, "servers\tproxies\tqueries/s\tparts/s\tvirtual\twall\ttimes real\tevents\tevents/s\tdeciding\theap MiB\tgoodput\t")
	for _, r := range s.Rows {
		fmt.Fprintf(t, "%d\t%d\t%.0f\t%.0f\t%v\t%.2f s\t%.1f\t%d\t%.0f\t%.0f%%\t%d\t%.3f\t\n", r.Servers, r.Proxies, r.QueriesS, r.PartsS, r.Virtual, r.Wall.Seconds(),
			r.Virtual.Seconds()/r.Wall.Seconds(), r.Events, float64(r.Events)/r.Wall.Seconds(), 100*r.Deciding.Seconds()/r.Wall.Seconds(), r.HeapMiB, r.Goodput)
	}
	return t.Flush()
}

// Chart draws the machine time per second of virtual time over the load.
func (s *Sizes) Chart(file string) error {
	p := plot.New()
	p.Title.Text = "Virtual drive on one core, 10 parts a second at each server"
	p.X.Label.Text, p.Y.Label.Text = "parts a second", "seconds of machine time per second of virtual time"
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
