package measure

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"saddleport/internal/lab/show"
)

const barWidth = 40

// Command returns the command line of the measurements.
func Command() *cobra.Command {
	root := &cobra.Command{Use: "measure", Short: "Measure the system's state machines in memory, in virtual time"}
	root.AddCommand(coreCommand(), cutCommand(), catchUpCommand(), capacityCommand(), gossipCommand(), rejoinCommand(), outlierCommand(), quotaCommand())
	return root
}

// row is one line of a result. Times are in milliseconds.
type row struct {
	What string  `json:"what"`
	P50  float64 `json:"p50_ms"`
	P99  float64 `json:"p99_ms"`
	Most float64 `json:"most_ms"`
	Runs int     `json:"runs"`
	Not  int     `json:"not_within_a_minute"`
}

func newRow(what string, s Spans, never int) row {
	f := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	return row{what, f(s.At(0.5)), f(s.At(0.99)), f(s.At(1)), len(s) + never, never}
}

// chart prints rows with bars: '=' up to the median, '-' up to the 99th percentile.
func chart(out io.Writer, rows []row) {
	most := 1.0
	for _, r := range rows {
		most = max(most, r.P99)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "what\tp50\tp99\tmax\truns\t")
	for _, r := range rows {
		mid, end := int(barWidth*r.P50/most), int(barWidth*r.P99/most)
		not := ""
		if r.Not > 0 {
			not = fmt.Sprintf(" (%d not within a minute)", r.Not)
		}
		fmt.Fprintf(w, "%s\t%.0f ms\t%.0f ms\t%.0f ms\t%d%s\t%s\n", r.What, r.P50, r.P99, r.Most, r.Runs, not, strings.Repeat("=", mid)+strings.Repeat("-", end-mid))
	}
	w.Flush()
}

func writeJSON(out io.Writer, v any) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

func coreCommand() *cobra.Command {
	p := CorePlan{Machines: 3, Faults: 1, Runs: 100, Seed: 1, Delays: DefaultDelays}
	var asJSON bool
	cmd := &cobra.Command{Use: "core", Short: "Measure how long nothing is acknowledged after each loss of a core machine", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if p.Machines < 3 || p.Machines > 15 || p.Faults < 0 || 2*p.Faults+1 > p.Machines || p.Runs < 1 {
				return errors.New("--machines: 3 to 15, and more than twice --faults; --runs: at least 1")
			}
			var rows []row
			for _, g := range MeasureCore(p) {
				rows = append(rows, newRow(string(g.Loss), g.Spans, g.Never))
			}
			if asJSON {
				return writeJSON(c.OutOrStdout(), rows)
			}
			fmt.Fprintf(c.OutOrStdout(), "%d core machines, of which %d may be lost; from the loss to the first acknowledgement of an order sent after it\n\n", p.Machines, p.Faults)
			chart(c.OutOrStdout(), rows)
			return nil
		}}
	f := cmd.Flags()
	f.IntVar(&p.Machines, "machines", p.Machines, "number of core machines")
	f.IntVar(&p.Faults, "faults", p.Faults, "machines that may be lost at once")
	f.IntVar(&p.Runs, "runs", p.Runs, "runs of each loss")
	f.Uint64Var(&p.Seed, "seed", p.Seed, "the first seed")
	f.BoolVar(&asJSON, "json", false, "print JSON")
	return cmd
}

func gossipCommand() *cobra.Command {
	p := GossipPlan{Zones: 6, Runs: 30, Seed: 1, Delays: DefaultDelays}
	var sizes []int
	var asJSON bool
	cmd := &cobra.Command{Use: "gossip", Aliases: []string{"news"}, Short: "Measure what gossip costs each process, and how long an update takes to reach all", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			for _, n := range sizes {
				if n < 4 || n > 2000 {
					return errors.New("--processes: 4 to 2000")
				}
			}
			if p.Zones < 1 || p.Zones > 60 || p.Loss < 0 || p.Loss > 0.9 || p.Runs < 1 {
				return errors.New("--zones: 1 to 60; --loss: 0 to 0.9; --runs: at least 1")
			}
			bar := show.NewBar(os.Stderr, "measure")
			var all []GossipCost
			for i, n := range sizes {
				bar.Set(float64(i)/float64(len(sizes)), fmt.Sprintf("%d processes", n))
				q := p
				q.Processes, q.Servers = n, max(2*n, 40)
				all = append(all, MeasureGossip(q))
			}
			bar.End()
			if asJSON {
				type result struct {
					Processes      int     `json:"processes"`
					Calls          float64 `json:"calls_a_second"`
					Most           float64 `json:"calls_a_second_of_the_busiest"`
					Bytes          float64 `json:"bytes_a_second"`
					CrossZoneBytes float64 `json:"bytes_a_second_beyond_the_zone"`
					False          int     `json:"called_dead_though_alive"`
					Rows           []row   `json:"times"`
				}
				var out []result
				for _, n := range all {
					out = append(out, result{n.Plan.Processes, n.Calls, n.BusiestCalls, n.Bytes, n.CrossZoneBytes, n.FalseDeaths, n.rows()})
				}
				return writeJSON(c.OutOrStdout(), out)
			}
			o := c.OutOrStdout()
			fmt.Fprintf(o, "%d zones, %.0f%% of calls lost; per second and process, while idle\n\n", p.Zones, 100*p.Loss)
			w := tabwriter.NewWriter(o, 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, "processes\tcalls\tcalls of the busiest\tbytes\tbytes across zones\talive but reported dead")
			for _, n := range all {
				fmt.Fprintf(w, "%d\t%.2f\t%.2f\t%.0f\t%.0f\t%d\n", n.Plan.Processes, n.Calls, n.BusiestCalls, n.Bytes, n.CrossZoneBytes, n.FalseDeaths)
			}
			w.Flush()
			for _, n := range all {
				fmt.Fprintf(o, "\n%d processes\n", n.Plan.Processes)
				chart(o, n.rows())
			}
			return nil
		}}
	f := cmd.Flags()
	f.IntSliceVar(&sizes, "processes", []int{14, 65, 300}, "fleet sizes to measure")
	f.IntVar(&p.Zones, "zones", p.Zones, "zones")
	f.Float64Var(&p.Loss, "loss", p.Loss, "share of calls that are lost")
	f.IntVar(&p.Runs, "runs", p.Runs, "drains announced, and processes killed, at each size")
	f.Uint64Var(&p.Seed, "seed", p.Seed, "the seed")
	f.BoolVar(&asJSON, "json", false, "print JSON")
	return cmd
}

func (n GossipCost) rows() []row {
	return []row{newRow("a drain is known to half", n.ReachedHalf, 0), newRow("and to all", n.Reached, 0),
		newRow("a process started anew holds all", n.Joined, 0), newRow("a process killed is known as dead to all", n.Noticed, 0)}
}

func outlierCommand() *cobra.Command {
	p := OutlierPlan{Runs: 40, Seed: 1, SlowFactor: 8, HealthySpan: time.Hour, Delays: DefaultDelays}
	var sizes []int
	var asJSON bool
	cmd := &cobra.Command{Use: "laggards", Short: "Measure how long it takes until all proxies eject a slow server, and whether a healthy one is ever ejected", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			for _, n := range sizes {
				if n < 2 || n > 300 {
					return errors.New("--mixers: 2 to 300")
				}
			}
			if p.Runs < 1 || p.SlowFactor < 1 || p.HealthySpan < 0 || p.HealthySpan > 24*time.Hour {
				return errors.New("--runs: at least 1; --times: at least 1; --calm: at most 24h")
			}
			bar := show.NewBar(os.Stderr, "measure")
			var all []Outliers
			for i, n := range sizes {
				bar.Set(float64(i)/float64(len(sizes)), fmt.Sprintf("%d proxies", n))
				q := p
				q.Proxies, q.Zones, q.Shards, q.ServersPerShard, q.Rate = n, 3, 4, 4, 320
				if n > 20 {
					q.Zones, q.Shards, q.ServersPerShard = 6, 12, 8
				}
				all = append(all, MeasureOutliers(q))
			}
			bar.End()
			type result struct {
				Proxies     int     `json:"mixers"`
				False       int     `json:"moves_while_all_is_well"`
				HealthySpan float64 `json:"of_seconds"`
				IdleBytes   float64 `json:"bytes_a_second_and_mixer_at_rest"`
				Bytes       float64 `json:"while_one_is_slow"`
				Rows        []row   `json:"times"`
			}
			var out []result
			for _, l := range all {
				r := result{Proxies: l.Plan.Proxies, False: l.FalseEjections, HealthySpan: l.HealthySpan.Seconds(), IdleBytes: l.IdleBytes, Bytes: l.Bytes}
				for _, x := range append(l.Rows, OutlierRow{What: "cut off: longer than the others by a word that fell", Spans: l.StaleFor}) {
					r.Rows = append(r.Rows, newRow(x.What, x.Spans, x.Never))
				}
				out = append(out, r)
			}
			if asJSON {
				return writeJSON(c.OutOrStdout(), out)
			}
			o := c.OutOrStdout()
			for _, r := range out {
				fmt.Fprintf(o, "%d proxies, a server becomes %g times slower\n", r.Proxies, p.SlowFactor)
				chart(o, r.Rows)
				fmt.Fprintf(o, "ejection changes in %.0f s of healthy traffic with heavy tails: %d; bytes per second and proxy: %.0f while idle, %.0f while one is slow\n\n", r.HealthySpan, r.False, r.IdleBytes, r.Bytes)
			}
			return nil
		}}
	f := cmd.Flags()
	f.IntSliceVar(&sizes, "mixers", []int{9, 60}, "fleet sizes to measure")
	f.IntVar(&p.Runs, "runs", p.Runs, "servers that become slow, at each size")
	f.Float64Var(&p.SlowFactor, "times", p.SlowFactor, "factor by which a server becomes slow")
	f.DurationVar(&p.HealthySpan, "calm", p.HealthySpan, "length of the healthy traffic")
	f.Uint64Var(&p.Seed, "seed", p.Seed, "the seed")
	f.BoolVar(&asJSON, "json", false, "print JSON")
	return cmd
}

func quotaCommand() *cobra.Command {
	p := QuotaPlan{Callers: 100, Rate: 50, Burst: 25, DemandFactor: 10, Span: 20 * time.Second, Seed: 1}
	var sizes []int
	var asJSON bool
	cmd := &cobra.Command{Use: "allowance", Short: "Measure what enforcing many callers' allowances across all proxies costs, and whether the callers stay within them", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			for _, n := range sizes {
				if n < 1 || n > 1000 {
					return errors.New("--mixers: 1 to 1000")
				}
			}
			if p.Callers < 1 || p.Callers > 1000 || p.Rate <= 0 || p.Rate > 1000 || p.Burst < 0 || p.DemandFactor < 0 || p.DemandFactor > 100 || p.Span < 10*time.Second || p.Span > time.Hour || p.Loss < 0 || p.Loss > 0.9 {
				return errors.New("--callers: 1 to 1000; --rate: above 0, at most 1000; --burst: at least 0; --times: 0 to 100; --span: 10s to 1h; --loss: 0 to 0.9")
			}
			bar := show.NewBar(os.Stderr, "measure")
			type result struct {
				Proxies       int     `json:"mixers"`
				Calls         float64 `json:"calls_a_second_and_mixer"`
				Bytes         float64 `json:"bytes_a_second_and_mixer"`
				LessorBytes   float64 `json:"bytes_a_second_of_the_bank"`
				Worst         float64 `json:"worst_ten_seconds_of_the_bound"`
				AdmittedShare float64 `json:"admitted_of_the_rate"`
			}
			var out []result
			for i, n := range sizes {
				bar.Set(float64(i)/float64(len(sizes)), fmt.Sprintf("%d proxies", n))
				q := p
				q.Proxies = n
				a := MeasureQuota(q)
				out = append(out, result{n, a.Calls, a.Bytes, a.LessorBytes, a.Worst, a.AdmittedShare})
			}
			bar.End()
			if asJSON {
				return writeJSON(c.OutOrStdout(), out)
			}
			fmt.Fprintf(c.OutOrStdout(), "%d callers with an allowance of %g per second and burst %g each send %g times as much, to random proxies; %.0f%% of calls lost\n\n", p.Callers, p.Rate, p.Burst, p.DemandFactor, 100*p.Loss)
			w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, "proxies\tcalls per second and proxy\tbytes\tbytes of the lessor\tworst 10 s / bound\tadmitted / rate\t")
			for _, r := range out {
				fmt.Fprintf(w, "%d\t%.2f\t%.0f\t%.0f\t%.2f\t%.2f\t%s\n", r.Proxies, r.Calls, r.Bytes, r.LessorBytes, r.Worst, r.AdmittedShare, strings.Repeat("=", int(barWidth*min(r.Worst, 1)/2)))
			}
			return w.Flush()
		}}
	f := cmd.Flags()
	f.IntSliceVar(&sizes, "mixers", []int{9, 60, 300}, "fleet sizes to measure")
	f.IntVar(&p.Callers, "callers", p.Callers, "number of callers, each with an allowance")
	f.Float64Var(&p.Rate, "rate", p.Rate, "allowed requests per second")
	f.Float64Var(&p.Burst, "burst", p.Burst, "allowed burst")
	f.Float64Var(&p.DemandFactor, "times", p.DemandFactor, "demand as a multiple of the rate")
	f.DurationVar(&p.Span, "span", p.Span, "measured span")
	f.Float64Var(&p.Loss, "loss", p.Loss, "share of calls that are lost")
	f.Uint64Var(&p.Seed, "seed", p.Seed, "the seed")
	f.BoolVar(&asJSON, "json", false, "print JSON")
	return cmd
}
