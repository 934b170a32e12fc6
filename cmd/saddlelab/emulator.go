package main

// This file declares and implements the commands of the emulator.

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

// isScenario reports whether a file is a scenario; otherwise it is a drill.
func isScenario(file string) (bool, error) {
	doc, err := inifile.Read(file)
	return err == nil && scenario.IsScenario(doc), err
}

// proxyProgramPath returns the path of the proxy: that of the flag --program, or saddleport in the
// directory of this program.
func proxyProgramPath(c *cli.Command) (string, error) {
	if p := c.String("program"); p != "" {
		return p, nil
	}
	self, err := os.Executable()
	return filepath.Join(filepath.Dir(self), "saddleport"), err
}

func emulatorCommands(program, asJSON cli.Flag) []*cli.Command {
	driveFlag := &cli.StringFlag{Name: "drive", Value: play.Virtual, Usage: "`DRIVE`: virtual (no sockets) or real (the program, on loopback)"}
	policyFlag := &cli.StringFlag{Name: "policy", Value: play.Proxy, Usage: "`POLICY` of the virtual drive: mixer (the proxy's decisions), oracle (knows the true state of each server) or random"}
	withArgs := func(f func(context.Context, *cli.Command) error, n int, usage string) cli.ActionFunc {
		return func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() != n {
				return errors.New(usage)
			}
			return f(ctx, c)
		}
	}
	return []*cli.Command{
		{Name: "demo", Usage: "run a small fleet, discovery, two proxies and load on this machine, and show what happens", Flags: []cli.Flag{program,
			&cli.DurationFlag{Name: "length", Usage: "duration; 30s if not given"},
			&cli.BoolFlag{Name: "stay", Usage: "run until interrupted, at most a day"},
			&cli.StringFlag{Name: "out", Usage: "write the report into this `DIR`"}},
			Action: runDemo},
		{Name: "sweep", Usage: "run all variations of a scenario with all its seeds, on all cores", ArgsUsage: "FILE", Flags: []cli.Flag{program, asJSON, driveFlag, policyFlag,
			&cli.StringFlag{Name: "out", Usage: "write the runs into this `DIR`; if an earlier sweep into it was interrupted, the sweep continues from there"},
			&cli.IntFlag{Name: "seeds", Usage: "number of seeds; the scenario's repeats if not given"},
			&cli.IntFlag{Name: "workers", Usage: "concurrent runs; the number of cores if not given"},
			&cli.BoolFlag{Name: "rows", Usage: "also write the rows of queries, servers and seconds of each run"}},
			Action: withArgs(runSweep, 1, "expected exactly one argument: the file of a scenario")},
		{Name: "compare", Usage: "compare two sweeps or runs, paired by seed: better, worse or undecided", ArgsUsage: "A B", Flags: []cli.Flag{asJSON,
			&cli.StringFlag{Name: "report", Usage: "write an HTML `FILE`"}},
			Action: withArgs(runCompare, 2, "expected two arguments: the directories of two sweeps or runs")},
		{Name: "replay", Usage: "run one seed again and print the timeline of one query", ArgsUsage: "FILE", Flags: []cli.Flag{policyFlag,
			&cli.IntFlag{Name: "seed", Usage: "the scenario's seed if not given"},
			&cli.StringFlag{Name: "query", Usage: "the query's `ID` (column id of queries.parquet); the query with the largest loss of value if not given"}},
			Action: withArgs(runReplay, 1, "expected exactly one argument: the file of a scenario")},
		{Name: "hunt", Usage: "search the scenarios near a given one for the largest loss of value or a violated rule, and minimize the result", ArgsUsage: "FILE", Flags: []cli.Flag{
			&cli.IntFlag{Name: "rounds", Value: 8}, &cli.IntFlag{Name: "each", Value: 8, Usage: "candidates in each round"},
			&cli.IntFlag{Name: "seed", Value: 1}, &cli.StringFlag{Name: "out", Usage: "write the scenario that was found into this `FILE`"}},
			Action: withArgs(runHunt, 1, "expected exactly one argument: the file of a scenario")},
		{Name: "rank", Usage: "list which scenarios lose most value against a policy that knows the true state of each server", ArgsUsage: "FILE...", Flags: []cli.Flag{asJSON,
			&cli.IntFlag{Name: "seeds", Value: 4}},
			Action: runRank},
		{Name: "report", Usage: "write an HTML report of a run", ArgsUsage: "DIR", Flags: []cli.Flag{
			&cli.StringFlag{Name: "out", Usage: "the HTML `FILE`; report.html in the run's directory if not given"}},
			Action: withArgs(runReport, 1, "expected exactly one argument: the directory of a run")},
		{Name: "export", Usage: "write the tables of a run as CSV files", ArgsUsage: "DIR", Flags: []cli.Flag{
			&cli.StringFlag{Name: "out", Usage: "the `DIR` to write into; the run's directory if not given"}},
			Action: withArgs(runExport, 1, "expected exactly one argument: the directory of a run")},
		{Name: "scale", Usage: "measure the speed of the virtual drive by the size of the fleet, on one core", Flags: []cli.Flag{asJSON,
			&cli.DurationFlag{Name: "length", Value: 20 * time.Second, Usage: "virtual time of each row"},
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
		{Name: "capacity", Usage: "measure the throughput of one proxy on one core with real sockets, compared with a loop that only forwards frames", Flags: []cli.Flag{asJSON, program,
			&cli.DurationFlag{Name: "step", Value: 4 * time.Second, Usage: "duration of each rate"},
			&cli.StringFlag{Name: "profile", Usage: "write a CPU profile of the proxy near its highest rate into this `FILE`"}},
			Action: func(ctx context.Context, c *cli.Command) error {
				proxyProgram, err := proxyProgramPath(c)
				if err != nil {
					return err
				}
				bar := show.NewBar(os.Stderr, "capacity")
				t, err := bench.Capacity(ctx, proxyProgram, c.Duration("step"), c.String("profile"), bar.Set)
				bar.End()
				if err != nil {
					return err
				}
				if c.Bool("json") {
					return encode(t)
				}
				return t.Print(os.Stdout)
			}},
		{Name: "bare", Hidden: true, Usage: "run the loop that only forwards frames (started by capacity)", ArgsUsage: "CONFIG", Action: withArgs(func(_ context.Context, c *cli.Command) error {
			return bench.Bare(c.Args().First())
		}, 1, "expected exactly one argument: a configuration")},
		{Name: "profiled", Hidden: true, Usage: "run the proxy with a CPU profiler (started by capacity)", ArgsUsage: "CONFIG PROFILE", Action: withArgs(func(_ context.Context, c *cli.Command) error {
			return bench.Profiled(c.Args().Get(0), c.Args().Get(1))
		}, 2, "expected two arguments: a configuration and a profile")},
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
		return errDrillFailed
	}
	return nil
}

// runScenario runs one scenario, in its first variation with the overrides of --set.
func runScenario(ctx context.Context, c *cli.Command) error {
	doc, err := scenario.Open(c.Args().First())
	if err != nil {
		return err
	}
	values, err := variationWithOverrides(doc, c.StringSlice("set"))
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
	program, err := proxyProgramPath(c)
	if err != nil {
		return err
	}
	var decided *play.DecisionDigest
	if c.Bool("decisions") {
		decided = &play.DecisionDigest{}
	}
	bar := show.NewBar(os.Stderr, s.Name)
	run, err := play.Play(ctx, plan, play.Options{Digest: decided, Drive: c.String("drive"), Policy: c.String("policy"), Program: program, KeepRows: true, Progress: bar.Set, Operator: c.String("operator"),
		Logs: logDir(c.String("out"))})
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
			return fmt.Errorf("write the result: %w", err)
		}
		if err := writeReport(out, filepath.Join(out, "report.html")); err != nil {
			return err
		}
		fmt.Printf("written to %s, with report.html\n", out)
	}
	fmt.Println(run.Line())
	if !run.Pass() {
		return errDrillFailed
	}
	return nil
}

// logDir returns the directory for the proxies' logs of a run that is written to dir; empty if
// the run is not written.
func logDir(dir string) string {
	if dir == "" {
		return ""
	}
	return strings.TrimRight(dir, "/") + "-logs"
}

// variationWithOverrides returns the first variation with the overrides KEY=VALUE of --set.
func variationWithOverrides(doc *scenario.Doc, set []string) ([]scenario.Value, error) {
	values := slices.Clone(doc.Variations()[0])
	for _, text := range set {
		key, value, ok := strings.Cut(text, "=")
		if !ok {
			return nil, fmt.Errorf("--set %q: expected KEY=VALUE", text)
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
	program, err := proxyProgramPath(c)
	if err != nil {
		return err
	}
	bar := show.NewBar(os.Stderr, "sweep")
	res, err := sweep.Run(ctx, doc, sweep.Options{Play: play.Options{Drive: c.String("drive"), Policy: c.String("policy"), Program: program},
		Dir: c.String("out"), Repeats: int(c.Int("seeds")), Workers: int(c.Int("workers")), KeepRows: c.Bool("rows"), Progress: bar.Set})
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
		return errDrillFailed
	}
	return err
}

func runCompare(_ context.Context, c *cli.Command) error {
	var results [2]*sweep.Result
	for i := range results {
		var err error
		if results[i], err = sweep.Load(c.Args().Get(i)); err != nil {
			return err
		}
	}
	rows, err := compare.Compare(results[0], results[1])
	if err != nil {
		return err
	}
	if file := c.String("report"); file != "" {
		var runs [2]*record.Run
		for i := range runs {
			if r, _, err := record.Load(results[i].Runs[0].Dir); err == nil && len(r.Queries) > 0 {
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
	replay := func(opt play.Options) (*record.Run, error) {
		plan, err := s.Plan(seed)
		if err != nil {
			return nil, err
		}
		opt.Policy = c.String("policy")
		return play.Play(ctx, plan, opt)
	}
	if query == "" {
		run, err := replay(play.Options{KeepRows: true})
		if err != nil {
			return err
		}
		largestLoss := -1.0
		for _, q := range run.Queries {
			if lost := q.Value - q.Earned; lost > largestLoss {
				largestLoss, query = lost, q.ID
			}
		}
	}
	found := false
	if _, err := replay(play.Options{Trace: func(at time.Duration, id, text string) {
		if id == query {
			found = true
			fmt.Printf("%12.6f  %s\n", at.Seconds(), text)
		}
	}}); err != nil {
		return err
	}
	if !found {
		return fmt.Errorf("no query %q in this run", query)
	}
	return nil
}

func runHunt(ctx context.Context, c *cli.Command) error {
	doc, err := scenario.Open(c.Args().First())
	if err != nil {
		return err
	}
	bar := show.NewBar(os.Stderr, "hunt")
	f, err := hunt.Hunt(ctx, doc, hunt.Options{Rounds: int(c.Int("rounds")), Candidates: int(c.Int("each")), Seed: uint64(c.Int("seed")), Progress: bar.Set,
		Logf: func(format string, a ...any) { fmt.Printf(format+"\n", a...) }})
	bar.End()
	if err != nil {
		return err
	}
	for _, x := range f.Faults {
		fmt.Println("  " + x)
	}
	text := fmt.Sprintf("# Found by saddlelab hunt %s --seed %d in %d runs; run it with --seed %d.\n# The proxy gets %.4f, a policy that knows the true state of each server gets %.4f; violated rules: %d.\n%s",
		filepath.Base(c.Args().First()), c.Int("seed"), f.Played, f.Seed, f.ProxyGoodput, f.OracleGoodput, f.Broken, f.Text)
	if out := c.String("out"); out != "" {
		return os.WriteFile(out, []byte(text), 0o644)
	}
	fmt.Print(text)
	return nil
}

func runRank(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() == 0 {
		return errors.New("expected at least one argument: the file of a scenario")
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

// exportCSV writes rows, a slice of structs, as CSV. The header has the names of the Parquet schema.
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
