package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"saddleport/internal/lab/soak/plan"
)

// Errors of the command line. ErrFound is returned if a run found a broken rule. Errors that the
// caller can correct are of type InputError.
var (
	ErrFound        = errors.New("rules were broken")
	errSize         = errors.New("--processes: must be small or most")
	errSeeds        = errors.New("--seeds: 1 to 1000; --parallel: 1 to 16")
	errPlanConflict = errors.New("--plan says which run to repeat: it excludes --seed, --seeds, --length, --processes, --changes and --routes")
)

// InputError is returned for a command line, a plan or a directory that cannot be used.
type InputError struct{ Err error }

func (e *InputError) Error() string { return e.Err.Error() }

func (e *InputError) Unwrap() error { return e.Err }

// ExitCode returns a program's exit code after an error of Command: 2 for an InputError, else 1.
func ExitCode(err error) int {
	var input *InputError
	if errors.As(err, &input) {
		return 2
	}
	return 1
}

const (
	smallCores, smallProxyMachines, smallZones = 3, 4, 2
	largeCores, largeZones                     = 5, 3
	memoryPerProcessMB                         = 80 // memory budget of one process
	memoryShare                                = 2  // the processes may use 1/memoryShare of the machine's memory
	smallRequests, largeRequests               = 40, 4
)

type options struct {
	plan            plan.Plan
	length          time.Duration
	seeds, parallel int
	size, file      string
	out, programs   string
	asJSON          bool
}

// Command returns the command line of the soak.
func Command() *cobra.Command {
	o := &options{plan: plan.Plan{Seed: 1, Changes: 5, Routes: 100}, length: time.Minute, seeds: 1, parallel: 1, size: "small"}
	cmd := &cobra.Command{Use: "soak", Short: "Run the system's real processes under overlapping faults and changes, and check every request and every change", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			return o.run(ctx, c)
		}}
	flags := cmd.Flags()
	flags.Uint64Var(&o.plan.Seed, "seed", o.plan.Seed, "the first seed; a seed always generates the same plan")
	flags.IntVar(&o.seeds, "seeds", o.seeds, "number of runs, with consecutive seeds")
	flags.IntVar(&o.parallel, "parallel", o.parallel, "runs in parallel")
	flags.DurationVar(&o.length, "length", o.length, "duration of the traffic")
	flags.StringVar(&o.size, "processes", o.size, "small: 11 processes; most: as many as fit into this machine's memory")
	flags.Float64Var(&o.plan.Changes, "changes", o.plan.Changes, "configuration changes per second")
	flags.IntVar(&o.plan.Routes, "routes", o.plan.Routes, "routes of a configuration in addition to those that clients request")
	flags.StringVar(&o.file, "plan", "", "run this plan file, as written by an earlier run")
	flags.StringVar(&o.out, "out", "", "directory for reports and logs; default: a temporary one, which is kept if a rule was broken")
	flags.StringVar(&o.programs, "programs", "", "directory of the built programs; default: that of this program")
	flags.BoolVar(&o.asJSON, "json", false, "print JSON, one run per line")
	return cmd
}

func (o *options) run(ctx context.Context, c *cobra.Command) error {
	plans, err := o.plans(c)
	if err != nil {
		return &InputError{err}
	}
	if o.programs == "" {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		o.programs = filepath.Dir(self)
	}
	keep := o.out != ""
	if !keep {
		if o.out, err = os.MkdirTemp("", "saddleport-soak-"); err != nil {
			return err
		}
	}
	fmt.Fprintf(c.ErrOrStderr(), "%d runs of %d processes; files in %s\n", len(plans), plans[0].Processes(), o.out)
	found, err := o.runAll(ctx, c.OutOrStdout(), plans)
	if !keep && err == nil && found == 0 {
		os.RemoveAll(o.out)
	}
	if err != nil {
		return err
	}
	if found > 0 {
		return fmt.Errorf("%w in %d of %d runs", ErrFound, found, len(plans))
	}
	return nil
}

// plans returns the plans to run.
func (o *options) plans(c *cobra.Command) ([]*plan.Plan, error) {
	if o.file != "" {
		for _, name := range []string{"seed", "seeds", "length", "processes", "changes", "routes"} {
			if c.Flags().Changed(name) {
				return nil, errPlanConflict
			}
		}
		file, err := os.Open(o.file)
		if err != nil {
			return nil, err
		}
		defer file.Close()
		p, err := plan.Read(file)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", o.file, err)
		}
		return []*plan.Plan{p}, nil
	}
	if o.seeds < 1 || o.seeds > 1000 || o.parallel < 1 || o.parallel > 16 {
		return nil, errSeeds
	}
	var plans []*plan.Plan
	for i := range o.seeds {
		p := o.plan
		p.Seed += uint64(i)
		p.LengthS = o.length.Seconds()
		switch o.size {
		case "small":
			p.Cores, p.Fronts, p.Zones, p.Requests = smallCores, smallProxyMachines, smallZones, smallRequests
		case "most":
			p.Cores, p.Zones, p.Requests = largeCores, largeZones, largeRequests
			p.Fronts = (min(memoryMB()/memoryShare/memoryPerProcessMB, plan.MaxProcesses) - largeCores) / 2
		default:
			return nil, errSize
		}
		if err := p.Validate(); err != nil {
			return nil, err
		}
		p.Generate()
		plans = append(plans, &p)
	}
	return plans, nil
}

// memoryMB returns the machine's memory in MB, or 0 if it cannot be read.
func memoryMB() int {
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if fields := strings.Fields(line); len(fields) >= 2 && fields[0] == "MemTotal:" {
			kb, _ := strconv.Atoi(fields[1])
			return kb / 1024
		}
	}
	return 0
}

// runAll runs the plans, at most o.parallel at a time, and counts the runs that found a broken rule.
func (o *options) runAll(ctx context.Context, out io.Writer, plans []*plan.Plan) (found int, err error) {
	var mu sync.Mutex
	var runs sync.WaitGroup
	slots := make(chan struct{}, o.parallel)
	for _, p := range plans {
		slots <- struct{}{}
		runs.Go(func() {
			defer func() { <-slots }()
			result, runErr := o.runOne(ctx, p)
			mu.Lock()
			defer mu.Unlock()
			if runErr != nil {
				err = errors.Join(err, fmt.Errorf("seed %d: %w", p.Seed, runErr))
				return
			}
			if len(result.Findings) > 0 {
				found++
			}
			if o.asJSON {
				json.NewEncoder(out).Encode(result)
			} else {
				result.Print(out)
			}
		})
	}
	runs.Wait()
	return found, err
}

func (o *options) runOne(ctx context.Context, p *plan.Plan) (*Result, error) {
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	dir := filepath.Join(o.out, fmt.Sprint("seed-", p.Seed))
	result, err := Run(ctx, p, o.programs, dir)
	if err != nil {
		return nil, inputError(err)
	}
	return result, result.Save(dir)
}
