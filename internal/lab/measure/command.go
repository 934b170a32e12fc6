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

// Command is the measurements' command line.
func Command() *cobra.Command {
	root := &cobra.Command{Use: "measure", Short: "Measure the system's machines in memory, in virtual time"}
	root.AddCommand(coreCommand(), cutCommand(), catchUpCommand(), capacityCommand(), gossipCommand(), rejoinCommand(), laggardsCommand(), allowCommand())
	return root
}

// row is a line of a result as JSON; times are milliseconds.
type row struct {
	What string  `json:"what"`
	P50  float64 `json:"p50_ms"`
	P99  float64 `json:"p99_ms"`
	Most float64 `json:"most_ms"`
	Runs int     `json:"runs"`
	Not  int     `json:"not_within_a_minute"`
}

func rowOf(what string, s Spans, never int) row {
	f := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	return row{what, f(s.At(0.5)), f(s.At(0.99)), f(s.At(1)), len(s) + never, never}
}

// chart draws rows as bars: '=' to the median, '-' to the 99th of a hundred.
func chart(out io.Writer, rows []row) {
	most := 1.0
	for _, r := range rows {
		most = max(most, r.P99)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "what\tp50\tp99\tmost\truns\t")
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

func put(out io.Writer, v any) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

func coreCommand() *cobra.Command {
	p := CorePlan{Machines: 3, Faults: 1, Runs: 100, Seed: 1, Delays: Usual}
	var asJSON bool
	cmd := &cobra.Command{Use: "core", Short: "How long nothing is acknowledged after each loss of a core machine", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if p.Machines < 3 || p.Machines > 15 || p.Faults < 0 || 2*p.Faults+1 > p.Machines || p.Runs < 1 {
				return errors.New("machines: 3 to 15, more than twice the faults; runs: 1 at least")
			}
			var rows []row
			for _, g := range MeasureCore(p) {
				rows = append(rows, rowOf(string(g.Loss), g.Spans, g.Never))
			}
			if asJSON {
				return put(c.OutOrStdout(), rows)
			}
			fmt.Fprintf(c.OutOrStdout(), "%d core machines, of which %d may be lost; from the loss to the next acknowledgement of what was sent after it\n\n", p.Machines, p.Faults)
			chart(c.OutOrStdout(), rows)
			return nil
		}}
	f := cmd.Flags()
	f.IntVar(&p.Machines, "machines", p.Machines, "core machines")
	f.IntVar(&p.Faults, "faults", p.Faults, "that may be lost at once")
	f.IntVar(&p.Runs, "runs", p.Runs, "of each loss")
	f.Uint64Var(&p.Seed, "seed", p.Seed, "the first seed")
	f.BoolVar(&asJSON, "json", false, "as JSON")
	return cmd
}

func gossipCommand() *cobra.Command {
	p := GossipPlan{Zones: 6, Runs: 30, Seed: 1, Delays: Usual}
	var sizes []int
	var asJSON bool
	cmd := &cobra.Command{Use: "gossip", Aliases: []string{"news"}, Short: "What gossip costs each process, and how long an update takes to all", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			for _, n := range sizes {
				if n < 4 || n > 2000 {
					return errors.New("processes: 4 to 2000")
				}
			}
			if p.Zones < 1 || p.Zones > 60 || p.Loss < 0 || p.Loss > 0.9 || p.Runs < 1 {
				return errors.New("zones: 1 to 60, loss: 0 to 0.9, runs: 1 at least")
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
					out = append(out, result{n.Plan.Processes, n.Calls, n.BusiestCalls, n.Bytes, n.CrossZoneBytes, n.False, n.rows()})
				}
				return put(c.OutOrStdout(), out)
			}
			o := c.OutOrStdout()
			fmt.Fprintf(o, "%d zones, %.0f%% of calls lost; a second and process, at rest\n\n", p.Zones, 100*p.Loss)
			w := tabwriter.NewWriter(o, 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, "processes\tcalls\tof the busiest\tbytes\tbeyond the zone\tcalled dead though alive")
			for _, n := range all {
				fmt.Fprintf(w, "%d\t%.2f\t%.2f\t%.0f\t%.0f\t%d\n", n.Plan.Processes, n.Calls, n.BusiestCalls, n.Bytes, n.CrossZoneBytes, n.False)
			}
			w.Flush()
			for _, n := range all {
				fmt.Fprintf(o, "\n%d processes\n", n.Plan.Processes)
				chart(o, n.rows())
			}
			return nil
		}}
	f := cmd.Flags()
	f.IntSliceVar(&sizes, "processes", []int{14, 65, 300}, "sizes of the fleet")
	f.IntVar(&p.Zones, "zones", p.Zones, "zones, two to a region")
	f.Float64Var(&p.Loss, "loss", p.Loss, "share of calls that are lost")
	f.IntVar(&p.Runs, "runs", p.Runs, "drains told, and processes killed, at each size")
	f.Uint64Var(&p.Seed, "seed", p.Seed, "the seed")
	f.BoolVar(&asJSON, "json", false, "as JSON")
	return cmd
}

func (n GossipCost) rows() []row {
	return []row{rowOf("a drain is known to half", n.Half, 0), rowOf("and to all", n.Reached, 0),
		rowOf("a process started anew holds all", n.Joined, 0), rowOf("a process killed is known as dead to all", n.Noticed, 0)}
}

func laggardsCommand() *cobra.Command {
	p := LaggardPlan{Runs: 40, Seed: 1, Times: 8, Calm: time.Hour, Delays: Usual}
	var sizes []int
	var asJSON bool
	cmd := &cobra.Command{Use: "laggards", Short: "How long a slow server takes to be set apart by all mixers, and whether a healthy one ever is", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			for _, n := range sizes {
				if n < 2 || n > 300 {
					return errors.New("mixers: 2 to 300")
				}
			}
			if p.Runs < 1 || p.Times < 1 || p.Calm < 0 || p.Calm > 24*time.Hour {
				return errors.New("runs: 1 at least, times: 1 at least, calm: a day at most")
			}
			bar := show.NewBar(os.Stderr, "measure")
			var all []Laggards
			for i, n := range sizes {
				bar.Set(float64(i)/float64(len(sizes)), fmt.Sprintf("%d mixers", n))
				q := p
				q.Mixers, q.Zones, q.Shards, q.Each, q.Rate = n, 3, 4, 4, 320
				if n > 20 {
					q.Zones, q.Shards, q.Each = 6, 12, 8
				}
				all = append(all, MeasureLaggards(q))
			}
			bar.End()
			type result struct {
				Mixers int     `json:"mixers"`
				False  int     `json:"moves_while_all_is_well"`
				Calm   float64 `json:"of_seconds"`
				Rest   float64 `json:"bytes_a_second_and_mixer_at_rest"`
				Bytes  float64 `json:"while_one_is_slow"`
				Rows   []row   `json:"times"`
			}
			var out []result
			for _, l := range all {
				r := result{Mixers: l.Plan.Mixers, False: l.False, Calm: l.Calm.Seconds(), Rest: l.Rest, Bytes: l.Bytes}
				for _, x := range append(l.Rows, LaggardRow{What: "cut off: longer than the others by a word that fell", Spans: l.Behind}) {
					r.Rows = append(r.Rows, rowOf(x.What, x.Spans, x.Never))
				}
				out = append(out, r)
			}
			if asJSON {
				return put(c.OutOrStdout(), out)
			}
			o := c.OutOrStdout()
			for _, r := range out {
				fmt.Fprintf(o, "%d mixers, a server turns %g times slow\n", r.Mixers, p.Times)
				chart(o, r.Rows)
				fmt.Fprintf(o, "moves in %.0f s of healthy traffic with heavy tails: %d; bytes a second and mixer: %.0f at rest, %.0f while one is slow\n\n", r.Calm, r.False, r.Rest, r.Bytes)
			}
			return nil
		}}
	f := cmd.Flags()
	f.IntSliceVar(&sizes, "mixers", []int{9, 60}, "sizes of the fleet")
	f.IntVar(&p.Runs, "runs", p.Runs, "servers that turn slow, at each size")
	f.Float64Var(&p.Times, "times", p.Times, "how many times slow")
	f.DurationVar(&p.Calm, "calm", p.Calm, "of healthy traffic")
	f.Uint64Var(&p.Seed, "seed", p.Seed, "the seed")
	f.BoolVar(&asJSON, "json", false, "as JSON")
	return cmd
}

func allowCommand() *cobra.Command {
	p := AllowPlan{Callers: 100, Rate: 50, Burst: 25, Times: 10, Span: 20 * time.Second, Seed: 1}
	var sizes []int
	var asJSON bool
	cmd := &cobra.Command{Use: "allowance", Short: "What it costs to hold many callers to their allowances together, and whether they are held", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			for _, n := range sizes {
				if n < 1 || n > 1000 {
					return errors.New("mixers: 1 to 1000")
				}
			}
			if p.Callers < 1 || p.Callers > 1000 || p.Rate <= 0 || p.Rate > 1000 || p.Burst < 0 || p.Times < 0 || p.Times > 100 || p.Span < 10*time.Second || p.Span > time.Hour || p.Loss < 0 || p.Loss > 0.9 {
				return errors.New("callers: 1 to 1000, rate: above 0 and to 1000, burst: 0 or more, times: 0 to 100, span: 10s to 1h, loss: 0 to 0.9")
			}
			bar := show.NewBar(os.Stderr, "measure")
			type result struct {
				Mixers int     `json:"mixers"`
				Calls  float64 `json:"calls_a_second_and_mixer"`
				Bytes  float64 `json:"bytes_a_second_and_mixer"`
				Bank   float64 `json:"bytes_a_second_of_the_bank"`
				Worst  float64 `json:"worst_ten_seconds_of_the_bound"`
				Share  float64 `json:"admitted_of_the_rate"`
			}
			var out []result
			for i, n := range sizes {
				bar.Set(float64(i)/float64(len(sizes)), fmt.Sprintf("%d mixers", n))
				q := p
				q.Mixers = n
				a := MeasureAllow(q)
				out = append(out, result{n, a.Calls, a.Bytes, a.Bank, a.Worst, a.Share})
			}
			bar.End()
			if asJSON {
				return put(c.OutOrStdout(), out)
			}
			fmt.Fprintf(c.OutOrStdout(), "%d callers of %g a second and burst %g each ask for %g times as much, at any mixer; %.0f%% of calls lost\n\n", p.Callers, p.Rate, p.Burst, p.Times, 100*p.Loss)
			w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, "mixers\tcalls a second and mixer\tbytes\tbytes of the bank\tworst 10 s, of the bound\tadmitted, of the rate\t")
			for _, r := range out {
				fmt.Fprintf(w, "%d\t%.2f\t%.0f\t%.0f\t%.2f\t%.2f\t%s\n", r.Mixers, r.Calls, r.Bytes, r.Bank, r.Worst, r.Share, strings.Repeat("=", int(barWidth*min(r.Worst, 1)/2)))
			}
			return w.Flush()
		}}
	f := cmd.Flags()
	f.IntSliceVar(&sizes, "mixers", []int{9, 60, 300}, "sizes of the fleet")
	f.IntVar(&p.Callers, "callers", p.Callers, "with an allowance each")
	f.Float64Var(&p.Rate, "rate", p.Rate, "of an allowance, a second")
	f.Float64Var(&p.Burst, "burst", p.Burst, "of an allowance")
	f.Float64Var(&p.Times, "times", p.Times, "as much is asked for")
	f.DurationVar(&p.Span, "span", p.Span, "that is measured")
	f.Float64Var(&p.Loss, "loss", p.Loss, "share of calls that are lost")
	f.Uint64Var(&p.Seed, "seed", p.Seed, "the seed")
	f.BoolVar(&asJSON, "json", false, "as JSON")
	return cmd
}
