// Package hunt searches for scenarios, similar to a given one, with the largest loss or a
// broken rule, and shrinks what it finds. Loss is measured against a policy that sees the true
// state on the same run, so that only value which some policy could have earned counts as
// lost.
package hunt

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"saddleport/internal/lab/play"
	"saddleport/internal/lab/scenario"
)

// Options configures a hunt.
type Options struct {
	Rounds     int // generations
	Candidates int // candidates per generation
	Seed       uint64
	Workers    int
	Progress   func(share float64, remark string)
	Logf       func(format string, a ...any)
}

// Result is one scenario and its loss.
type Result struct {
	Doc                         *scenario.Doc
	Values                      []scenario.Value // values set so far, over those of the given file
	Seed                        int
	ProxyGoodput, OracleGoodput float64
	Loss                        float64 // OracleGoodput - ProxyGoodput, at least 0; score adds 1 for a broken rule
	Broken                      int
	Faults                      []string
	Text                        string
	Shrunk, Played              int
}

// score is the objective that the hunt maximizes.
func (f *Result) score() float64 {
	if f.Broken > 0 {
		return 1 + f.Loss
	}
	return f.Loss
}

// evaluate runs a scenario under both policies.
func evaluate(ctx context.Context, doc *scenario.Doc, values []scenario.Value, seed int) (*Result, error) {
	s, err := doc.Scenario(values)
	if err != nil {
		return nil, err
	}
	f := &Result{Doc: doc, Values: values, Seed: seed, Text: s.String()}
	for _, policy := range []string{play.Proxy, play.Oracle} {
		plan, err := s.Plan(uint64(seed))
		if err != nil {
			return nil, err
		}
		run, err := play.Play(ctx, plan, play.Options{Policy: policy})
		if err != nil {
			return nil, err
		}
		if policy == play.Oracle {
			f.OracleGoodput = run.Summary.Goodput
			continue
		}
		f.ProxyGoodput, f.Broken, f.Faults = run.Summary.Goodput, run.Verdict.Violations()+len(run.Broken), run.Verdict.Faults
	}
	f.Loss = max(f.OracleGoodput-f.ProxyGoodput, 0)
	return f, nil
}

// searchKeys returns the keys that a hunt changes.
func searchKeys(doc *scenario.Doc, s *scenario.Scenario) []string {
	out := []string{"rate", "fleet.speed-spread", "network.jitter", "list.lag", "clients.retries"}
	for _, c := range s.Classes {
		out = append(out, "class."+c.Name+".rate", "class."+c.Name+".parts", "class."+c.Name+".zipf")
	}
	for _, f := range s.Faults {
		out = append(out, "fault."+f.Name+".at", "fault."+f.Name+".for", "fault."+f.Name+".share", "fault."+f.Name+".parts", "fault."+f.Name+".factor")
	}
	return slices.DeleteFunc(out, func(k string) bool {
		i := strings.LastIndexByte(k, '.')
		if i < 0 || !strings.HasPrefix(k, "fault.") {
			return false
		}
		return !slices.Contains(doc.Keys(strings.ReplaceAll(k[:i], ".", " ")), k[i+1:])
	})
}

// mutate scales one key of a scenario by up to a factor of two.
func mutate(r *rand.Rand, doc *scenario.Doc, values []scenario.Value) ([]scenario.Value, bool) {
	s, err := doc.Scenario(values)
	if err != nil {
		return nil, false
	}
	keys := searchKeys(doc, s)
	key := keys[r.IntN(len(keys))]
	value := current(s, key)
	if value == "" {
		return nil, false
	}
	factor := []float64{0.5, 0.7, 0.85, 1.2, 1.5, 2}[r.IntN(6)]
	next := scaled(value, factor)
	if next == value {
		return nil, false
	}
	out := slices.DeleteFunc(slices.Clone(values), func(v scenario.Value) bool { return v.Key == key })
	return append(out, scenario.Value{Key: key, Value: next}), true
}

// current returns the value of a key in the scenario, or "" if it can't be scaled.
func current(s *scenario.Scenario, key string) string {
	num := func(v float64) string { return fmt.Sprintf("%.4g", v) }
	part := strings.Split(key, ".")
	last := part[len(part)-1]
	switch part[0] {
	case "rate":
		return num(s.Rate)
	case "fleet":
		return num(max(s.Groups[0].SpeedSpread, 0.05))
	case "network":
		return max(s.Network.Jitter, 50*time.Microsecond).String()
	case "list":
		return max(s.List.Lag, 100*time.Millisecond).String()
	case "clients":
		return fmt.Sprint(max(s.Clients.Retries, 1))
	case "class":
		for _, c := range s.Classes {
			if c.Name == part[1] {
				switch last {
				case "rate":
					return num(c.Rate)
				case "parts":
					return fmt.Sprint(c.Parts)
				case "zipf":
					return num(max(c.Zipf, 0.1))
				}
			}
		}
	case "fault":
		for _, f := range s.Faults {
			if f.Name == part[1] {
				switch last {
				case "at":
					return f.At.String()
				case "for":
					return f.For.String()
				case "share":
					return num(f.Share)
				case "parts":
					return num(f.PartShare)
				case "factor":
					return num(f.Factor)
				}
			}
		}
	}
	return ""
}

// scaled multiplies a duration or a number, written as text, by a factor.
func scaled(v string, by float64) string {
	if d, err := time.ParseDuration(v); err == nil {
		return time.Duration(float64(d) * by).Round(time.Microsecond).String()
	}
	var n int
	if _, err := fmt.Sscanf(v, "%d", &n); err == nil && fmt.Sprint(n) == v && n >= 1 {
		return fmt.Sprint(max(int(float64(n)*by+0.5), 1))
	}
	var f float64
	fmt.Sscanf(v, "%g", &f)
	return fmt.Sprintf("%.4g", f*by)
}

// Hunt searches for the worst scenario and shrinks it.
func Hunt(ctx context.Context, doc *scenario.Doc, opt Options) (*Result, error) {
	values := doc.Variations()[0]
	first, err := doc.Scenario(values)
	if err != nil {
		return nil, err
	}
	best, err := evaluate(ctx, doc, values, first.Seed)
	if err != nil {
		return nil, err
	}
	played := 2
	opt.Logf("begin        loss %.4f (mixer %.4f, a policy that sees all %.4f), %d broken", best.Loss, best.ProxyGoodput, best.OracleGoodput, best.Broken)
	r := rand.New(rand.NewPCG(opt.Seed, 3))
	for round := range opt.Rounds {
		var candidates []*Result
		for range opt.Candidates {
			v, seed := best.Values, best.Seed
			for range 1 + r.IntN(3) {
				if next, ok := mutate(r, doc, v); ok {
					v = next
				}
			}
			if r.IntN(3) == 0 {
				seed = first.Seed + r.IntN(1000)
			}
			candidates = append(candidates, &Result{Values: v, Seed: seed})
		}
		if err := runJobs(ctx, opt.Workers, len(candidates), func(i int) error {
			f, err := evaluate(ctx, doc, candidates[i].Values, candidates[i].Seed)
			if ctx.Err() != nil {
				return ctx.Err()
			}
			if err == nil { // candidates with values out of range are skipped
				candidates[i] = f
			}
			return nil
		}); err != nil {
			return nil, err
		}
		for _, f := range candidates {
			if f.Doc == nil {
				continue
			}
			played += 2
			if f.score() > best.score()+1e-9 {
				best = f
			}
		}
		if opt.Progress != nil {
			opt.Progress(float64(round+1)/float64(opt.Rounds), fmt.Sprintf("loss %.4f, %d broken", best.Loss, best.Broken))
		}
	}
	opt.Logf("found        loss %.4f (mixer %.4f, a policy that sees all %.4f), %d broken, seed %d: %s", best.Loss, best.ProxyGoodput, best.OracleGoodput, best.Broken, best.Seed, scenario.Label(best.Values))
	small, n, err := shrink(ctx, best, opt)
	if err != nil {
		return nil, err
	}
	small.Played = played + n
	opt.Logf("shrunk       loss %.4f, %d broken, %d lines of %d", small.Loss, small.Broken, strings.Count(small.Text, "\n"), strings.Count(best.Text, "\n"))
	return small, nil
}

// maxShrinkRuns is the number of runs after which shrinking starts no further pass.
const maxShrinkRuns = 400

// stillShows reports whether a smaller scenario still shows what the larger one did: the
// broken rule, or three quarters of the loss.
func stillShows(small, large *Result) bool {
	if large.Broken > 0 {
		return small.Broken > 0
	}
	return small.Loss >= 0.75*large.Loss
}

// shrink removes sections and keys and shortens the run as long as the finding remains. It
// ends when a complete pass removes nothing.
func shrink(ctx context.Context, f *Result, opt Options) (*Result, int, error) {
	doc, err := f.Doc.Fixed(f.Values)
	if err != nil {
		return nil, 0, err
	}
	best := *f
	best.Doc, best.Values = doc, nil
	played := 0
	attempt := func(d *scenario.Doc, v []scenario.Value) (bool, error) {
		if len(v) > 0 {
			fixed, err := d.Fixed(v)
			if err != nil {
				return false, nil
			}
			d = fixed
		}
		g, err := evaluate(ctx, d, nil, best.Seed)
		if ctx.Err() != nil {
			return false, ctx.Err()
		}
		if err != nil {
			return false, nil // no longer a valid scenario
		}
		if played += 2; !stillShows(g, f) {
			return false, nil
		}
		g.Shrunk = best.Shrunk + 1
		best = *g
		return true, nil
	}
	for progressed := true; progressed; {
		progressed = false
		if played >= maxShrinkRuns {
			break
		}
		for _, section := range best.Doc.Sections() {
			if section == "scenario" {
				continue
			}
			ok, err := attempt(best.Doc.Without(section), nil)
			if err != nil {
				return nil, played, err
			}
			if ok {
				progressed = true
				continue
			}
			for _, key := range best.Doc.Keys(section) {
				if ok, err := attempt(best.Doc.WithoutKey(section, key), nil); err != nil {
					return nil, played, err
				} else if ok {
					progressed = true
				}
			}
		}
		s, err := best.Doc.Scenario(nil)
		if err != nil {
			return nil, played, err
		}
		// Each of these reductions terminates, since it halves a value that has a minimum.
		var reductions [][]scenario.Value
		if s.Length >= 4*time.Second {
			reductions = append(reductions, []scenario.Value{{Key: "length", Value: (s.Length / 2).String()}})
		}
		if n := s.Groups[0].Cells; n > 1 {
			reductions = append(reductions, []scenario.Value{{Key: "fleet.cells", Value: fmt.Sprint(n / 2)}, {Key: "rate", Value: fmt.Sprintf("%.4g", s.Rate/2)}})
		}
		if n := s.Proxies.Count; n > 1 {
			reductions = append(reductions, []scenario.Value{{Key: "mixers.count", Value: fmt.Sprint(n / 2)}})
		}
		for _, v := range reductions {
			if ok, err := attempt(best.Doc, v); err != nil {
				return nil, played, err
			} else if ok {
				progressed = true
			}
		}
		if opt.Progress != nil {
			opt.Progress(1, fmt.Sprintf("shrinking, %d steps", best.Shrunk))
		}
	}
	return &best, played, nil
}

// runJobs runs n jobs on the given number of workers; 0 means one for each CPU.
func runJobs(ctx context.Context, workers, n int, job func(int) error) error {
	if workers <= 0 {
		workers = runtime.NumCPU()
	}
	var mu sync.Mutex
	var first error
	next := 0
	var wg sync.WaitGroup
	for range min(workers, n) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				mu.Lock()
				i := next
				next++
				stop := first != nil || i >= n || ctx.Err() != nil
				mu.Unlock()
				if stop {
					return
				}
				if err := job(i); err != nil {
					mu.Lock()
					first = err
					mu.Unlock()
				}
			}
		}()
	}
	wg.Wait()
	if first == nil {
		first = ctx.Err()
	}
	return first
}

// Ranked is the result of one scenario in a ranking.
type Ranked struct {
	File                  string
	Seeds                 int
	Mixer, Oracle, Random float64
	Loss                  float64
	Broken                int
}

// Rank runs scenarios under the proxies' policy, one that sees the true state, and one that
// selects at random, and sorts them by loss, largest first.
func Rank(ctx context.Context, files []string, seeds, workers int, progress func(float64, string)) ([]Ranked, error) {
	out := make([]Ranked, len(files))
	type job struct {
		file, seed int
		policy     string
	}
	var jobs []job
	docs := make([]*scenario.Scenario, len(files))
	for i, file := range files {
		s, err := scenario.Read(file)
		if err != nil {
			return nil, err
		}
		docs[i], out[i].File, out[i].Seeds = s, file, seeds
		for n := range seeds {
			for _, p := range []string{play.Proxy, play.Oracle, play.Random} {
				jobs = append(jobs, job{i, s.Seed + n, p})
			}
		}
	}
	var mu sync.Mutex
	done := 0
	err := runJobs(ctx, workers, len(jobs), func(k int) error {
		j := jobs[k]
		plan, err := docs[j.file].Plan(uint64(j.seed))
		if err != nil {
			return err
		}
		run, err := play.Play(ctx, plan, play.Options{Policy: j.policy})
		if err != nil {
			return fmt.Errorf("%s: %w", files[j.file], err)
		}
		mu.Lock()
		defer mu.Unlock()
		done++
		if progress != nil {
			progress(float64(done)/float64(len(jobs)), fmt.Sprintf("%d of %d runs", done, len(jobs)))
		}
		o, g := &out[j.file], run.Summary.Goodput/float64(seeds)
		switch j.policy {
		case play.Proxy:
			o.Mixer += g
			o.Broken += run.Verdict.Violations()
		case play.Oracle:
			o.Oracle += g
		case play.Random:
			o.Random += g
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	for i := range out {
		out[i].Loss = out[i].Oracle - out[i].Mixer
	}
	slices.SortStableFunc(out, func(a, b Ranked) int {
		switch {
		case a.Loss > b.Loss:
			return -1
		case a.Loss < b.Loss:
			return 1
		}
		return strings.Compare(a.File, b.File)
	})
	return out, nil
}

// PrintRank writes a ranking as a table.
func PrintRank(w io.Writer, rows []Ranked) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "scenario\tseeds\tmixer\tsees all\trandom\tloss\tbroken rules\t")
	for _, r := range rows {
		fmt.Fprintf(t, "%s\t%d\t%.4f\t%.4f\t%.4f\t%.4f\t%d\t\n", strings.TrimSuffix(filepath.Base(r.File), ".ini"), r.Seeds, r.Mixer, r.Oracle, r.Random, r.Loss, r.Broken)
	}
	return t.Flush()
}
