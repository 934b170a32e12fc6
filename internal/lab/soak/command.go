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

// Errors of the command line. ErrFound is returned for a run that found a broken rule; all else
// that a caller can mend is an InputError.
var (
	ErrFound   = errors.New("rules were broken")
	errSize    = errors.New("--processes: neither small nor most")
	errSeeds   = errors.New("--seeds: 1 to 1000; --parallel: 1 to 16")
	errPlanToo = errors.New("--plan says what is played: --seeds, --length, --processes, --changes and --routes do not go with it")
)

// InputError is returned for a command line, a plan or a folder that cannot be used.
type InputError struct{ Err error }

func (e *InputError) Error() string { return e.Err.Error() }

func (e *InputError) Unwrap() error { return e.Err }

// ExitCode is what a program ends with after an error of Command: 2 for bad input.
func ExitCode(err error) int {
	var input *InputError
	if errors.As(err, &input) {
		return 2
	}
	return 1
}

const (
	smallCores, smallFronts, smallZones = 3, 4, 2
	mostCores, mostZones                = 5, 3
	processMB                           = 80 // that one process is reckoned with
	memoryShare                         = 2  // one in so many bytes of the machine may be used
	requestsSmall, requestsMost         = 40, 4
)

type options struct {
	plan            plan.Plan
	length          time.Duration
	seeds, parallel int
	size, file      string
	out, programs   string
	asJSON          bool
}

// Command is the soak's command line.
func Command() *cobra.Command {
	o := &options{plan: plan.Plan{Seed: 1, Changes: 5, Routes: 100}, length: time.Minute, seeds: 1, parallel: 1, size: "small"}
	cmd := &cobra.Command{Use: "soak", Short: "Run the system's real processes under overlapping faults and changes, and hold every request and change to account", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			return o.run(ctx, c)
		}}
	flags := cmd.Flags()
	flags.Uint64Var(&o.plan.Seed, "seed", o.plan.Seed, "the first seed; the same one draws the same plan")
	flags.IntVar(&o.seeds, "seeds", o.seeds, "runs, each with the next seed")
	flags.IntVar(&o.parallel, "parallel", o.parallel, "runs at once")
	flags.DurationVar(&o.length, "length", o.length, "time of traffic")
	flags.StringVar(&o.size, "processes", o.size, "small: 11; most: as many as this machine bears")
	flags.Float64Var(&o.plan.Changes, "changes", o.plan.Changes, "changes of the configuration a second")
	flags.IntVar(&o.plan.Routes, "routes", o.plan.Routes, "routes of a configuration beside those that are asked for")
	flags.StringVar(&o.file, "plan", "", "a plan to play, as a run printed it")
	flags.StringVar(&o.out, "out", "", "folder for reports and logs; else a temporary one, which is kept where something was found")
	flags.StringVar(&o.programs, "programs", "", "folder of the built programs; else the one of this program")
	flags.BoolVar(&o.asJSON, "json", false, "print JSON, a run a line")
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
	fmt.Fprintf(c.ErrOrStderr(), "%d runs of %d processes; files below %s\n", len(plans), plans[0].Processes(), o.out)
	found, err := o.playAll(ctx, c.OutOrStdout(), plans)
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

// plans returns what is played.
func (o *options) plans(c *cobra.Command) ([]*plan.Plan, error) {
	if o.file != "" {
		for _, name := range []string{"seed", "seeds", "length", "processes", "changes", "routes"} {
			if c.Flags().Changed(name) {
				return nil, errPlanToo
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
			p.Cores, p.Fronts, p.Zones, p.Requests = smallCores, smallFronts, smallZones, requestsSmall
		case "most":
			p.Cores, p.Zones, p.Requests = mostCores, mostZones, requestsMost
			p.Fronts = (min(memoryMB()/memoryShare/processMB, plan.MaxProcesses) - mostCores) / 2
		default:
			return nil, errSize
		}
		if err := p.Validate(); err != nil {
			return nil, err
		}
		p.Draw()
		plans = append(plans, &p)
	}
	return plans, nil
}

// memoryMB is the machine's memory.
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

// playAll plays the plans, some at once, and counts the runs that found something.
func (o *options) playAll(ctx context.Context, out io.Writer, plans []*plan.Plan) (found int, err error) {
	var mu sync.Mutex
	var wait sync.WaitGroup
	slots := make(chan struct{}, o.parallel)
	for _, p := range plans {
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			result, failed := o.playOne(ctx, p)
			mu.Lock()
			defer mu.Unlock()
			if failed != nil {
				err = errors.Join(err, fmt.Errorf("seed %d: %w", p.Seed, failed))
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
	wait.Wait()
	return found, err
}

func (o *options) playOne(ctx context.Context, p *plan.Plan) (*Result, error) {
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
