package model

// This file holds distributions of durations, most of them from gonum.

import (
	"bufio"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"sort"
	"strconv"
	"strings"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

// MaxDuration bounds every duration drawn, since heavy-tailed distributions are unbounded.
const MaxDuration = 10 * time.Minute

// maxValues bounds the number of values in an empirical distribution.
const maxValues = 1 << 20

// Dist is a distribution of durations.
type Dist struct {
	text  string
	mean  float64 // in seconds
	limit float64
	draw  func(src rand.Source) float64 // in seconds
}

// ParseDist parses a distribution; a relative file name is resolved against dir. The forms:
//
//	fixed SPAN
//	exp MEAN                     exponential
//	lognormal MEDIAN SIGMA       sigma of the logarithm (Gaddum 1945; service times: Harchol-Balter 2013, ch. 20)
//	gamma MEAN SHAPE             shape 1 is exponential, above it is steadier
//	pareto LEAST ALPHA           alpha above 1: otherwise there is no mean
//	empirical FILE               one duration a line, drawn by inverse transform sampling
//
// A form may end with "most SPAN", which caps the values drawn.
func ParseDist(text, dir string) (*Dist, error) {
	f := strings.Fields(text)
	maxValue := MaxDuration
	if n := len(f); n > 2 && f[n-2] == "most" {
		d, err := time.ParseDuration(f[n-1])
		if err != nil || d <= 0 || d > MaxDuration {
			return nil, fmt.Errorf("most %q is not a duration from 1ns to %v", f[n-1], MaxDuration)
		}
		maxValue, f = d, f[:n-2]
	}
	if len(f) == 0 {
		return nil, fmt.Errorf("no distribution is given; the distributions are fixed, exp, lognormal, gamma, pareto, empirical")
	}
	duration := func(i int) (float64, error) {
		if i >= len(f) {
			return 0, fmt.Errorf("%s needs a duration", f[0])
		}
		d, err := time.ParseDuration(f[i])
		if err != nil || d <= 0 || d > MaxDuration {
			return 0, fmt.Errorf("%q is not a duration above 0 and at most %v", f[i], MaxDuration)
		}
		return d.Seconds(), nil
	}
	number := func(i int, low, high float64) (float64, error) {
		if i >= len(f) {
			return 0, fmt.Errorf("%s wants a number after the duration", f[0])
		}
		v, err := strconv.ParseFloat(f[i], 64)
		if err != nil || !(v >= low && v <= high) {
			return 0, fmt.Errorf("%q is not a number from %v to %v", f[i], low, high)
		}
		return v, nil
	}
	want := map[string]int{"fixed": 2, "exp": 2, "lognormal": 3, "gamma": 3, "pareto": 3, "empirical": 2}[f[0]]
	if want == 0 {
		return nil, fmt.Errorf("%q is not a distribution; the distributions are fixed, exp, lognormal, gamma, pareto, empirical", f[0])
	}
	if len(f) > want {
		return nil, fmt.Errorf("unexpected %q after the arguments of %s", f[want], f[0])
	}
	d := &Dist{text: text, limit: maxValue.Seconds()}
	if f[0] == "empirical" {
		if len(f) < 2 {
			return nil, fmt.Errorf("empirical needs a file")
		}
		return d, d.loadEmpirical(f[1], dir)
	}
	a, err := duration(1)
	if err != nil {
		return nil, err
	}
	switch f[0] {
	case "fixed":
		d.mean, d.draw = a, func(rand.Source) float64 { return a }
	case "exp":
		d.mean, d.draw = a, func(s rand.Source) float64 { return distuv.Exponential{Rate: 1 / a, Src: s}.Rand() }
	case "lognormal":
		sigma, err := number(2, 0, 5)
		if err != nil {
			return nil, err
		}
		mu := math.Log(a)
		d.mean = math.Exp(mu + sigma*sigma/2)
		d.draw = func(s rand.Source) float64 { return distuv.LogNormal{Mu: mu, Sigma: sigma, Src: s}.Rand() }
	case "gamma":
		shape, err := number(2, 0.05, 1000)
		if err != nil {
			return nil, err
		}
		d.mean, d.draw = a, func(s rand.Source) float64 { return distuv.Gamma{Alpha: shape, Beta: shape / a, Src: s}.Rand() }
	case "pareto":
		alpha, err := number(2, 1.01, 100)
		if err != nil {
			return nil, err
		}
		d.mean = alpha * a / (alpha - 1)
		d.draw = func(s rand.Source) float64 { return distuv.Pareto{Xm: a, Alpha: alpha, Src: s}.Rand() }
	}
	return d, nil
}

// loadEmpirical reads the values of an empirical distribution from a file.
func (d *Dist) loadEmpirical(file, dir string) error {
	if !strings.HasPrefix(file, "/") && dir != "" {
		file = dir + "/" + file
	}
	h, err := os.Open(file)
	if err != nil {
		return err
	}
	defer h.Close()
	var values []float64
	lines := bufio.NewScanner(h)
	for n := 1; lines.Scan(); n++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || line[0] == '#' {
			continue
		}
		v, err := time.ParseDuration(line)
		if err != nil || v < 0 || v > MaxDuration {
			return fmt.Errorf("%s:%d: %.40q is not a duration from 0 to %v", file, n, line, MaxDuration)
		}
		if values = append(values, v.Seconds()); len(values) > maxValues {
			return fmt.Errorf("%s:%d: more than %d values", file, n, maxValues)
		}
		d.mean += v.Seconds()
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	if len(values) == 0 {
		return fmt.Errorf("%s: no values", file)
	}
	d.mean /= float64(len(values))
	sort.Float64s(values)
	d.draw = func(s rand.Source) float64 {
		at := unit(s.Uint64()) * float64(len(values)-1)
		i := int(at)
		if i+1 >= len(values) {
			return values[len(values)-1]
		}
		return values[i] + (values[i+1]-values[i])*(at-float64(i))
	}
	return nil
}

func (d *Dist) String() string { return d.text }

// Mean returns the mean of the distribution before the cap of "most" is applied.
func (d *Dist) Mean() time.Duration { return time.Duration(d.mean * float64(time.Second)) }

// Draw returns a random duration.
func (d *Dist) Draw(src rand.Source) time.Duration {
	return time.Duration(min(max(d.draw(src), 0), d.limit) * float64(time.Second))
}

// Work draws how much work the parts of a class are for a server of speed 1.
type Work struct {
	Dist       *Dist
	QuerySigma float64 // sigma of the logarithm of a factor that all parts of a query share
	Seed       uint64

	pcg rand.PCG
}

// Of returns the work of a part: the same for every attempt of a request, on every server and
// with both drivers. The parts of one query share a random factor with mean 1, which makes
// their work correlated: a heavy query is heavy on every shard.
func (w *Work) Of(request, shard string) time.Duration {
	w.pcg.Seed(w.Seed, Mix(w.Seed, request, shard))
	d := w.Dist.Draw(&w.pcg)
	if w.QuerySigma > 0 {
		w.pcg.Seed(w.Seed, Mix(w.Seed, request))
		z := distuv.Normal{Sigma: 1, Src: &w.pcg}.Rand()
		d = time.Duration(float64(d) * math.Exp(w.QuerySigma*z-w.QuerySigma*w.QuerySigma/2))
	}
	return min(max(d, time.Microsecond), MaxDuration)
}

// Zipf draws from n items; the item of rank k has a probability proportional to 1/k^skew (Zipf
// 1949; Breslau et al. 1999 for requests). With skew 0 all are equally likely. The seed
// determines which item has which rank.
type Zipf struct {
	cumulative []float64 // cumulative probability up to each rank
	byRank     []int
}

// NewZipf returns a Zipf distribution over n items.
func NewZipf(n int, skew float64, seed uint64) *Zipf {
	z := &Zipf{cumulative: make([]float64, n), byRank: Rand(seed, "zipf").Perm(n)}
	sum := 0.0
	for k := range n {
		sum += math.Pow(float64(k+1), -skew)
		z.cumulative[k] = sum
	}
	for k := range n {
		z.cumulative[k] /= sum
	}
	return z
}

// Draw returns count different items, or all of them if there are fewer.
func (z *Zipf) Draw(r *rand.Rand, count int) []int {
	n := len(z.cumulative)
	count = min(count, n)
	out := make([]int, 0, count)
	seen := make(map[int]bool, count)
	for tries := 0; len(out) < count; tries++ {
		k := min(sort.SearchFloat64s(z.cumulative, r.Float64()), n-1)
		if tries > 20*count { // the remaining items are rare: take the next one that was not drawn
			for seen[z.byRank[k]] {
				k = (k + 1) % n
			}
		}
		if s := z.byRank[k]; !seen[s] {
			seen[s] = true
			out = append(out, s)
		}
	}
	return out
}
