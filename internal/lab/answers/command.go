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

// Mutants are the rules that a run can switch off on purpose, by name.
var Mutants = map[string]httpclient.Mutations{
	"any-id":         {AnyID: true},
	"lost-is-unsent": {LostIsUnsent: true},
}

// Command returns the command that runs the test.
func Command() *cobra.Command {
	p, mutant := DefaultPlan, ""
	cmd := &cobra.Command{Use: "answers", Short: "Test a proxy against faulty servers: responses to the wrong client, requests that run twice",
		Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
			if p.Requests < 1 || p.Clients < 1 || p.Clients > 1000 || p.Servers < 1 || p.Servers > 50 || p.FaultShare < 0 || p.FaultShare > 1 {
				return errors.New("a flag is out of range: requests at least 1, clients 1 to 1000, servers 1 to 50, spoilt 0 to 1")
			}
			mutations, known := Mutants[mutant]
			if mutant != "" && !known {
				return fmt.Errorf("no rule %q can be switched off; the rules are: %s", mutant, strings.Join(slices.Sorted(maps.Keys(Mutants)), ", "))
			}
			p.Mutations = mutations
			r, err := Run(p)
			if err != nil {
				return err
			}
			fmt.Fprint(c.OutOrStdout(), r.String())
			if !r.OK() {
				fmt.Fprintln(c.OutOrStdout(), strings.Join(slices.Concat(r.WrongAnswers, r.RanTwice, r.FalseRefusals), "\n"))
				return errors.New("the run found violations")
			}
			return nil
		}}
	f := cmd.Flags()
	f.IntVar(&p.Requests, "requests", p.Requests, "requests in total")
	f.IntVar(&p.Clients, "clients", p.Clients, "clients, each with one connection")
	f.IntVar(&p.Servers, "servers", p.Servers, "servers per service")
	f.Float64Var(&p.FaultShare, "spoilt", p.FaultShare, "share of requests to which servers respond with a fault")
	f.Uint64Var(&p.Seed, "seed", p.Seed, "seed of the random choices")
	f.StringVar(&mutant, "without", "", "rule to switch off, to check that the run finds the violations")
	return cmd
}
