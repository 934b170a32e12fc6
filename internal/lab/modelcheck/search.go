package modelcheck

import (
	"errors"
	"fmt"
	"io"
	"runtime"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"saddleport/internal/cluster/chain"
)

// Violation is a schedule that breaks a rule.
type Violation struct {
	Seed  uint64
	Err   error
	Steps []Step // minimised by Shrink
	Log   string
}

// Search runs the schedules of count seeds from first on, on all CPUs, until one breaks a rule.
// progress is called every 1000 schedules; it may be nil. Search returns the violation of the lowest
// seed among those that ran, or nil, the sum of the statistics, and the number of schedules that
// ran.
func Search(p Plan, first uint64, count int, progress func(done int)) (found *Violation, stats Stats, completed int) {
	var mu sync.Mutex
	var workers sync.WaitGroup
	next := 0
	for range runtime.GOMAXPROCS(0) {
		workers.Add(1)
		go func() {
			defer workers.Done()
			for {
				mu.Lock()
				if next >= count || found != nil {
					mu.Unlock()
					return
				}
				seed := first + uint64(next)
				next++
				if progress != nil && next%1000 == 0 {
					progress(next)
				}
				mu.Unlock()
				w, err := RunSchedule(p.Of(seed), Generate(p, seed), false)
				mu.Lock()
				stats.add(w.Stats)
				completed++
				if err != nil && (found == nil || seed < found.Seed) {
					found = &Violation{Seed: seed, Err: err}
				}
				mu.Unlock()
			}
		}()
	}
	workers.Wait()
	if found != nil {
		p = p.Of(found.Seed)
		found.Steps = Shrink(p, Generate(p, found.Seed))
		w, err := RunSchedule(p, found.Steps, true)
		found.Err, found.Log = err, w.Log()
	}
	return found, stats, completed
}

func (s *Stats) add(o Stats) {
	s.Acks += o.Acks
	s.Reads += o.Reads
	s.Wipes += o.Wipes
	s.Crashes += o.Crashes
	s.Epochs += o.Epochs
	s.Replaced += o.Replaced
}

// Mutants are the rules that can be disabled on purpose, by name.
var Mutants = map[string]chain.Mutations{
	"ack-before-sync":   {AckEarly: true},
	"read-without-view": {StaleRead: true},
	"promise-unsealed":  {NoSeal: true},
	"chain-of-a-few":    {ShortChain: true},
	"lost-disk-votes":   {LostDiskVotes: true},
	"accepted-forgot":   {IgnoreAccepted: true},
	"rank-alone":        {OrderByVersionOnly: true},
	"number-alone":      {IgnoreDigest: true},
	"vote-at-once":      {VoteAtOnce: true},
	"leave-at-once":     {LeaveAtOnce: true},
	"join-behind":       {AdoptWithoutEntry: true},
}

// Command returns the command line of the search.
func Command() *cobra.Command {
	p := Plan{Machines: 3, Spare: 2, Faults: 1, Wipes: 2, Steps: 600}
	var first uint64
	var count int
	var mutant string
	cmd := &cobra.Command{Use: "search", Short: "Search for schedules in which the core's chain or view breaks a rule, and print a minimised one",
		Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
			if mutant != "" {
				b, known := Mutants[mutant]
				if !known {
					names := make([]string, 0, len(Mutants))
					for name := range Mutants {
						names = append(names, name)
					}
					sort.Strings(names)
					return fmt.Errorf("--without: unknown rule %q; known rules: %s", mutant, strings.Join(names, ", "))
				}
				p.Mutations = b
			}
			if p.Machines < 1 || p.Machines > 9 || p.Spare < 0 || p.Spare > 4 || p.Steps < 1 || count < 1 {
				return errors.New("--machines: 1 to 9; --spare: 0 to 4; --steps and --schedules: at least 1")
			}
			return search(c.OutOrStdout(), c.ErrOrStderr(), p, first, count)
		}}
	f := cmd.Flags()
	f.IntVar(&p.Machines, "machines", p.Machines, "core machines in the first view")
	f.IntVar(&p.Spare, "spare", p.Spare, "machines that may join later")
	f.IntVar(&p.Faults, "faults", p.Faults, "disks that may be lost at once")
	f.IntVar(&p.Wipes, "wipes", p.Wipes, "maximum number of disks lost in one schedule")
	f.IntVar(&p.Steps, "steps", p.Steps, "steps per schedule")
	f.Uint64Var(&first, "seed", 1, "the first seed")
	f.IntVar(&count, "schedules", 20_000, "number of schedules to run")
	f.StringVar(&mutant, "without", "", "disable this rule, to check that the search detects it")
	return cmd
}

func search(out, progress io.Writer, p Plan, first uint64, count int) error {
	begin := time.Now()
	found, stats, completed := Search(p, first, count, func(done int) { fmt.Fprintf(progress, "\r%d schedules", done) })
	elapsed := time.Since(begin)
	fmt.Fprintf(progress, "\r")
	fmt.Fprintf(out, "%d schedules of %d steps in %s, %.0f per second: %d acknowledgements, %d reads, %d crashes, %d disks lost, %d machines replaced, %d views\n",
		completed, p.Steps, elapsed.Round(time.Millisecond), float64(completed)/elapsed.Seconds(), stats.Acks, stats.Reads, stats.Crashes, stats.Wipes, stats.Replaced, stats.Epochs)
	if found == nil {
		fmt.Fprintln(out, "no rule broken")
		return nil
	}
	fmt.Fprintf(out, "seed %d breaks a rule: %v\n\nshrunk to %d steps:\n", found.Seed, found.Err, len(found.Steps))
	for _, s := range found.Steps {
		fmt.Fprintln(out, "  "+s.String())
	}
	fmt.Fprintf(out, "\nlog:\n%s\n", found.Log)
	return errors.New("a rule was broken")
}
