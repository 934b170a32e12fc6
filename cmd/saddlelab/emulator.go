package main

// The commands of the emulator and the experiment tool.

import (
	"context"
	"encoding/csv"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"saddleport/internal/inifile"
	"saddleport/internal/lab/bench"
	"saddleport/internal/lab/compare"
	"saddleport/internal/lab/demo"
	"saddleport/internal/lab/hunt"
	"saddleport/internal/lab/play"
	"saddleport/internal/lab/record"
	"saddleport/internal/lab/report"
	"saddleport/internal/lab/scenario"
	"saddleport/internal/lab/show"
	"saddleport/internal/lab/sweep"
)

// emulated tells whether a file is a scenario's.
func emulated(file string) (bool, error) {
	doc, err := inifile.Read(file)
	return err == nil && scenario.Is(doc), err
}

// theProgram is the mixer to play: the one named, or the one beside this program.
func theProgram(c *cli.Command) (string, error) {
	if p := c.String("program"); p != "" {
		return p, nil
	}
	self, err := os.Executable()
	return filepath.Join(filepath.Dir(self), "saddleport"), err
}

func emulatorCommands(program, asJSON cli.Flag) []*cli.Command {
	driveFlag := &cli.StringFlag{Name: "drive", Value: play.Virtual, Usage: "`DRIVE`: virtual or real"}
	policyFlag := &cli.StringFlag{Name: "policy", Value: play.Mixer, Usage: "`POLICY`: mixer, oracle (sees every server's true state) or random; virtual drive"}
	one := func(f func(context.Context, *cli.Command) error, n int, want string) cli.ActionFunc {
		return func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() != n {
				return errors.New(want)
			}
			return f(ctx, c)
		}
	}
	return []*cli.Command{
		{Name: "demo", Usage: "start a small fleet, discovery, two mixers and load on this machine, and watch", Flags: []cli.Flag{program,
			&cli.DurationFlag{Name: "length", Usage: "live so long; 30s if not given"},
			&cli.BoolFlag{Name: "stay", Usage: "live until interrupted, at most a day"},
			&cli.StringFlag{Name: "out", Usage: "keep the report in this `DIR`"}},
			Action: runDemo},
		{Name: "sweep", Usage: "play all variations of a scenario with all its seeds, on all cores", ArgsUsage: "FILE", Flags: []cli.Flag{program, asJSON, driveFlag, policyFlag,
			&cli.StringFlag{Name: "out", Usage: "keep the runs in this `DIR`; the same sweep into it goes on where it was interrupted"},
			&cli.IntFlag{Name: "seeds", Usage: "so many; the scenario's repeats if not given"},
			&cli.IntFlag{Name: "workers", Usage: "runs at once; as many as cores if not given"},
			&cli.BoolFlag{Name: "rows", Usage: "keep the rows of asks, servers and seconds of each run too"}},
			Action: one(runSweep, 1, "give one scenario's file")},
		{Name: "compare", Usage: "set two sweeps or runs side by side, paired by seed: better, worse or can't tell", ArgsUsage: "A B", Flags: []cli.Flag{asJSON,
			&cli.StringFlag{Name: "report", Usage: "write an HTML `FILE`"}},
			Action: one(runCompare, 2, "give two folders of sweeps or runs")},
		{Name: "replay", Usage: "play one seed again and print the life of one query", ArgsUsage: "FILE", Flags: []cli.Flag{policyFlag,
			&cli.IntFlag{Name: "seed", Usage: "the scenario's if not given"},
			&cli.StringFlag{Name: "query", Usage: "the ask's `ID` (column id of queries.parquet); the one that lost most if not given"}},
			Action: one(runReplay, 1, "give one scenario's file")},
		{Name: "hunt", Usage: "search scenarios near one for the worst loss or a broken rule, and shrink it", ArgsUsage: "FILE", Flags: []cli.Flag{
			&cli.IntFlag{Name: "rounds", Value: 8}, &cli.IntFlag{Name: "each", Value: 8, Usage: "candidates of a round"},
			&cli.IntFlag{Name: "seed", Value: 1}, &cli.StringFlag{Name: "out", Usage: "write what was found into this `FILE`"}},
			Action: one(runHunt, 1, "give one scenario's file")},
		{Name: "rank", Usage: "which scenarios lose most against a policy that sees every server's true state", ArgsUsage: "FILE...", Flags: []cli.Flag{asJSON,
			&cli.IntFlag{Name: "seeds", Value: 4}},
			Action: runRank},
		{Name: "report", Usage: "write a run's folder as one HTML file", ArgsUsage: "DIR", Flags: []cli.Flag{
			&cli.StringFlag{Name: "out", Usage: "the `FILE`; report.html in the folder if not given"}},
			Action: one(runReport, 1, "give one run's folder")},
		{Name: "export", Usage: "write the tables of a run's folder as CSV", ArgsUsage: "DIR", Flags: []cli.Flag{
			&cli.StringFlag{Name: "out", Usage: "the `DIR` to write into; the folder itself if not given"}},
			Action: one(runExport, 1, "give one run's folder")},
		{Name: "scale", Usage: "measure the virtual drive by size, on one core", Flags: []cli.Flag{asJSON,
			&cli.DurationFlag{Name: "length", Value: 20 * time.Second, Usage: "of virtual time"},
			&cli.StringFlag{Name: "chart", Usage: "draw a chart into this `FILE` (.svg or .png)"},
			&cli.StringFlag{Name: "profile", Usage: "write a CPU profile of the row with 1,600 servers into this `FILE`"}},
			Action: func(ctx context.Context, c *cli.Command) error {
				bar := show.NewBar(os.Stderr, "scale")
				t, err := bench.Scale(ctx, c.Duration("length"), c.String("profile"), bar.Set)
				bar.End()
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
			}},
		{Name: "capacity", Usage: "measure what one mixer on one core does on real sockets, beside a loop that only moves the frames", Flags: []cli.Flag{asJSON, program,
			&cli.DurationFlag{Name: "step", Value: 4 * time.Second, Usage: "of each rate"},
			&cli.StringFlag{Name: "profile", Usage: "write a CPU profile of the mixer near its most into this `FILE`"}},
			Action: func(ctx context.Context, c *cli.Command) error {
				prog, err := theProgram(c)
				if err != nil {
					return err
				}
				bar := show.NewBar(os.Stderr, "capacity")
				t, err := bench.Capacity(ctx, prog, c.Duration("step"), c.String("profile"), bar.Set)
				bar.End()
				if err != nil {
					return err
				}
				if c.Bool("json") {
					return encode(t)
				}
				return t.Print(os.Stdout)
			}},
		{Name: "bare", Hidden: true, Usage: "the loop that only moves frames (capacity starts it)", ArgsUsage: "CONFIG", Action: one(func(_ context.Context, c *cli.Command) error {
			return bench.Bare(c.Args().First())
		}, 1, "give a configuration")},
		{Name: "profiled", Hidden: true, Usage: "the mixer under a profiler (capacity starts it)", ArgsUsage: "CONFIG PROFILE", Action: one(func(_ context.Context, c *cli.Command) error {
			return bench.Profiled(c.Args().Get(0), c.Args().Get(1))
		}, 2, "give a configuration and a file")},
	}
}

func runDemo(ctx context.Context, c *cli.Command) error {
	opt := demo.Options{Program: c.String("program"), Length: c.Duration("length"), Dir: c.String("out"), Out: os.Stdout}
	if c.Bool("stay") {
		opt.Length = 24 * time.Hour
	}
	bar := show.NewBar(os.Stderr, "demo")
	opt.Progress = bar.Set
	r, err := demo.Run(ctx, opt)
	bar.End()
	if err != nil {
		return err
	}
	fmt.Println(r.Line())
	if !r.Pass() {
		return errFailed
	}
	return nil
}

// runScenario plays one scenario, in its first variation or the one that is set.
func runScenario(ctx context.Context, c *cli.Command) error {
	doc, err := scenario.Open(c.Args().First())
	if err != nil {
		return err
	}
	values, err := chosen(doc, c.StringSlice("set"))
	if err != nil {
		return err
	}
	if l := c.Duration("length"); l > 0 {
		values = append(values, scenario.Value{Key: "length", Value: l.String()})
	}
	s, err := doc.Scenario(values)
	if err != nil {
		return err
	}
	seed := uint64(s.Seed)
	if c.IsSet("seed") {
		seed = uint64(c.Int("seed"))
	}
	plan, err := s.Plan(seed)
	if err != nil {
		return err
	}
	program, err := theProgram(c)
	if err != nil {
		return err
	}
	var decided *play.Decided
	if c.Bool("decisions") {
		decided = &play.Decided{}
	}
	bar := show.NewBar(os.Stderr, s.Name)
	run, err := play.Play(ctx, plan, play.Options{Decided: decided, Drive: c.String("drive"), Policy: c.String("policy"), Program: program, Keep: true, Progress: bar.Set, Operator: c.String("operator"),
		Logs: logs(c.String("out"))})
	bar.End()
	if err != nil {
		return err
	}
	if c.Bool("json") {
		if err := encode(record.Saved{Summary: run.Summary, Classes: run.Classes, Verdict: run.Verdict, Events: run.Events, Broken: run.Broken, Unmet: run.Unmet(),
			LengthS: run.Length.Seconds(), WarmupS: run.Warmup.Seconds()}); err != nil {
			return err
		}
	} else if err := run.Print(os.Stdout); err != nil {
		return err
	}
	files, err := run.Files()
	if err != nil {
		return err
	}
	fmt.Printf("digest %s\n", record.Digest(files))
	if decided != nil {
		fmt.Printf("decisions %s over %d steps, %d events, %d actions\n", decided.Digest(), decided.Steps, decided.Events, decided.Actions)
	}
	if out := c.String("out"); out != "" {
		if _, err := run.Save(out, s.String()); err != nil {
			return fmt.Errorf("the result could not be kept: %w", err)
		}
		if err := writeReport(out, filepath.Join(out, "report.html")); err != nil {
			return err
		}
		fmt.Printf("kept in %s, with report.html\n", out)
	}
	fmt.Println(run.Line())
	if !run.Pass() {
		return errFailed
	}
	return nil
}

func logs(out string) string {
	if out == "" {
		return ""
	}
	return strings.TrimRight(out, "/") + "-logs"
}

// chosen is the first variation with what --set says.
func chosen(doc *scenario.Doc, set []string) ([]scenario.Value, error) {
	values := slices.Clone(doc.Variations()[0])
	for _, text := range set {
		key, value, ok := strings.Cut(text, "=")
		if !ok {
			return nil, fmt.Errorf("--set %q is not KEY=VALUE", text)
		}
		values = append(slices.DeleteFunc(values, func(v scenario.Value) bool { return v.Key == key }), scenario.Value{Key: key, Value: value})
	}
	return values, nil
}

func runSweep(ctx context.Context, c *cli.Command) error {
	doc, err := scenario.Open(c.Args().First())
	if err != nil {
		return err
	}
	program, err := theProgram(c)
	if err != nil {
		return err
	}
	bar := show.NewBar(os.Stderr, "sweep")
	res, err := sweep.Run(ctx, doc, sweep.Options{Play: play.Options{Drive: c.String("drive"), Policy: c.String("policy"), Program: program},
		Dir: c.String("out"), Repeats: int(c.Int("seeds")), Workers: int(c.Int("workers")), Rows: c.Bool("rows"), Progress: bar.Set})
	bar.End()
	if err != nil {
		return err
	}
	if c.Bool("json") {
		err = encode(res)
	} else {
		res.Print(os.Stdout)
	}
	if err == nil && !res.Pass() {
		for _, o := range res.Runs {
			for _, u := range o.Unmet {
				fmt.Printf("  %s, seed %d: not met: %s\n", o.Label, o.Seed, u)
			}
		}
		return errFailed
	}
	return err
}

func runCompare(_ context.Context, c *cli.Command) error {
	var side [2]*sweep.Result
	for i := range side {
		var err error
		if side[i], err = sweep.Load(c.Args().Get(i)); err != nil {
			return err
		}
	}
	rows, err := compare.Compare(side[0], side[1])
	if err != nil {
		return err
	}
	if file := c.String("report"); file != "" {
		var runs [2]*record.Run
		for i := range runs {
			if r, _, err := record.Load(side[i].Runs[0].Dir); err == nil && len(r.Queries) > 0 {
				runs[i] = r
			}
		}
		f, err := os.Create(file)
		if err != nil {
			return err
		}
		defer f.Close()
		if err := report.Compare(f, rows, c.Args().Get(0), c.Args().Get(1), runs[0], runs[1]); err != nil {
			return err
		}
	}
	if c.Bool("json") {
		return encode(rows)
	}
	return compare.Print(os.Stdout, rows)
}

func runReplay(ctx context.Context, c *cli.Command) error {
	s, err := scenario.Read(c.Args().First())
	if err != nil {
		return err
	}
	seed := uint64(s.Seed)
	if c.IsSet("seed") {
		seed = uint64(c.Int("seed"))
	}
	query := c.String("query")
	again := func(opt play.Options) (*record.Run, error) {
		plan, err := s.Plan(seed)
		if err != nil {
			return nil, err
		}
		opt.Policy = c.String("policy")
		return play.Play(ctx, plan, opt)
	}
	if query == "" {
		run, err := again(play.Options{Keep: true})
		if err != nil {
			return err
		}
		most := -1.0
		for _, q := range run.Queries {
			if lost := q.Value - q.Earned; lost > most {
				most, query = lost, q.ID
			}
		}
	}
	found := false
	if _, err := again(play.Options{Trace: func(at time.Duration, ask, text string) {
		if ask == query {
			found = true
			fmt.Printf("%12.6f  %s\n", at.Seconds(), text)
		}
	}}); err != nil {
		return err
	}
	if !found {
		return fmt.Errorf("there is no ask %q in this run", query)
	}
	return nil
}

func runHunt(ctx context.Context, c *cli.Command) error {
	doc, err := scenario.Open(c.Args().First())
	if err != nil {
		return err
	}
	bar := show.NewBar(os.Stderr, "hunt")
	f, err := hunt.Hunt(ctx, doc, hunt.Options{Rounds: int(c.Int("rounds")), Each: int(c.Int("each")), Seed: uint64(c.Int("seed")), Progress: bar.Set,
		Notice: func(format string, a ...any) { fmt.Printf(format+"\n", a...) }})
	bar.End()
	if err != nil {
		return err
	}
	for _, x := range f.Faults {
		fmt.Println("  " + x)
	}
	text := fmt.Sprintf("# Found by saddlelab hunt %s --seed %d in %d runs; play it with --seed %d.\n# The mixer gets %.4f, a policy that sees every server's true state %.4f; rules broken: %d.\n%s",
		filepath.Base(c.Args().First()), c.Int("seed"), f.Played, f.Seed, f.Mixer, f.Oracle, f.Broken, f.Text)
	if out := c.String("out"); out != "" {
		return os.WriteFile(out, []byte(text), 0o644)
	}
	fmt.Print(text)
	return nil
}

func runRank(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() == 0 {
		return errors.New("give scenarios' files")
	}
	bar := show.NewBar(os.Stderr, "rank")
	rows, err := hunt.Rank(ctx, c.Args().Slice(), int(c.Int("seeds")), 0, bar.Set)
	bar.End()
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return encode(rows)
	}
	return hunt.PrintRank(os.Stdout, rows)
}

func writeReport(dir, file string) error {
	run, saved, err := record.Load(dir)
	if err != nil {
		return err
	}
	text, err := os.ReadFile(filepath.Join(dir, record.ScenarioFile))
	if err != nil {
		return err
	}
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	defer f.Close()
	return report.Run(f, run, saved, string(text), record.DescribeMachine(dir))
}

func runReport(_ context.Context, c *cli.Command) error {
	dir := c.Args().First()
	file := c.String("out")
	if file == "" {
		file = filepath.Join(dir, "report.html")
	}
	if err := writeReport(dir, file); err != nil {
		return err
	}
	fmt.Println(file)
	return nil
}

func runExport(_ context.Context, c *cli.Command) error {
	dir := c.Args().First()
	run, _, err := record.Load(dir)
	if err != nil {
		return err
	}
	out := c.String("out")
	if out == "" {
		out = dir
	}
	if err := os.MkdirAll(out, 0o755); err != nil {
		return err
	}
	for name, list := range map[string]any{"queries.csv": run.Queries, "seconds.csv": run.Seconds, "run.csv": []record.Summary{run.Summary}} {
		if err := exportCSV(filepath.Join(out, name), list); err != nil {
			return err
		}
	}
	return nil
}

// exportCSV writes rows with the names of the Parquet schema in the first line.
func exportCSV(file string, list any) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	defer f.Close()
	w := csv.NewWriter(f)
	v := reflect.ValueOf(list)
	row := v.Type().Elem()
	var head []string
	for i := range row.NumField() {
		name, _, _ := strings.Cut(row.Field(i).Tag.Get("parquet"), ",")
		head = append(head, name)
	}
	w.Write(head)
	for i := range v.Len() {
		var line []string
		for k := range row.NumField() {
			line = append(line, fmt.Sprint(v.Index(i).Field(k).Interface()))
		}
		w.Write(line)
	}
	w.Flush()
	return errors.Join(w.Error(), f.Close())
}
