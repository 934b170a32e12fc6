// Command saddlelab runs drills and scenarios against the proxy and measures it. This package only
// parses the command line; internal/lab implements the commands.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/urfave/cli/v3"

	"saddleport/internal/lab/drill"
	"saddleport/internal/lab/hookcost"
	"saddleport/internal/lab/mapcost"
	"saddleport/internal/lab/membercost"
	"saddleport/internal/lab/scenario"
	"saddleport/internal/lab/show"
)

// errDrillFailed is returned for a drill that ran and failed; its result has already been printed.
var errDrillFailed = errors.New("the drill failed")

func main() {
	program := &cli.StringFlag{Name: "program", Usage: "the program `FILE` of the proxy; saddleport in the directory of this program if not given"}
	asJSON := &cli.BoolFlag{Name: "json", Usage: "print the result as JSON"}
	root := &cli.Command{
		Name:  "saddlelab",
		Usage: "drills and measurements of the proxy, on this machine only",
		Commands: []*cli.Command{
			{Name: "run", Usage: "run a drill or a scenario; exit with 0 if it passes, else with 1", ArgsUsage: "FILE",
				Flags: []cli.Flag{program, asJSON,
					&cli.StringFlag{Name: "drive", Value: "virtual", Usage: "scenario: `DRIVE`, virtual (no sockets) or real (the program, on loopback)"},
					&cli.StringFlag{Name: "policy", Value: "mixer", Usage: "scenario: `POLICY`, mixer (the proxy's decisions), oracle (knows the true state of each server) or random"},
					&cli.IntFlag{Name: "seed", Usage: "scenario: the seed; the scenario's if not given"},
					&cli.StringSliceFlag{Name: "set", Usage: "scenario: set `KEY=VALUE`, such as fleet.cores=4 or rate=2"},
					&cli.BoolFlag{Name: "decisions", Usage: "scenario, virtual drive: print a digest of all events and actions of the decision logic"},
					&cli.StringFlag{Name: "operator", Usage: "scenario, real drive: the operator `FILE` of the proxies"},
					&cli.StringFlag{Name: "out", Usage: "write logs and the result into this `DIR`"},
					&cli.DurationFlag{Name: "length", Usage: "duration; steps keep their times, and steps after the end are skipped"}},
				Action: func(ctx context.Context, c *cli.Command) error {
					if c.Args().Len() != 1 {
						return errors.New("expected exactly one argument: the file of a drill or a scenario")
					}
					if is, err := isScenario(c.Args().First()); err != nil {
						return err
					} else if is {
						return runScenario(ctx, c)
					}
					return run(ctx, c)
				}},
			{Name: "check", Usage: "check the files of drills and scenarios and report the first error", ArgsUsage: "FILE...",
				Action: func(_ context.Context, c *cli.Command) error {
					for _, file := range c.Args().Slice() {
						if is, err := isScenario(file); err != nil {
							return err
						} else if is {
							doc, err := scenario.Open(file)
							if err != nil {
								return err
							}
							for _, v := range doc.Variations() {
								s, err := doc.Scenario(v)
								if err != nil {
									return err
								}
								fmt.Printf("%s: %s %s, %v, %d servers, %d proxies, %d classes, %d faults\n", file, s.Name, scenario.Label(v), s.Length, s.Servers(), s.Proxies.Count, len(s.Classes), len(s.Faults))
							}
							continue
						}
						d, err := drill.Read(file)
						if err != nil {
							return err
						}
						fmt.Printf("%s: %s, %v, %d classes, %d steps\n", file, d.Name, d.Length, len(d.Classes), len(d.Steps))
					}
					return nil
				}},
			{Name: "hook-cost", Usage: "measure the cost of a hook call, by engine and hook point", Flags: []cli.Flag{asJSON,
				&cli.IntFlag{Name: "calls", Value: 5000, Usage: "measured calls in each row"},
				&cli.StringFlag{Name: "guest", Usage: "the WebAssembly `FILE` of a hook that does nothing (built by sdk/build.sh)", Value: "drills/sets/wasm/noop.wasm"}},
				Action: func(ctx context.Context, c *cli.Command) error {
					t, err := hookcost.Measure(ctx, c.String("guest"), int(c.Int("calls")))
					if err != nil {
						return err
					}
					if c.Bool("json") {
						return encode(t)
					}
					return t.Print(os.Stdout)
				}},
			sizeMeasurementCommand("map-cost", "measure the cost of a segment map by its number of segments", asJSON, func() (sizeMeasurement, error) {
				return mapcost.Measure([]int{1000, 3000, 10000, 30000, 100000}, os.Stderr)
			}),
			sizeMeasurementCommand("members-cost", "measure the cost of the membership merge by the size of the fleet", asJSON, func() (sizeMeasurement, error) {
				return membercost.Measure([]int{100, 300, 1000, 5000, 10000}, os.Stderr)
			}),
		},
	}
	root.Commands = append(root.Commands, emulatorCommands(program, asJSON)...)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := root.Run(ctx, os.Args); err != nil {
		if !errors.Is(err, errDrillFailed) {
			fmt.Fprintln(os.Stderr, "saddlelab:", err)
		}
		os.Exit(1)
	}
}

func encode(v any) error {
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

func run(ctx context.Context, c *cli.Command) error {
	d, err := drill.Read(c.Args().First())
	if err != nil {
		return err
	}
	if l := c.Duration("length"); l > 0 {
		d.Shorten(l)
	}
	program := c.String("program")
	if program == "" {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		program = filepath.Join(filepath.Dir(self), "saddleport")
	}
	out := c.String("out")
	if out != "" {
		if err := os.MkdirAll(out, 0o755); err != nil {
			return err
		}
	}
	progress := show.New(os.Stderr)
	defer progress.End()
	opt := drill.Options{Program: program, Out: out, Progress: progress.Sample, Notice: progress.Notice}
	var baseline *drill.Run
	if d.Compare {
		if baseline, err = drill.Play(ctx, d, opt, false); err != nil {
			return err
		}
	}
	changed, err := drill.Play(ctx, d, opt, d.Hooked() || d.Reshape.Segments > 0)
	if err != nil {
		return err
	}
	progress.End()
	r := drill.Evaluate(d, baseline, changed)
	if out != "" {
		if err := r.Save(out); err != nil {
			return err
		}
	}
	if c.Bool("json") {
		if err := encode(r); err != nil {
			return err
		}
	} else if err := r.Print(os.Stdout); err != nil {
		return err
	}
	fmt.Println(r.Line())
	if !r.Pass {
		return errDrillFailed
	}
	return nil
}

// sizeMeasurement is the result of a measurement by size.
type sizeMeasurement interface {
	Chart(file string) error
	Print(w io.Writer) error
}

// sizeMeasurementCommand returns a command that runs a measurement by size, prints the result and
// optionally draws a chart.
func sizeMeasurementCommand(name, usage string, asJSON cli.Flag, measure func() (sizeMeasurement, error)) *cli.Command {
	return &cli.Command{Name: name, Usage: usage, Flags: []cli.Flag{asJSON, &cli.StringFlag{Name: "chart", Usage: "draw a chart into this `FILE` (.png or .svg)"}},
		Action: func(_ context.Context, c *cli.Command) error {
			t, err := measure()
			if err != nil {
				return err
			}
			if file := c.String("chart"); file != "" {
				if err := t.Chart(file); err != nil {
					return err
				}
			}
			if c.Bool("json") {
				return encode(t)
			}
			return t.Print(os.Stdout)
		}}
}
