package measure

import (
	"errors"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"saddleport/internal/lab/show"
)

var errRejoinPlan = errors.New("--processes: 4 to 2000; --cores: 1 to half of them; --zones: 1 to 60; --loss: 0 to 0.9; --runs: at least 1; --span: 1 s to 1 h")

func (plan RejoinPlan) valid() bool {
	return plan.Processes >= 4 && plan.Processes <= 2000 && plan.Cores >= 1 && plan.Cores <= plan.Processes/2 && plan.Zones >= 1 && plan.Zones <= 60 &&
		plan.Loss >= 0 && plan.Loss <= 0.9 && plan.Runs >= 1 && plan.Span >= time.Second && plan.Span <= time.Hour
}

func rejoinCommand() *cobra.Command {
	plan := RejoinPlan{Processes: 14, Cores: 5, Zones: 3, Servers: 40, Span: defaultSpan, Runs: 30, Seed: 1, Delays: DefaultDelays}
	var asJSON bool
	cmd := &cobra.Command{Use: "rejoin", Short: "Measure how processes that reported each other dead find each other again", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if !plan.valid() {
				return errRejoinPlan
			}
			bar := show.NewBar(os.Stderr, "measure")
			rows := MeasureRejoin(plan)
			bar.End()
			if asJSON {
				return writeJSON(c.OutOrStdout(), rows)
			}
			table := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(table, "separation\tannouncement at all\tall known to all\tnot within a minute\tmax calls/s")
			for _, row := range rows {
				fmt.Fprintf(table, "%s\t%s\t%s\t%d of %d\t%.1f\n", row.Separation, row.Reached, row.Met, row.Never, plan.Runs, row.MostCalls)
			}
			return table.Flush()
		}}
	flags := cmd.Flags()
	flags.IntVar(&plan.Processes, "processes", plan.Processes, "number of agents and control-plane processes")
	flags.IntVar(&plan.Cores, "cores", plan.Cores, "control-plane processes among them")
	flags.IntVar(&plan.Zones, "zones", plan.Zones, "zones")
	flags.IntVar(&plan.Servers, "servers", plan.Servers, "servers that all processes know from the start")
	flags.DurationVar(&plan.Span, "span", plan.Span, "length of a separation")
	flags.Float64Var(&plan.Loss, "loss", plan.Loss, "share of calls that are lost")
	flags.IntVar(&plan.Runs, "runs", plan.Runs, "runs of each separation")
	flags.Uint64Var(&plan.Seed, "seed", plan.Seed, "the same seed gives the same figures")
	flags.BoolVar(&asJSON, "json", false, "print JSON")
	return cmd
}
