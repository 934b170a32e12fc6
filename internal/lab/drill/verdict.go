package drill

// This file decides whether a drill passed and prints the reasons. A drill passes only
// if there were no rule violations and everything that it requires happened.

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"saddleport/internal/hook"
	"saddleport/internal/lab/judge"
)

// Result is the result of a drill.
type Result struct {
	Drill *Drill `json:"-"`
	Name  string
	Base  *Run `json:",omitempty"` // the baseline run without hooks or reshapes, if the drill compares
	Main  *Run
	Unmet []string // requirements that were not met, rule violations included
	Pass  bool
}

// Evaluate decides whether a drill passed. base may be nil.
func Evaluate(d *Drill, base, main *Run) *Result {
	r := &Result{Drill: d, Name: d.Name, Base: base, Main: main}
	unmet := func(format string, args ...any) { r.Unmet = append(r.Unmet, fmt.Sprintf(format, args...)) }
	for _, run := range []*Run{base, main} {
		if run == nil {
			continue
		}
		for _, b := range run.Broken {
			unmet("%s: %s", run.Name, b)
		}
		if !run.Verdict.Pass() {
			unmet("%s: rules were broken", run.Name)
		}
		if run.RSSMost > d.Proxy.Memory {
			unmet("%s: %v of memory, above the limit of %v", run.Name, run.RSSMost, d.Proxy.Memory)
		}
		if run.FilesTop > d.Proxy.Sockets {
			unmet("%s: %d descriptors, above the limit of %d", run.Name, run.FilesTop, d.Proxy.Sockets)
		}
		if run.Rate < d.Expect.MinRate {
			unmet("%s: %.0f queries a second, below the required %.0f", run.Name, run.Rate, d.Expect.MinRate)
		}
	}
	for _, c := range d.Classes {
		t := findTally(main, c.Name)
		if t == nil || t.Sent == 0 {
			unmet("class %s: no query was sent", c.Name)
			continue
		}
		if share := float64(t.Refused) / float64(t.Sent); share > c.MaxRefused {
			unmet("class %s: %.1f%% were refused, above the limit of %.1f%%", c.Name, 100*share, 100*c.MaxRefused)
		}
		if share := float64(t.Failed) / float64(t.Sent); share > c.MaxFailed {
			unmet("class %s: %.1f%% failed, above the limit of %.1f%%", c.Name, 100*share, 100*c.MaxFailed)
		}
		if share := float64(t.Answered) / float64(t.Sent); share < d.Expect.MinAnswered {
			unmet("class %s: %.1f%% were answered, below the required %.1f%%", c.Name, 100*share, 100*d.Expect.MinAnswered)
		}
		if base == nil || c.Hooked {
			continue
		}
		baseTally := findTally(base, c.Name)
		if maxP99 := time.Duration(float64(baseTally.P99)*(1+d.Expect.MaxP99Growth)) + d.Expect.P99Slack; t.P99 > maxP99 {
			unmet("class %s, which has no hook: p99 %v, and %v in the baseline run", c.Name, t.P99, baseTally.P99)
		}
	}
	faults := 0
	for _, n := range main.Faults {
		faults += int(n)
	}
	e := d.Expect
	if faults < e.MinFaults {
		unmet("%d hook calls failed, below the required %d: the drill did not exercise its subject", faults, e.MinFaults)
	}
	for _, k := range e.FaultKinds {
		if main.Faults[hook.Kind(k)] == 0 {
			unmet("no hook call failed with the kind %s", k)
		}
	}
	if main.Report.Swaps < e.MinSwaps {
		unmet("%d sets were activated, below the required %d", main.Report.Swaps, e.MinSwaps)
	}
	if main.Opened < e.MinOpened {
		unmet("breakers opened %d times, below the required %d", main.Opened, e.MinOpened)
	}
	if main.Calls < int64(e.MinCalls) {
		unmet("%d hook calls, below the required %d", main.Calls, e.MinCalls)
	}
	if n := main.Reshapes["done"]; n < e.MinReshapes {
		unmet("%d reshapes completed, below the required %d", n, e.MinReshapes)
	}
	if n := main.Reshapes["owner died after the cut"]; n < e.MinCutKills {
		unmet("%d new owners crashed immediately after a cutover, below the required %d", n, e.MinCutKills)
	}
	if n := main.Reshapes["evacuated"]; n < e.MinEvacuated {
		unmet("%d segments moved by evacuation, below the required %d", n, e.MinEvacuated)
	}
	r.Pass = len(r.Unmet) == 0
	return r
}

func findTally(r *Run, class string) *judge.Tally {
	for i := range r.Verdict.Classes {
		if r.Verdict.Classes[i].Class == class {
			return &r.Verdict.Classes[i]
		}
	}
	return nil
}

// Print writes the tables, the violations and the unmet requirements.
func (r *Result) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "class\thooks\tsent\tanswered\tpartial\trefused\tfailed\tlate\tlost\tdoubled\twrong\tp50\tp99\tp99 without\tchange\t")
	for _, c := range r.Drill.Classes {
		x := findTally(r.Main, c.Name)
		hooked, baseP99, change := "no", "-", "-"
		if c.Hooked {
			hooked = "yes"
		}
		if r.Base != nil {
			b := findTally(r.Base, c.Name)
			baseP99 = formatMS(b.P99)
			change = fmt.Sprintf("%+.0f%%", 100*(float64(x.P99)/float64(b.P99)-1))
		}
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t\n", c.Name, hooked, x.Sent, x.Answered, x.Partial, x.Refused,
			x.Failed, x.Late, x.Lost, x.Doubled, x.Wrong, formatMS(x.P50), formatMS(x.P99), baseP99, change)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, run := range []*Run{r.Base, r.Main} {
		if run == nil {
			continue
		}
		fmt.Fprintf(w, "%s: %.0f queries a second, %d in total; the proxies used %.1f s of CPU, and at most %d MiB and %d descriptors\n",
			run.Name, run.Rate, run.Verdict.Queries, run.CPU.Seconds(), run.RSSMost>>20, run.FilesTop)
	}
	if r.Main.Report.Swaps > 0 {
		var kinds []string
		for _, k := range slices.SortedFunc(maps.Keys(r.Main.Faults), func(a, b hook.Kind) int { return cmp.Compare(a, b) }) {
			kinds = append(kinds, fmt.Sprintf("%s=%d", k, r.Main.Faults[k]))
		}
		fmt.Fprintf(w, "hooks: %d sets activated, %d calls, breakers opened %d times, faults %s\n", r.Main.Report.Swaps, r.Main.Calls,
			r.Main.Opened, strings.Join(append(kinds, ""), " "))
	}
	if len(r.Main.Reshapes) > 0 {
		fmt.Fprint(w, "reshapes:")
		for _, k := range slices.Sorted(maps.Keys(r.Main.Reshapes)) {
			fmt.Fprintf(w, " %s=%d", strings.ReplaceAll(k, " ", "-"), r.Main.Reshapes[k])
		}
		fmt.Fprintln(w)
	}
	for _, run := range []*Run{r.Base, r.Main} {
		if run != nil {
			for _, f := range run.Verdict.Faults {
				fmt.Fprintf(w, "  %s: %s\n", run.Name, f)
			}
		}
	}
	for _, u := range r.Unmet {
		fmt.Fprintf(w, "  not met: %s\n", u)
	}
	return nil
}

// Line returns the summary line that ends a drill's output.
func (r *Result) Line() string {
	verdict := "fail"
	if r.Pass {
		verdict = "pass"
	}
	sum := func(f func(*judge.Verdict) int) int {
		n := f(r.Main.Verdict)
		if r.Base != nil {
			n += f(r.Base.Verdict)
		}
		return n
	}
	return fmt.Sprintf("verdict=%s queries=%d lost=%d late=%d doubled=%d wrong=%d", verdict,
		sum(func(v *judge.Verdict) int { return v.Queries }), sum(func(v *judge.Verdict) int { return v.Lost }),
		sum(func(v *judge.Verdict) int { return v.Late }), sum(func(v *judge.Verdict) int { return v.Doubled }),
		sum(func(v *judge.Verdict) int { return v.Wrong + v.Drained + v.Capped + v.Pushed + v.Astray }))
}

func formatMS(d time.Duration) string { return fmt.Sprintf("%.1f ms", float64(d.Microseconds())/1000) }

// Save writes result.json and result.txt into a folder.
func (r *Result) Save(dir string) error {
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "result.json"), append(text, '\n'), 0o644); err != nil {
		return err
	}
	var b strings.Builder
	if err := r.Print(&b); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, "result.txt"), []byte(b.String()+r.Line()+"\n"), 0o644)
}
