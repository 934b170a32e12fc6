// Package record collects and stores the results of a run: a Parquet row for each
// query, for each server and second, and for the run, and a text summary. It owns the
// schema (docs/reference/results.md) and the run folder. It must never average
// percentiles, nor put a figure that depends on the machine into the files that are
// compared byte by byte.
package record

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"saddleport/internal/lab/judge"
	"saddleport/internal/lab/model"
	"saddleport/internal/lab/scenario"
)

// Query is the row of one client query over all its attempts by the client. Times are
// in microseconds from the start of the run.
type Query struct {
	ID       string  `parquet:"id"`
	Class    string  `parquet:"class,dict"`
	Due      int64   `parquet:"due_us"`
	Took     int64   `parquet:"took_us"` // from due to the end, so it includes the delay that a closed loop would omit
	Tries    int32   `parquet:"tries"`
	Attempts int32   `parquet:"attempts"` // attempts of its parts at leaf servers
	Outcome  string  `parquet:"outcome,dict"`
	Whole    bool    `parquet:"whole"`
	Share    float64 `parquet:"share"`
	Earned   float64 `parquet:"earned"` // the portion of Value that was earned
	Value    float64 `parquet:"value"`
	Counts   bool    `parquet:"counts"` // due within the measured window, after the warm-up
}

// Second is the row of one server and one second.
type Second struct {
	Second   int32   `parquet:"second"`
	Server   string  `parquet:"server,dict"`
	Site     string  `parquet:"site,dict"`
	Cell     int32   `parquet:"cell"`
	Up       bool    `parquet:"up"`
	Capacity float64 `parquet:"capacity_share"` // share of its full capacity that the server has in slow start
	Taken    int32   `parquet:"taken"`
	Served   int32   `parquet:"served"`
	Failed   int32   `parquet:"failed"`
	Busy     int32   `parquet:"turned_away"`
	Held     int32   `parquet:"held_most"`
	Running  int32   `parquet:"running"`
	Work     int64   `parquet:"work_us"` // work done, in core time at speed 1
}

// Summary is the row of a run. Figures that depend on the machine are in Machine.
type Summary struct {
	Scenario  string  `parquet:"scenario"`
	Variation string  `parquet:"variation"`
	Drive     string  `parquet:"drive"`
	Policy    string  `parquet:"policy"`
	Seed      int64   `parquet:"seed"`
	Goodput   float64 `parquet:"goodput"` // value earned divided by value requested
	Asked     int64   `parquet:"asked"`
	Queries   int64   `parquet:"queries"` // HTTP queries, client retries included
	Answered  int64   `parquet:"answered"`
	Whole     int64   `parquet:"whole"`
	Refused   int64   `parquet:"refused"`
	Failed    int64   `parquet:"failed"`
	Parts     int64   `parquet:"parts"` // attempts of parts at leaf servers
	P50       int64   `parquet:"p50_us"`
	P99       int64   `parquet:"p99_us"`
	P999      int64   `parquet:"p999_us"`
	Lost      int64   `parquet:"lost"`
	Late      int64   `parquet:"late"`
	Doubled   int64   `parquet:"doubled"`
	Wrong     int64   `parquet:"wrong"`
	Drained   int64   `parquet:"drained"`
	Capped    int64   `parquet:"capped"`
	Pushed    int64   `parquet:"pushed"`
	Astray    int64   `parquet:"astray"`
	Worst10   float64 `parquet:"worst_10s"`    // goodput of the worst ten seconds, by the time that queries were due
	Tenant    float64 `parquet:"worst_tenant"` // goodput of the worst-served tenant, for queries within its share; 1 without tenants
}

// Class holds the results of one class.
type Class struct {
	Name                            string
	Asked, Tries                    int64
	Answered, Whole                 int64
	Refused, Failed                 int64
	Left                            int64
	Goodput                         float64
	P50, P90, P99                   time.Duration // of answered queries, from the time that they were due
	P999, Max                       time.Duration
	P99All                          time.Duration // of all queries; one that was not answered counts with its full timeout
	value, earned                   float64
	answeredLatencies, allLatencies *hdrhistogram.Histogram
}

// Event is an event of a run.
type Event struct {
	At   time.Duration
	Text string
}

// Machine holds the resources that a run used. It is never compared byte by byte.
type Machine struct {
	Wall    time.Duration
	Events  int64 // events of the virtual clock
	PeakMiB int64
	Threads int
	Cores   float64 // used by the proxies, real drive only
	Files   int     // most descriptors of one proxy, real drive only
}

// Run holds all results of a run.
type Run struct {
	Summary Summary
	Classes []Class
	Verdict *judge.Verdict
	Queries []Query
	Seconds []Second
	Events  []Event
	Levels  []LevelLine
	Broken  []string // problems other than rule violations, such as a proxy that crashed or a full queue of the emulator
	Machine Machine
	Expect  scenario.Expect
	Length  time.Duration
	Warmup  time.Duration
}

// Pass reports whether the run met its scenario's expectations, and whether there were
// no rule violations or, in a scenario that expects violations, enough of them.
func (r *Run) Pass() bool { return len(r.Unmet()) == 0 }

// Unmet returns the reasons why a run failed.
func (r *Run) Unmet() []string {
	out := slices.Clone(r.Broken)
	broken := r.Verdict.Violations()
	switch {
	case r.Expect.MinBroken > 0 && broken < r.Expect.MinBroken:
		out = append(out, "the scenario expects broken rules, and the judge saw fewer than expected")
	case r.Expect.MinBroken == 0 && broken > 0:
		out = append(out, "rules were broken")
	}
	if r.Summary.Goodput < r.Expect.MinGoodput {
		out = append(out, "the goodput is below the least that the scenario expects")
	}
	return out
}

// Recorder collects the results of a run. It is not safe for concurrent use.
type Recorder struct {
	plan     *scenario.Plan
	keepRows bool
	run      *Run
	byClass  map[string]*Class

	bySecond map[int][2]float64    // value requested and earned, by the second in which queries were due
	byTenant map[string][2]float64 // value requested and earned within the tenant's share, by tenant
}

// New returns a recorder. With keep, it stores the rows of queries and seconds.
func New(p *scenario.Plan, drive, policy string, keep bool) *Recorder {
	r := &Recorder{plan: p, keepRows: keep, byClass: make(map[string]*Class), bySecond: make(map[int][2]float64),
		byTenant: make(map[string][2]float64), run: &Run{Expect: p.Expect, Length: p.Length, Warmup: p.Warmup}}
	r.run.Summary = Summary{Scenario: p.Name, Variation: scenario.Label(p.Values), Drive: drive, Policy: policy, Seed: int64(p.RunSeed)}
	for _, c := range p.Scenario.Classes {
		most := int64((c.Timeout + 10*time.Second) / time.Microsecond)
		r.byClass[c.Name] = &Class{Name: c.Name, answeredLatencies: hdrhistogram.New(1, most, 3), allLatencies: hdrhistogram.New(1, most, 3)}
	}
	return r
}

// QueryDone records a client query that has ended.
func (r *Recorder) QueryDone(a *model.Request, attempts int) {
	counts := a.Due >= r.plan.Window[0] && a.Due < r.plan.Window[1]
	took := max((a.Ended - a.Due).Microseconds(), 1)
	if r.keepRows {
		r.run.Queries = append(r.run.Queries, Query{ID: a.ID, Class: a.Class.Name, Due: a.Due.Microseconds(), Took: took, Tries: int32(a.Attempts),
			Attempts: int32(attempts), Outcome: a.Outcome.Kind.String(), Whole: a.Outcome.Complete, Share: a.Outcome.Share, Earned: a.Earned * a.Value,
			Value: a.Value, Counts: counts})
	}
	if !counts {
		return
	}
	c := r.byClass[a.Class.Name]
	c.Asked++
	c.Tries += int64(a.Attempts)
	c.value += a.Value
	c.earned += a.Earned * a.Value
	add := func(sum [2]float64) [2]float64 { return [2]float64{sum[0] + a.Value, sum[1] + a.Earned*a.Value} }
	second := int(a.Due / time.Second)
	r.bySecond[second] = add(r.bySecond[second])
	if a.Tenant != "" && !a.OverQuota {
		r.byTenant[a.Tenant] = add(r.byTenant[a.Tenant])
	}
	switch a.Outcome.Kind {
	case model.Answered:
		c.Answered++
		if a.Outcome.Complete {
			c.Whole++
		}
		c.answeredLatencies.RecordValue(took)
		c.allLatencies.RecordValue(took)
	default:
		if c.allLatencies.RecordValue(a.Class.Timeout.Microseconds()); a.Outcome.Kind == model.Refused {
			c.Refused++
		} else if a.Outcome.Kind == model.Left {
			c.Left++
		} else {
			c.Failed++
		}
	}
}

// ServerSample records a server's statistics for one second.
func (r *Recorder) ServerSample(second int, s *model.Spec, st model.Stats) {
	if !r.keepRows {
		return
	}
	r.run.Seconds = append(r.run.Seconds, Second{Second: int32(second), Server: s.Name, Site: s.Site, Cell: int32(s.Cell), Up: st.Up, Capacity: st.CapacityShare,
		Taken: int32(st.Received), Served: int32(st.Served), Failed: int32(st.Failed), Busy: int32(st.Busy), Held: int32(st.MaxPending),
		Running: int32(st.Running), Work: st.Work.Microseconds()})
}

// Event records an event.
func (r *Recorder) Event(at time.Duration, text string) {
	r.run.Events = append(r.run.Events, Event{at, text})
}

// LevelLine is a change of a proxy's service level.
type LevelLine struct {
	At            time.Duration
	Mixer         int
	From, To, Why string
}

// Level records a change of a proxy's service level.
func (r *Recorder) Level(at time.Duration, proxy int, from, to, why string) {
	r.run.Levels = append(r.run.Levels, LevelLine{at, proxy, from, to, why})
	r.Event(at, fmt.Sprintf("mixer %d: level %s -> %s: %s", proxy, from, to, why))
}

// Fault records a problem that is not a rule violation.
func (r *Recorder) Fault(text string) { r.run.Broken = append(r.run.Broken, text) }

// worstWindow is the length of the window for Summary.Worst10, in seconds.
const worstWindow = 10

// worstGoodput returns the goodput of the worst ten seconds and of the worst-served
// tenant.
func (r *Recorder) worstGoodput() (window, tenant float64) {
	window, tenant = 1, 1
	from, to := int(r.plan.Window[0]/time.Second), int(r.plan.Window[1]/time.Second)
	for at := from; at == from || at+worstWindow <= to; at++ {
		var sum [2]float64
		for s := at; s < min(at+worstWindow, to); s++ {
			sum[0], sum[1] = sum[0]+r.bySecond[s][0], sum[1]+r.bySecond[s][1]
		}
		if sum[0] > 0 {
			window = min(window, sum[1]/sum[0])
		}
	}
	for _, sum := range r.byTenant {
		if sum[0] > 0 {
			tenant = min(tenant, sum[1]/sum[0])
		}
	}
	return window, tenant
}

// Finish computes the summary and returns the run.
func (r *Recorder) Finish(v *judge.Verdict) *Run {
	run, s := r.run, &r.run.Summary
	run.Verdict = v
	all, value, earned := hdrhistogram.New(1, int64(20*time.Minute/time.Microsecond), 3), 0.0, 0.0
	for _, c := range r.plan.Scenario.Classes {
		x := r.byClass[c.Name]
		q := func(h *hdrhistogram.Histogram, p float64) time.Duration {
			return time.Duration(h.ValueAtQuantile(p)) * time.Microsecond
		}
		x.P50, x.P90, x.P99, x.P999, x.Max = q(x.answeredLatencies, 50), q(x.answeredLatencies, 90), q(x.answeredLatencies, 99), q(x.answeredLatencies, 99.9), q(x.answeredLatencies, 100)
		x.P99All = q(x.allLatencies, 99)
		if x.value > 0 {
			x.Goodput = x.earned / x.value
		}
		all.Merge(x.answeredLatencies)
		value, earned = value+x.value, earned+x.earned
		s.Asked += x.Asked
		s.Answered += x.Answered
		s.Whole += x.Whole
		s.Refused += x.Refused
		s.Failed += x.Failed + x.Left
		run.Classes = append(run.Classes, *x)
	}
	if value > 0 {
		s.Goodput = earned / value
	}
	s.Worst10, s.Tenant = r.worstGoodput()
	s.P50, s.P99, s.P999 = all.ValueAtQuantile(50), all.ValueAtQuantile(99), all.ValueAtQuantile(99.9)
	s.Queries, s.Lost, s.Late, s.Doubled, s.Wrong = int64(v.Queries), int64(v.Lost), int64(v.Late), int64(v.Doubled), int64(v.Wrong)
	s.Drained, s.Capped, s.Pushed, s.Astray = int64(v.Drained), int64(v.Capped), int64(v.Pushed), int64(v.Astray)
	for _, t := range v.Classes {
		s.Parts += int64(t.Parts)
	}
	// Sort the rows: the real drive records them in no fixed order.
	slices.SortFunc(run.Queries, func(a, b Query) int { return cmp.Or(cmp.Compare(a.Due, b.Due), strings.Compare(a.ID, b.ID)) })
	slices.SortStableFunc(run.Events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return run
}
