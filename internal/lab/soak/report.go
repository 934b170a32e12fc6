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

// Quantiles are quantiles of the lags of changes.
type Quantiles struct {
	Count           int
	P50, P99, Worst time.Duration
	NotSeen         int
}

// lagQuantiles returns the quantiles of the lags of changes that were applied without faults
// (faultFree) or during faults.
func (r *Result) lagQuantiles(faultFree bool) (q Quantiles) {
	var lags []time.Duration
	for _, lag := range r.Lags {
		if r.withoutFaults(lag.AckedAt, lag.AckedAt+lag.Took) != faultFree {
			continue
		}
		if !lag.Seen {
			q.NotSeen++
			continue
		}
		lags = append(lags, lag.Took)
	}
	slices.Sort(lags)
	if q.Count = len(lags); q.Count > 0 {
		at := func(share float64) time.Duration { return lags[min(int(share*float64(len(lags))), len(lags)-1)] }
		q.P50, q.P99, q.Worst = at(0.5), at(0.99), at(1)
	}
	return q
}

// withoutFaults reports whether no fault was active from 5 s before a span to its end.
func (r *Result) withoutFaults(from, to time.Duration) bool {
	const before = 5 * time.Second
	for _, fault := range r.Faults {
		if fault.From <= to && fault.To+before >= from {
			return false
		}
	}
	return true
}

// Print writes the result as text.
func (r *Result) Print(out io.Writer) {
	fmt.Fprintf(out, "seed %d: %d processes, %.0f s, %d faults; %d changes sent (%d invalid), %d acknowledged, the newest %d; %d requests (%d checked for the age of their configuration), %d reads, %d servers left\n",
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
	for _, faultFree := range []bool{true, false} {
		q := r.lagQuantiles(faultFree)
		fmt.Fprintf(out, "lag from acknowledgement to effect, %s: %d seen, p50 %v, p99 %v, max %v; %d not seen within 10 s\n",
			map[bool]string{true: "without faults", false: "during faults"}[faultFree], q.Count, q.P50.Round(time.Millisecond), q.P99.Round(time.Millisecond), q.Worst.Round(time.Millisecond), q.NotSeen)
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "program\tpeak MB\tpeak descriptors\tMB, first third\tMB, last third\tCPU ms per change, all its processes")
	for _, u := range r.Usage {
		fmt.Fprintf(table, "%s\t%.0f\t%d\t%.1f\t%.1f\t%.1f\n", u.Program, u.PeakMB, u.PeakFiles, u.FirstMB, u.LastMB, 1000*u.cpu/float64(max(r.Acknowledged, 1)))
	}
	table.Flush()
	fmt.Fprintf(out, "findings: %d\n", len(r.Findings))
	const maxPrinted = 20
	for _, f := range r.Findings[:min(len(r.Findings), maxPrinted)] {
		fmt.Fprintf(out, "  %s at %.3f s, %s %s: %s\n", f.Rule, f.At.Seconds(), f.Process, f.Request, f.What)
	}
	if len(r.Findings) > maxPrinted {
		fmt.Fprintf(out, "  and %d more\n", len(r.Findings)-maxPrinted)
	}
}

// Save writes the report as text and JSON, the plan and a chart into a directory. If there are
// findings, it also writes the record that they are based on.
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

// chart plots the lags of changes over time, with the faults as bars at the bottom.
func (r *Result) chart(file string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("seed %d: lag from acknowledgement to effect; bars: faults", r.Seed)
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
