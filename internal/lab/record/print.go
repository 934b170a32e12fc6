package record

// This file prints the results of a run as text.

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

func durationOf(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// MS formats a duration in milliseconds.
func MS(d time.Duration) string { return fmt.Sprintf("%.1f ms", float64(d.Microseconds())/1000) }

// Print writes the results of a run as text.
func (r *Run) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "class\tasked\ttries\tanswered\twhole\trefused\tfailed\tleft\tgoodput\tp50\tp90\tp99\tp99.9\tp99 of all\t")
	for _, c := range r.Classes {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t%s\t%s\t%s\t%s\t%s\t\n", c.Name, c.Asked, c.Tries, c.Answered, c.Whole, c.Refused,
			c.Failed, c.Left, c.Goodput, MS(c.P50), MS(c.P90), MS(c.P99), MS(c.P999), MS(c.P99All))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	s := r.Summary
	fmt.Fprintf(w, "%s, %s drive, policy %s, seed %d, %s: goodput %.4f; %d asked, %d queries, %d attempts\n", s.Scenario, s.Drive, s.Policy, s.Seed, s.Variation,
		s.Goodput, s.Asked, s.Queries, s.Parts)
	fmt.Fprintf(w, "worst 10 s %.4f", s.Worst10)
	if s.Tenant < 1 {
		fmt.Fprintf(w, ", worst-served tenant within its share %.4f", s.Tenant)
	}
	fmt.Fprintln(w)
	m := r.Machine
	if m.Events > 0 {
		fmt.Fprintf(w, "%v of virtual time in %.2f s: %d events, %.0f a second\n", r.Length, m.Wall.Seconds(), m.Events, float64(m.Events)/m.Wall.Seconds())
	} else if m.Wall > 0 {
		fmt.Fprintf(w, "%.1f s; the proxies used %.2f cores, and at most %d MiB and %d descriptors\n", m.Wall.Seconds(), m.Cores, m.PeakMiB, m.Files)
	}
	changes := make(map[int]int)
	for _, l := range r.Levels {
		changes[l.Mixer]++
	}
	for _, m := range slices.Sorted(maps.Keys(changes)) {
		fmt.Fprintf(w, "mixer %d changed its level %d times:", m, changes[m])
		for _, l := range r.Levels {
			if l.Mixer == m {
				fmt.Fprintf(w, " %s at %v", l.To, l.At.Round(time.Second))
			}
		}
		fmt.Fprintln(w)
	}
	for _, f := range r.Verdict.Faults {
		fmt.Fprintln(w, "  "+f)
	}
	for _, u := range r.Unmet() {
		fmt.Fprintln(w, "  not met: "+u)
	}
	return nil
}

// Line returns the summary line that ends a run's output.
func (r *Run) Line() string {
	verdict := "fail"
	if r.Pass() {
		verdict = "pass"
	}
	v := r.Verdict
	var more strings.Builder
	for _, x := range []struct {
		name string
		n    int
	}{{"drained", v.Drained}, {"capped", v.Capped}, {"pushed", v.Pushed}, {"astray", v.Astray}} {
		if x.n > 0 {
			fmt.Fprintf(&more, " %s=%d", x.name, x.n)
		}
	}
	return fmt.Sprintf("verdict=%s queries=%d lost=%d late=%d doubled=%d wrong=%d%s goodput=%.4f", verdict, v.Queries, v.Lost, v.Late, v.Doubled, v.Wrong,
		more.String(), r.Summary.Goodput)
}
