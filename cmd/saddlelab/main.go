// Command saddlelab plays drills against the mixer and measures it. This file owns
// the command line and nothing else: what the commands do is in internal/lab.
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

// errFailed is a drill that was played and failed; it has been told already.
var errFailed = errors.New("the drill failed")

func main() {
	program := &cli.StringFlag{Name: "program", Usage: "the mixer's `FILE`; the one beside this program if not given"}
	asJSON := &cli.BoolFlag{Name: "json", Usage: "print the result as JSON"}
	root := &cli.Command{
		Name:  "saddlelab",
		Usage: "drills and measurements of the mixer, on this machine alone",
		Commands: []*cli.Command{
			{Name: "run", Usage: "play a drill or a scenario; exit 0 if it passes, 1 if not", ArgsUsage: "FILE",
				Flags: []cli.Flag{program, asJSON,
					&cli.StringFlag{Name: "drive", Value: "virtual", Usage: "scenario: `DRIVE` virtual (no sockets) or real (the program, on loopback)"},
					&cli.StringFlag{Name: "policy", Value: "mixer", Usage: "scenario: `POLICY` mixer, oracle (sees every server's true state) or random"},
					&cli.IntFlag{Name: "seed", Usage: "scenario: another seed"},
					&cli.StringSliceFlag{Name: "set", Usage: "scenario: set `KEY=VALUE`, as fleet.cores=4 or rate=2"},
					&cli.BoolFlag{Name: "decisions", Usage: "scenario, virtual drive: print a digest of all events and actions of the decisions"},
					&cli.StringFlag{Name: "operator", Usage: "scenario, real drive: the mixers' operator `FILE`"},
					&cli.StringFlag{Name: "out", Usage: "keep logs and the result in this `DIR`"},
					&cli.DurationFlag{Name: "length", Usage: "play it so long instead; steps keep their times, those after it do not happen"}},
				Action: func(ctx context.Context, c *cli.Command) error {
					if c.Args().Len() != 1 {
						return errors.New("give one drill's or scenario's file")
					}
					if is, err := emulated(c.Args().First()); err != nil {
						return err
					} else if is {
						return runScenario(ctx, c)
					}
					return run(ctx, c)
				}},
			{Name: "check", Usage: "read drills and scenarios and say what is wrong with them", ArgsUsage: "FILE...",
				Action: func(_ context.Context, c *cli.Command) error {
					for _, file := range c.Args().Slice() {
						if is, err := emulated(file); err != nil {
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
								fmt.Printf("%s: %s %s, %v, %d servers, %d mixers, %d classes, %d faults\n", file, s.Name, scenario.Label(v), s.Length, s.Servers(), s.Mixers.Count, len(s.Classes), len(s.Faults))
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
			{Name: "hook-cost", Usage: "measure what a hook costs, by engine and point", Flags: []cli.Flag{asJSON,
				&cli.IntFlag{Name: "calls", Value: 5000, Usage: "calls counted for each row"},
				&cli.StringFlag{Name: "guest", Usage: "a WebAssembly `FILE` of a hook that does nothing (sdk/build.sh makes it)", Value: "drills/sets/wasm/noop.wasm"}},
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
			cost("map-cost", "measure the map of segments by size", asJSON, func() (costs, error) {
				return mapcost.Measure([]int{1000, 3000, 10000, 30000, 100000}, os.Stderr)
			}),
			cost("members-cost", "measure the merge of sources by the size of the fleet", asJSON, func() (costs, error) {
				return membercost.Measure([]int{100, 300, 1000, 5000, 10000}, os.Stderr)
			}),
		},
	}
	root.Commands = append(root.Commands, emulatorCommands(program, asJSON)...)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := root.Run(ctx, os.Args); err != nil {
		if !errors.Is(err, errFailed) {
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
	var base *drill.Run
	if d.Compare {
		if base, err = drill.Play(ctx, d, opt, false); err != nil {
			return err
		}
	}
	main, err := drill.Play(ctx, d, opt, d.Hooked() || d.Reshape.Segments > 0)
	if err != nil {
		return err
	}
	progress.End()
	r := drill.Evaluate(d, base, main)
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
		return errFailed
	}
	return nil
}

// costs is a measurement by size.
type costs interface {
	Chart(file string) error
	Print(w io.Writer) error
}

// cost is a command that measures by size, and draws a chart if it is to.
func cost(name, usage string, asJSON cli.Flag, measure func() (costs, error)) *cli.Command {
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
