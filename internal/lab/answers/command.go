package answers

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"saddleport/internal/upstream/httpclient"
)

// Mutants are the rules that can be left out on purpose, by name.
var Mutants = map[string]httpclient.Mutations{
	"any-id":         {AnyID: true},
	"lost-is-unsent": {LostIsUnsent: true},
}

// Command is the run's command line.
func Command() *cobra.Command {
	p, mutant := DefaultPlan, ""
	cmd := &cobra.Command{Use: "answers", Short: "Play a proxy against servers that answer in disorder: who gets whose answer, what runs twice",
		Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
			if p.Requests < 1 || p.Clients < 1 || p.Clients > 1000 || p.Servers < 1 || p.Servers > 50 || p.FaultShare < 0 || p.FaultShare > 1 {
				return errors.New("requests: 1 at least, clients: 1 to 1000, servers: 1 to 50, spoilt: 0 to 1")
			}
			breaks, known := Mutants[mutant]
			if mutant != "" && !known {
				return fmt.Errorf("there is no rule %q to leave out; there are: %s", mutant, strings.Join(slices.Sorted(maps.Keys(Mutants)), ", "))
			}
			p.Mutations = breaks
			r, err := Run(p)
			if err != nil {
				return err
			}
			fmt.Fprint(c.OutOrStdout(), r.String())
			if !r.OK() {
				fmt.Fprintln(c.OutOrStdout(), strings.Join(slices.Concat(r.WrongAnswers, r.RanTwice, r.FalseRefusals), "\n"))
				return errors.New("a rule was broken")
			}
			return nil
		}}
	f := cmd.Flags()
	f.IntVar(&p.Requests, "requests", p.Requests, "requests in all")
	f.IntVar(&p.Clients, "clients", p.Clients, "clients, each with one connection")
	f.IntVar(&p.Servers, "servers", p.Servers, "servers of each service")
	f.Float64Var(&p.FaultShare, "spoilt", p.FaultShare, "the share of requests that are answered in disorder")
	f.Uint64Var(&p.Seed, "seed", p.Seed, "of what is drawn")
	f.StringVar(&mutant, "without", "", "leave a rule out, to see that it is found")
	return cmd
}
