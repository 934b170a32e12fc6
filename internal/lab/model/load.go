package model

// This file generates arrivals: open loop, at a rate that follows a curve and bursts, or from
// a recorded trace. Arrivals don't depend on answers, so a slow proxy can't reduce its own
// load (Schroeder et al. 2006).

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"os"
	"sort"
	"strconv"
	"strings"
	"time"
)

// Curve is a factor over time: piecewise linear, and constant before the first and after the
// last point.
type Curve []Point

// Point is one point of a curve.
type Point struct {
	At     time.Duration
	Factor float64
}

// ParseCurve parses a curve such as "0s:1, 30s:2.5, 60s:0.5".
func ParseCurve(text string) (Curve, error) {
	var c Curve
	for item := range strings.SplitSeq(text, ",") {
		if item = strings.TrimSpace(item); item == "" {
			continue
		}
		at, factor, ok := strings.Cut(item, ":")
		d, err := time.ParseDuration(strings.TrimSpace(at))
		v, err2 := strconv.ParseFloat(strings.TrimSpace(factor), 64)
		if !ok || err != nil || err2 != nil || d < 0 || !(v >= 0 && v <= 1000) {
			return nil, fmt.Errorf("%q is not SPAN:FACTOR with a factor from 0 to 1000", item)
		}
		if len(c) > 0 && d <= c[len(c)-1].At {
			return nil, fmt.Errorf("%q is not later than the point before it", item)
		}
		c = append(c, Point{d, v})
	}
	return c, nil
}

// Factor returns the value of the curve at a time.
func (c Curve) Factor(at time.Duration) float64 {
	if len(c) == 0 {
		return 1
	}
	i := sort.Search(len(c), func(i int) bool { return c[i].At > at })
	if i == 0 {
		return c[0].Factor
	}
	if i == len(c) {
		return c[i-1].Factor
	}
	a, b := c[i-1], c[i]
	return a.Factor + (b.Factor-a.Factor)*float64(at-a.At)/float64(b.At-a.At)
}

// Max returns the maximum of the curve.
func (c Curve) Max() float64 {
	if len(c) == 0 {
		return 1
	}
	m := 0.0
	for _, p := range c {
		m = max(m, p.Factor)
	}
	return m
}

// Burst is a period with a different load.
type Burst struct {
	At, For time.Duration
	Factor  float64
	Class   string // "": all
}

// Arrivals generates the arrival times of a class.
type Arrivals struct {
	Rate   float64 // per second, before curve and bursts
	Curve  Curve
	Bursts []Burst
	Trace  []time.Duration // used instead of Rate if not empty

	r       *rand.Rand
	at      time.Duration
	maxRate float64
	next    int
}

// Begin initializes the arrivals of a class.
func (a *Arrivals) Begin(seed uint64, class string) {
	a.r, a.at, a.next = Rand(seed, "arrivals", class), 0, 0
	a.maxRate = a.Rate * a.Curve.Max()
	for _, b := range a.Bursts {
		a.maxRate *= max(b.Factor, 1)
	}
}

// RateAt returns the rate at a time, per second.
func (a *Arrivals) RateAt(at time.Duration) float64 {
	rate := a.Rate * a.Curve.Factor(at)
	for _, b := range a.Bursts {
		if at >= b.At && at < b.At+b.For {
			rate *= b.Factor
		}
	}
	return rate
}

// Next returns the time of the next arrival before end, or false if there is none. It
// generates a nonhomogeneous Poisson process by thinning (Lewis and Shedler 1979).
func (a *Arrivals) Next(end time.Duration) (time.Duration, bool) {
	if len(a.Trace) > 0 {
		if a.next >= len(a.Trace) || a.Trace[a.next] >= end {
			return 0, false
		}
		a.next++
		return a.Trace[a.next-1], true
	}
	if a.maxRate <= 0 {
		return 0, false
	}
	for a.at < end {
		a.at += time.Duration(a.r.ExpFloat64() / a.maxRate * float64(time.Second))
		if a.at < end && a.r.Float64()*a.maxRate < a.RateAt(a.at) {
			return a.at, true
		}
	}
	return 0, false
}

// maxTraceQueries bounds the length of a trace.
const maxTraceQueries = 4 << 20

// ReadTrace reads a recorded trace: one query a line, starting with its time in seconds since
// the start of the trace; anything after a comma is ignored.
func ReadTrace(file string) ([]time.Duration, error) {
	h, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer h.Close()
	var out []time.Duration
	lines := bufio.NewScanner(h)
	for n := 1; lines.Scan(); n++ {
		text, _, _ := strings.Cut(strings.TrimSpace(lines.Text()), ",")
		if text == "" || text[0] == '#' {
			continue
		}
		v, err := strconv.ParseFloat(text, 64)
		if err != nil || !(v >= 0 && v < 1e6) {
			return nil, fmt.Errorf("%s:%d: %.40q is not a number of seconds", file, n, text)
		}
		at := time.Duration(v * float64(time.Second))
		if len(out) > 0 && at < out[len(out)-1] {
			return nil, fmt.Errorf("%s:%d: %.40q is earlier than the line before it", file, n, text)
		}
		if out = append(out, at); len(out) > maxTraceQueries {
			return nil, fmt.Errorf("%s:%d: more than %d queries", file, n, maxTraceQueries)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	if len(out) == 0 {
		return nil, fmt.Errorf("%s: no queries", file)
	}
	return out, nil
}
