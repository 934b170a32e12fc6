// Package compare compares two sweeps or two runs, paired by variation and seed, with
// bootstrap confidence intervals. A verdict is better or worse only if the interval excludes
// zero.
package compare

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sort"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"

	"saddleport/internal/lab/record"
	"saddleport/internal/lab/sweep"
)

// Resamples of the bootstrap (Efron 1979, percentile interval) and its confidence level.
const (
	Resamples       = 4000
	ConfidenceLevel = 0.95
)

// minPairs is the minimum number of pairs for a verdict: resamples of fewer pairs have too few
// distinct means for a useful interval.
const minPairs = 5

// Row is one metric of both sides.
type Row struct {
	Variation string
	Figure    string
	Pairs     int
	A, B      float64 // means
	Diff      float64 // mean of B - A over the pairs
	Known     bool    // Low and High are set
	Low, High float64 // of Diff
	Verdict   string
}

// The verdicts.
const (
	Better       = "better"
	Worse        = "worse"
	Inconclusive = "can't tell"
	Same         = "same"
)

// metric is a value that is compared.
type metric struct {
	name           string
	higherIsBetter bool
	value          func(record.Summary) float64
}

var metrics = []metric{
	{"goodput", true, func(s record.Summary) float64 { return s.Goodput }},
	{"refused share", false, func(s record.Summary) float64 { return float64(s.Refused) / float64(max(s.Asked, 1)) }},
	{"failed share", false, func(s record.Summary) float64 { return float64(s.Failed) / float64(max(s.Asked, 1)) }},
	{"p50 ms", false, func(s record.Summary) float64 { return float64(s.P50) / 1000 }},
	{"p99 ms", false, func(s record.Summary) float64 { return float64(s.P99) / 1000 }},
	{"attempts a query", false, func(s record.Summary) float64 { return float64(s.Parts) / float64(max(s.Queries, 1)) }},
	{"broken rules", false, func(s record.Summary) float64 {
		return float64(s.Lost + s.Late + s.Doubled + s.Wrong + s.Drained + s.Capped + s.Pushed + s.Astray)
	}},
}

// Compare pairs the runs of both sides by variation and seed. If neither side has more than
// one variation, they are paired by seed alone.
func Compare(a, b *sweep.Result) ([]Row, error) {
	unlabelled := len(labels(a)) == 1 && len(labels(b)) == 1
	type key struct {
		label string
		seed  int
	}
	keyOf := func(o sweep.RunResult) key {
		if unlabelled {
			return key{"-", o.Seed}
		}
		return key{o.Label, o.Seed}
	}
	left := make(map[key]record.Summary)
	for _, o := range a.Runs {
		left[keyOf(o)] = o.Summary
	}
	pairs := make(map[string][][2]record.Summary)
	var order []string
	for _, o := range b.Runs {
		k := keyOf(o)
		if s, ok := left[k]; ok {
			if pairs[k.label] == nil {
				order = append(order, k.label)
			}
			pairs[k.label] = append(pairs[k.label], [2]record.Summary{s, o.Summary})
		}
	}
	if len(order) == 0 {
		return nil, errors.New("the two sides have no variation and seed in common")
	}
	var out []Row
	for _, label := range order {
		for _, f := range metrics {
			out = append(out, compareMetric(label, f, pairs[label]))
		}
	}
	return out, nil
}

// labels returns the distinct variations of a sweep.
func labels(r *sweep.Result) []string {
	var out []string
	for _, o := range r.Runs {
		if !slices.Contains(out, o.Label) {
			out = append(out, o.Label)
		}
	}
	return out
}

// compareMetric compares one metric over the pairs of a variation.
func compareMetric(label string, f metric, pairs [][2]record.Summary) Row {
	r := Row{Variation: label, Figure: f.name, Pairs: len(pairs)}
	var a, b, diff []float64
	for _, p := range pairs {
		x, y := f.value(p[0]), f.value(p[1])
		a, b, diff = append(a, x), append(b, y), append(diff, y-x)
	}
	r.A, r.B, r.Diff = stat.Mean(a, nil), stat.Mean(b, nil), stat.Mean(diff, nil)
	same := !slices.ContainsFunc(diff, func(d float64) bool { return d != 0 })
	switch {
	case same:
		r.Verdict, r.Known = Same, true
	case len(pairs) < minPairs:
		r.Verdict = Inconclusive
	default:
		r.Known = true
		r.Low, r.High = Bootstrap(diff, Resamples, ConfidenceLevel)
		switch {
		case r.Low > 0 == f.higherIsBetter && (r.Low > 0 || r.High < 0):
			r.Verdict = Better
		case r.Low > 0 || r.High < 0:
			r.Verdict = Worse
		default:
			r.Verdict = Inconclusive
		}
	}
	return r
}

// Bootstrap returns the confidence interval of the mean of a sample. The same sample gives the
// same interval.
func Bootstrap(sample []float64, resamples int, level float64) (low, high float64) {
	r := rand.New(rand.NewPCG(uint64(len(sample)), 7))
	means := make([]float64, resamples)
	again := make([]float64, len(sample))
	for i := range means {
		for k := range again {
			again[k] = sample[r.IntN(len(sample))]
		}
		means[i] = stat.Mean(again, nil)
	}
	sort.Float64s(means)
	tail := (1 - level) / 2
	return stat.Quantile(tail, stat.Empirical, means, nil), stat.Quantile(1-tail, stat.Empirical, means, nil)
}

// Print writes the rows as a table.
func Print(w io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "variation\tfigure\tpairs\tA\tB\tB - A\t%.0f%% interval\tB is\t\n", 100*ConfidenceLevel)
	for _, r := range rows {
		interval := "-"
		if r.Known {
			interval = fmt.Sprintf("%+.4f to %+.4f", r.Low, r.High)
		}
		fmt.Fprintf(t, "%s\t%s\t%d\t%.4f\t%.4f\t%+.4f\t%s\t%s\t\n", r.Variation, r.Figure, r.Pairs, r.A, r.B, r.Diff, interval, r.Verdict)
	}
	return t.Flush()
}
