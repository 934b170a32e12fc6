// Package sweep runs all variations of a scenario with all its seeds, on all cores, and
// manages the directory of a sweep: a run directory for each run, and the table of all runs.
// An unfinished run must never be counted, and a finished run must not be run again.
package sweep

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"

	"github.com/parquet-go/parquet-go"

	"saddleport/internal/lab/play"
	"saddleport/internal/lab/record"
	"saddleport/internal/lab/scenario"
)

// Options configures a sweep.
type Options struct {
	Play     play.Options
	Dir      string // directory of the sweep; empty: nothing is saved
	Repeats  int    // number of seeds; 0: the scenario's
	Workers  int    // 0: one for each CPU
	KeepRows bool   // also keep the rows of requests and seconds
	Progress func(share float64, remark string)
}

// RunResult is the result of one run of a sweep.
type RunResult struct {
	Variation int
	Label     string
	Seed      int
	Dir       string
	Summary   record.Summary
	Digest    string
	Unmet     []string
	Skipped   bool // loaded from an earlier sweep
}

// Result is the result of a sweep.
type Result struct {
	Name string
	Runs []RunResult
}

// RunsFile is the table of all runs in a sweep's directory.
const RunsFile = "runs.parquet"

// Run runs a sweep. After an interrupt the finished runs stay; the same sweep into the same
// directory then continues from there.
func Run(ctx context.Context, doc *scenario.Doc, opt Options) (*Result, error) {
	variations := doc.Variations()
	first, err := doc.Scenario(variations[0])
	if err != nil {
		return nil, err
	}
	repeats := opt.Repeats
	if repeats <= 0 {
		repeats = first.Repeats
	}
	type job struct {
		at       int
		scenario *scenario.Scenario
		one      *RunResult
	}
	res := &Result{Name: first.Name}
	var jobs []job
	for v, values := range variations {
		s, err := doc.Scenario(values)
		if err != nil {
			return nil, fmt.Errorf("variation %s: %w", scenario.Label(values), err)
		}
		for n := range repeats {
			seed := s.Seed + n
			one := RunResult{Variation: v, Label: scenario.Label(values), Seed: seed}
			if opt.Dir != "" {
				one.Dir = filepath.Join(opt.Dir, fmt.Sprintf("v%03d-s%d", v, seed))
			}
			res.Runs = append(res.Runs, one)
			jobs = append(jobs, job{len(jobs), s, nil})
		}
	}
	for i := range jobs {
		jobs[i].one = &res.Runs[i]
	}
	workers := opt.Workers
	if workers <= 0 {
		workers = runtime.NumCPU()
	}
	if opt.Play.Drive == play.Real { // concurrent runs in real time would disturb each other
		workers = 1 // runs in real time would disturb each other
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var mu sync.Mutex
	shares := make([]float64, len(jobs))
	reportProgress := func(at int, share float64) {
		mu.Lock()
		defer mu.Unlock()
		if shares[at] = share; opt.Progress != nil {
			sum, done := 0.0, 0
			for _, s := range shares {
				sum += s
				if s >= 1 {
					done++
				}
			}
			opt.Progress(sum/float64(len(shares)), fmt.Sprintf("%d of %d runs", done, len(shares)))
		}
	}
	queue := make(chan job)
	var all sync.WaitGroup
	for range min(workers, len(jobs)) {
		all.Add(1)
		go func() {
			defer all.Done()
			for j := range queue {
				if err := runOne(ctx, j.scenario, j.one, opt, func(share float64, _ string) { reportProgress(j.at, min(share, 0.999)) }); err != nil {
					cancel(fmt.Errorf("%s, seed %d: %w", j.one.Label, j.one.Seed, err))
					return
				}
				reportProgress(j.at, 1)
			}
		}()
	}
feed:
	for _, j := range jobs {
		select {
		case queue <- j:
		case <-ctx.Done():
			break feed
		}
	}
	close(queue)
	all.Wait()
	if err := context.Cause(ctx); err != nil {
		return nil, err
	}
	if opt.Dir != "" {
		var rows []record.Summary
		for _, o := range res.Runs {
			rows = append(rows, o.Summary)
		}
		if err := parquet.WriteFile(filepath.Join(opt.Dir, RunsFile), rows); err != nil {
			return nil, err
		}
		var b strings.Builder
		res.Print(&b)
		if err := os.WriteFile(filepath.Join(opt.Dir, "table.txt"), []byte(b.String()), 0o644); err != nil {
			return nil, err
		}
	}
	return res, nil
}

// runOne runs one run, or loads the result of an earlier run of the same scenario.
func runOne(ctx context.Context, s *scenario.Scenario, o *RunResult, opt Options, progress func(float64, string)) error {
	text := s.String()
	if o.Dir != "" {
		if savedText, err := os.ReadFile(filepath.Join(o.Dir, record.ScenarioFile)); err == nil && string(savedText) == text {
			if saved, digest, err := finished(o.Dir); err == nil && saved.Summary.Seed == int64(o.Seed) &&
				saved.Summary.Policy == policy(opt.Play) && saved.Summary.Drive == drive(opt.Play) {
				o.Summary, o.Digest, o.Unmet, o.Skipped = saved.Summary, digest, saved.Unmet, true
				return nil
			}
		}
	}
	plan, err := s.Plan(uint64(o.Seed))
	if err != nil {
		return err
	}
	p := opt.Play
	p.KeepRows, p.Progress = opt.KeepRows, progress
	run, err := play.Play(ctx, plan, p)
	if err != nil {
		return err
	}
	o.Summary, o.Unmet = run.Summary, run.Unmet()
	if o.Dir != "" {
		o.Digest, err = run.Save(o.Dir, text)
	}
	return err
}

func policy(p play.Options) string {
	if p.Policy == "" {
		return play.Proxy
	}
	return p.Policy
}

func drive(p play.Options) string {
	if p.Drive == "" {
		return play.Virtual
	}
	return p.Drive
}

// finished loads a run directory; only a completed run has a digest.
func finished(dir string) (*record.Saved, string, error) {
	digest, err := os.ReadFile(filepath.Join(dir, record.DigestFile))
	if err != nil {
		return nil, "", err
	}
	text, err := os.ReadFile(filepath.Join(dir, record.SummaryFile))
	if err != nil {
		return nil, "", err
	}
	var s record.Saved
	err = json.Unmarshal(text, &s)
	return &s, strings.TrimSpace(string(digest)), err
}

// Load reads the directory of a sweep or of a single run.
func Load(dir string) (*Result, error) {
	res := &Result{Name: filepath.Base(dir)}
	add := func(dir string) error {
		s, digest, err := finished(dir)
		if err != nil {
			return err
		}
		res.Runs = append(res.Runs, RunResult{Label: s.Summary.Variation, Seed: int(s.Summary.Seed), Dir: dir, Summary: s.Summary, Digest: digest, Unmet: s.Unmet})
		return nil
	}
	if _, err := os.Stat(filepath.Join(dir, record.SummaryFile)); err == nil {
		return res, add(dir)
	}
	list, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	for _, e := range list {
		if e.IsDir() && !strings.HasPrefix(e.Name(), ".") {
			if err := add(filepath.Join(dir, e.Name())); err != nil && !errors.Is(err, os.ErrNotExist) {
				return nil, err
			}
		}
	}
	if len(res.Runs) == 0 {
		return nil, fmt.Errorf("%s contains no finished run", dir)
	}
	return res, nil
}

// Pass reports whether all runs passed.
func (r *Result) Pass() bool {
	return !slices.ContainsFunc(r.Runs, func(o RunResult) bool { return len(o.Unmet) > 0 })
}

// Print writes a table with a line for each variation, aggregated over its seeds.
func (r *Result) Print(w interface{ Write([]byte) (int, error) }) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "variation\tseeds\tgoodput mean\tleast\tmost\trefused\tfailed\tattempts a query\tp99 median\tbroken rules\tnot met\t")
	for i := 0; i < len(r.Runs); {
		k := i
		for k < len(r.Runs) && r.Runs[k].Label == r.Runs[i].Label {
			k++
		}
		group := r.Runs[i:k]
		mean, least, most := 0.0, 2.0, -1.0
		var asked, refused, failed, queries, parts, broken int64
		var p99 []int64
		unmet := 0
		for _, o := range group {
			s := o.Summary
			mean += s.Goodput / float64(len(group))
			least, most = min(least, s.Goodput), max(most, s.Goodput)
			asked, refused, failed, queries, parts = asked+s.Asked, refused+s.Refused, failed+s.Failed, queries+s.Queries, parts+s.Parts
			broken += s.Lost + s.Late + s.Doubled + s.Wrong + s.Drained + s.Capped + s.Pushed + s.Astray
			p99 = append(p99, s.P99)
			if len(o.Unmet) > 0 {
				unmet++
			}
		}
		slices.Sort(p99)
		fmt.Fprintf(t, "%s\t%d\t%.4f\t%.4f\t%.4f\t%.2f%%\t%.2f%%\t%.2f\t%.1f ms\t%d\t%d\t\n", group[0].Label, len(group), mean, least, most,
			100*float64(refused)/float64(max(asked, 1)), 100*float64(failed)/float64(max(asked, 1)), float64(parts)/float64(max(queries, 1)),
			float64(p99[len(p99)/2])/1000, broken, unmet)
		i = k
	}
	t.Flush()
}
