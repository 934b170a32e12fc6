// Package sweep plays all variations of a scenario with all its seeds, on all
// cores. It owns the folder of a sweep: a run folder for each, and the table of
// all. It must never count a run that was not finished, nor play one again that was.
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

// Options are how a sweep is played.
type Options struct {
	Play     play.Options
	Dir      string // of the sweep; empty: nothing is kept
	Repeats  int    // seeds; 0: the scenario's
	Workers  int    // 0: as many as cores
	Rows     bool   // keep the rows of asks and seconds too
	Progress func(share float64, remark string)
}

// One is one run of a sweep.
type One struct {
	Variation int
	Label     string
	Seed      int
	Dir       string
	Summary   record.Summary
	Digest    string
	Unmet     []string
	Skipped   bool // it had been played before
}

// Result is a whole sweep.
type Result struct {
	Name string
	Runs []One
}

// RunsFile is the table of all runs in a sweep's folder.
const RunsFile = "runs.parquet"

// Run plays a sweep. An interrupt keeps what has been finished; the same sweep into
// the same folder then goes on from there.
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
		one      *One
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
			one := One{Variation: v, Label: scenario.Label(values), Seed: seed}
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
	if opt.Play.Drive == play.Real {
		workers = 1 // runs in real time would disturb each other
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var mu sync.Mutex
	shares := make([]float64, len(jobs))
	tell := func(at int, share float64) {
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
				if err := one(ctx, j.scenario, j.one, opt, func(share float64, _ string) { tell(j.at, min(share, 0.999)) }); err != nil {
					cancel(fmt.Errorf("%s, seed %d: %w", j.one.Label, j.one.Seed, err))
					return
				}
				tell(j.at, 1)
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

// one plays one run, or takes what was played before with the same scenario.
func one(ctx context.Context, s *scenario.Scenario, o *One, opt Options, progress func(float64, string)) error {
	text := s.String()
	if o.Dir != "" {
		if was, err := os.ReadFile(filepath.Join(o.Dir, record.ScenarioFile)); err == nil && string(was) == text {
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
	p.KeepRows, p.Progress = opt.Rows, progress
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

// finished reads a run folder; only a whole one has its digest.
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

// Load reads a sweep's folder, or a single run's.
func Load(dir string) (*Result, error) {
	res := &Result{Name: filepath.Base(dir)}
	add := func(dir string) error {
		s, digest, err := finished(dir)
		if err != nil {
			return err
		}
		res.Runs = append(res.Runs, One{Label: s.Summary.Variation, Seed: int(s.Summary.Seed), Dir: dir, Summary: s.Summary, Digest: digest, Unmet: s.Unmet})
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
		return nil, fmt.Errorf("%s holds no run", dir)
	}
	return res, nil
}

// Pass tells whether all runs passed.
func (r *Result) Pass() bool {
	return !slices.ContainsFunc(r.Runs, func(o One) bool { return len(o.Unmet) > 0 })
}

// Print writes a table: a line for each variation, over its seeds.
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
