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

// Found is a schedule that breaks a rule.
type Found struct {
	Seed  uint64
	Err   error
	Steps []Step // shrunk
	Log   string
}

// Search plays schedules of seeds from a first one on, on all cores, until one breaks a
// rule or so many have been played. progress is told now and then; nil: nobody.
func Search(p Plan, first uint64, count int, progress func(done int)) (found *Found, seen Seen, played int) {
	var mu sync.Mutex
	var wait sync.WaitGroup
	next := 0
	for range runtime.GOMAXPROCS(0) {
		wait.Add(1)
		go func() {
			defer wait.Done()
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
				w, err := Play(p.Of(seed), Draw(p, seed), false)
				mu.Lock()
				seen.add(w.Seen)
				played++
				if err != nil && (found == nil || seed < found.Seed) {
					found = &Found{Seed: seed, Err: err}
				}
				mu.Unlock()
			}
		}()
	}
	wait.Wait()
	if found != nil {
		p = p.Of(found.Seed)
		found.Steps = Shrink(p, Draw(p, found.Seed))
		w, err := Play(p, found.Steps, true)
		found.Err, found.Log = err, w.Log()
	}
	return found, seen, played
}

func (s *Seen) add(o Seen) {
	s.Acks += o.Acks
	s.Reads += o.Reads
	s.Wipes += o.Wipes
	s.Crashes += o.Crashes
	s.Epochs += o.Epochs
	s.Replaced += o.Replaced
}

// Mutants are the rules that can be left out on purpose, by name.
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

// Command is the search's command line.
func Command() *cobra.Command {
	p := Plan{Machines: 3, Spare: 2, Faults: 1, Wipes: 2, Steps: 600}
	var first uint64
	var count int
	var mutant string
	cmd := &cobra.Command{Use: "search", Short: "Search the core's chain and view for schedules that break a rule, and show the shortest found",
		Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
			if mutant != "" {
				b, known := Mutants[mutant]
				if !known {
					names := make([]string, 0, len(Mutants))
					for name := range Mutants {
						names = append(names, name)
					}
					sort.Strings(names)
					return fmt.Errorf("there is no rule %q to leave out; there are: %s", mutant, strings.Join(names, ", "))
				}
				p.Breaks = b
			}
			if p.Machines < 1 || p.Machines > 9 || p.Spare < 0 || p.Spare > 4 || p.Steps < 1 || count < 1 {
				return errors.New("machines: 1 to 9, spare: 0 to 4, steps and schedules: 1 at least")
			}
			return search(c.OutOrStdout(), c.ErrOrStderr(), p, first, count)
		}}
	f := cmd.Flags()
	f.IntVar(&p.Machines, "machines", p.Machines, "core machines of the first view")
	f.IntVar(&p.Spare, "spare", p.Spare, "machines that come later")
	f.IntVar(&p.Faults, "faults", p.Faults, "disks that may be lost at once")
	f.IntVar(&p.Wipes, "wipes", p.Wipes, "disks lost in one schedule, at most")
	f.IntVar(&p.Steps, "steps", p.Steps, "steps of a schedule")
	f.Uint64Var(&first, "seed", 1, "the first seed")
	f.IntVar(&count, "schedules", 20_000, "schedules to play")
	f.StringVar(&mutant, "without", "", "leave a rule out, to see that the search finds it")
	return cmd
}

func search(out, progress io.Writer, p Plan, first uint64, count int) error {
	at := time.Now()
	found, seen, played := Search(p, first, count, func(done int) { fmt.Fprintf(progress, "\r%d schedules", done) })
	spent := time.Since(at)
	fmt.Fprintf(progress, "\r")
	fmt.Fprintf(out, "%d schedules of %d steps in %s, %.0f a second: %d acknowledged, %d read, %d crashes, %d disks lost, %d machines replaced, %d views\n",
		played, p.Steps, spent.Round(time.Millisecond), float64(played)/spent.Seconds(), seen.Acks, seen.Reads, seen.Crashes, seen.Wipes, seen.Replaced, seen.Epochs)
	if found == nil {
		fmt.Fprintln(out, "no rule broken")
		return nil
	}
	fmt.Fprintf(out, "seed %d breaks a rule: %v\n\nshrunk to %d steps:\n", found.Seed, found.Err, len(found.Steps))
	for _, s := range found.Steps {
		fmt.Fprintln(out, "  "+s.String())
	}
	fmt.Fprintf(out, "\nwhat happened:\n%s\n", found.Log)
	return errors.New("a rule was broken")
}
