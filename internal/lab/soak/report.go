package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"text/tabwriter"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Quantiles are of the lags of changes.
type Quantiles struct {
	Count           int
	P50, P99, Worst time.Duration
	NotSeen         int
}

// lagsWhile returns the quantiles of the lags of changes that were acknowledged in calm or not.
func (r *Result) lagsWhile(calm bool) (q Quantiles) {
	var took []time.Duration
	for _, lag := range r.Lags {
		if r.calmAt(lag.AckedAt, lag.AckedAt+lag.Took) != calm {
			continue
		}
		if !lag.Seen {
			q.NotSeen++
			continue
		}
		took = append(took, lag.Took)
	}
	slices.Sort(took)
	if q.Count = len(took); q.Count > 0 {
		at := func(share float64) time.Duration { return took[min(int(share*float64(len(took))), len(took)-1)] }
		q.P50, q.P99, q.Worst = at(0.5), at(0.99), at(1)
	}
	return q
}

// calmAt reports whether no fault struck from some seconds before a span to its end.
func (r *Result) calmAt(from, to time.Duration) bool {
	const before = 5 * time.Second
	for _, fault := range r.Faults {
		if fault.From <= to && fault.To+before >= from {
			return false
		}
	}
	return true
}

// Print writes a run as text.
func (r *Result) Print(out io.Writer) {
	fmt.Fprintf(out, "seed %d: %d processes, %.0f s, %d faults; %d changes sent (%d invalid), %d acknowledged, the newest %d; %d requests (%d judged for the age of their configuration), %d reads, %d servers left\n",
		r.Seed, r.Processes, r.LengthS, len(r.Plan.Faults), r.Sent, r.Invalid, r.Acknowledged, r.Newest, r.Requests, r.JudgedTimely, r.Reads, r.Leaves)
	statuses := make([]int, 0, len(r.Statuses))
	for status := range r.Statuses {
		statuses = append(statuses, status)
	}
	slices.Sort(statuses)
	fmt.Fprint(out, "answers:")
	for _, status := range statuses {
		fmt.Fprintf(out, " %d: %d", status, r.Statuses[status])
	}
	fmt.Fprintln(out)
	for _, calm := range []bool{true, false} {
		q := r.lagsWhile(calm)
		fmt.Fprintf(out, "from acknowledgement to in force, %s: %d seen, p50 %v, p99 %v, worst %v; %d not seen within 10 s\n",
			map[bool]string{true: "in calm", false: "beside faults"}[calm], q.Count, q.P50.Round(time.Millisecond), q.P99.Round(time.Millisecond), q.Worst.Round(time.Millisecond), q.NotSeen)
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "program\tpeak MB\tpeak descriptors\tMB, first third\tMB, last third\tCPU ms a change, all processes of it")
	for _, u := range r.Usage {
		fmt.Fprintf(table, "%s\t%.0f\t%d\t%.1f\t%.1f\t%.1f\n", u.Program, u.PeakMB, u.PeakFiles, u.FirstMB, u.LastMB, 1000*u.cpu/float64(max(r.Acknowledged, 1)))
	}
	table.Flush()
	fmt.Fprintf(out, "findings: %d\n", len(r.Findings))
	const most = 20
	for _, f := range r.Findings[:min(len(r.Findings), most)] {
		fmt.Fprintf(out, "  %s at %.3f s, %s %s: %s\n", f.Rule, f.At.Seconds(), f.Process, f.Request, f.What)
	}
	if len(r.Findings) > most {
		fmt.Fprintf(out, "  and %d more\n", len(r.Findings)-most)
	}
}

// Save writes the report, its figures, the plan and a chart below a folder, and what findings
// rest on.
func (r *Result) Save(dir string) error {
	write := func(name string, f func(io.Writer) error) error {
		file, err := os.Create(filepath.Join(dir, name))
		if err != nil {
			return err
		}
		defer file.Close()
		return f(file)
	}
	if err := write("report.txt", func(w io.Writer) error { r.Print(w); return nil }); err != nil {
		return err
	}
	if err := write("report.json", func(w io.Writer) error { return json.NewEncoder(w).Encode(r) }); err != nil {
		return err
	}
	if err := write("plan.toml", r.Plan.Write); err != nil {
		return err
	}
	if len(r.Findings) > 0 {
		if err := write("record.json", func(w io.Writer) error { return json.NewEncoder(w).Encode(r.record) }); err != nil {
			return err
		}
	}
	return r.chart(filepath.Join(dir, "lag.svg"))
}

const (
	chartWidth  = 10 * vg.Inch
	chartHeight = 4 * vg.Inch
)

// chart draws how long changes took over time, with the faults as bars at the bottom.
func (r *Result) chart(file string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("seed %d: from acknowledgement to in force; bars: faults", r.Seed)
	p.X.Label.Text, p.Y.Label.Text = "seconds", "ms"
	var points plotter.XYs
	for _, lag := range r.Lags {
		points = append(points, plotter.XY{X: lag.AckedAt.Seconds(), Y: float64(lag.Took.Milliseconds())})
	}
	if len(points) > 0 {
		scatter, err := plotter.NewScatter(points)
		if err != nil {
			return err
		}
		p.Add(scatter)
	}
	for _, fault := range r.Faults {
		bar, err := plotter.NewLine(plotter.XYs{{X: fault.From.Seconds(), Y: 0}, {X: fault.To.Seconds(), Y: 0}})
		if err != nil {
			return err
		}
		bar.Width = vg.Points(4)
		p.Add(bar)
	}
	return p.Save(chartWidth, chartHeight, file)
}
