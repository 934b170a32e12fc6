// Package membercost measures the merge of sources by the number of servers: a change, a full
// answer, flapping and memory. It draws a chart of the results. The measured merge does all
// that the merge in production does.
package membercost

import (
	"fmt"
	"io"
	"runtime"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"saddleport/internal/core/membership"
	"saddleport/internal/inifile"
	"saddleport/internal/lab/loglog"
	"saddleport/internal/source/members"
)

const (
	changes     = 20000
	fullAnswers = 30
	periods     = 24  // periods of flapping, 5 s each
	flapping    = 0.1 // share of the servers
)

// Row holds the measurements at one size.
type Row struct {
	Servers        int
	ChangeP50us    float64 // an answer that changes one server, and the step after it
	ChangeP99us    float64
	FullSameMS     float64 `json:"WholeSameMS"` // a full answer without a change
	FullChangedMS  float64 `json:"WholeNewMS"`  // a full answer in which a tenth of the servers has changed
	FlapMSEach5s   float64 // a tenth removed and added again, one by one, in 5 s: total processor time
	FlapListed     float64 // mean share of the servers that are usable meanwhile
	Damped         int64
	TotalKiB       float64 `json:"KiBAll"`
	BytesPerServer float64 `json:"BytesOne"`
}

// Table holds the results at all sizes.
type Table struct {
	Machine string
	Rows    []Row
}

func heap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

var sources = []string{"list", "consul", "dns"}

func claim(i int) membership.Claim {
	return membership.Claim{Name: fmt.Sprintf("s-%d", i), Addresses: []string{fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&255, i&255)}, Site: "zarqa", Kind: "std-2c",
		Cell: i / 3, HasCell: true, Health: membership.Passing, Weight: 1}
}

// Measure measures the given numbers of servers, with three sources that all list all servers.
func Measure(sizes []int, progress io.Writer) (*Table, error) {
	t := &Table{Machine: fmt.Sprintf("%s, %s/%s, %d processors", runtime.Version(), runtime.GOOS, runtime.GOARCH, runtime.NumCPU())}
	for _, n := range sizes {
		fmt.Fprintf(progress, "%d servers ...\n", n)
		row, err := measure(n)
		if err != nil {
			return nil, err
		}
		t.Rows = append(t.Rows, *row)
	}
	return t, nil
}

func measure(n int) (*Row, error) {
	var set members.Settings
	inifile.SetDefaults(&set)
	row := &Row{Servers: n}
	all := make([]membership.Claim, n)
	for i := range all {
		all[i] = claim(i)
	}
	before := heap()
	m, err := membership.New(set.MergeSettings(sources))
	if err != nil {
		return nil, err
	}
	now, index := int64(1_000_000), int64(0)
	observe := func(o membership.Observation) error {
		index++
		o.Index = index
		return m.Observe(now, o)
	}
	for _, s := range sources {
		if err := observe(membership.Observation{Source: s, Complete: true, Claims: all}); err != nil {
			return nil, err
		}
		m.Step(now)
	}
	row.TotalKiB = float64(heap()-before) / 1024
	row.BytesPerServer = row.TotalKiB * 1024 / float64(n)
	refresh := func() error { // each source answers without a change
		for _, s := range sources {
			if err := observe(membership.Observation{Source: s}); err != nil {
				return err
			}
		}
		m.Step(now)
		return nil
	}

	h := hdrhistogram.New(1, int64(time.Minute), 3)
	for i := range changes {
		if now += 1000; i%5000 == 0 {
			if err := refresh(); err != nil {
				return nil, err
			}
		}
		c := all[i%n]
		c.Drain = i/n%2 == 0
		start := time.Now()
		if err := observe(membership.Observation{Source: "consul", Claims: []membership.Claim{c}}); err != nil {
			return nil, err
		}
		m.Step(now)
		h.RecordValue(max(time.Since(start).Nanoseconds(), 1))
	}
	row.ChangeP50us, row.ChangeP99us = float64(h.ValueAtQuantile(50))/1000, float64(h.ValueAtQuantile(99))/1000

	fullAnswer := func(claims []membership.Claim) (float64, error) {
		start := time.Now()
		for range fullAnswers {
			now += 100_000
			if err := observe(membership.Observation{Source: "consul", Complete: true, Claims: claims}); err != nil {
				return 0, err
			}
			m.Step(now)
		}
		return float64(time.Since(start).Microseconds()) / 1000 / fullAnswers, nil
	}
	if _, err := fullAnswer(all); err != nil { // ends the drains of the previous measurement
		return nil, err
	}
	if row.FullSameMS, err = fullAnswer(all); err != nil {
		return nil, err
	}
	other := append([]membership.Claim(nil), all...)
	var duration time.Duration
	for k := range fullAnswers {
		for i := 0; i < n; i += 10 {
			other[i].Weight = float64(k + 2)
		}
		now += 100_000
		start := time.Now()
		if err := observe(membership.Observation{Source: "consul", Complete: true, Claims: other}); err != nil {
			return nil, err
		}
		m.Step(now)
		duration += time.Since(start)
	}
	row.FullChangedMS = float64(duration.Microseconds()) / 1000 / fullAnswers

	// A tenth of the servers is removed from the first-ranked source and added again, one by
	// one, every 5 s; the timer of the merge runs as it does in production.
	k := int(float64(n) * flapping)
	duration = 0
	listed, samples := 0.0, 0
	for range periods {
		for half := range 2 {
			for i := range k {
				now += 2_500_000 / int64(k)
				start := time.Now()
				if due := m.Due(); due > 0 && due <= now {
					m.Step(due)
				}
				o := membership.Observation{Source: "list", Removed: []string{all[i].Name}}
				if half == 1 {
					o = membership.Observation{Source: "list", Claims: all[i : i+1]}
				}
				if err := observe(o); err != nil {
					return nil, err
				}
				m.Step(now)
				duration += time.Since(start)
			}
			if err := refresh(); err != nil {
				return nil, err
			}
			usable := 0
			for _, x := range m.All() {
				if x.State == membership.Ready {
					usable++
				}
			}
			listed += float64(usable) / float64(n)
			samples++
		}
	}
	row.FlapMSEach5s = float64(duration.Microseconds()) / 1000 / periods
	row.FlapListed = listed / float64(samples)
	row.Damped = m.Damped
	runtime.KeepAlive(m)
	return row, nil
}

// Print writes the table as Markdown.
func (t *Table) Print(w io.Writer) error {
	fmt.Fprintf(w, "%s; three sources that list all servers.\n\n", t.Machine)
	g := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	head := []string{"servers", "one change p50 us", "p99 us", "full answer, no change ms", "a tenth changed ms", "a tenth flaps: ms of a core in 5 s", "usable meanwhile", "returns suppressed", "KiB", "bytes per server"}
	fmt.Fprintf(g, "| %s\t|\n|%s\n", strings.Join(head, "\t| "), strings.Repeat(" ---\t|", len(head)))
	for _, r := range t.Rows {
		fmt.Fprintf(g, "| %d\t| %.1f\t| %.1f\t| %.2f\t| %.2f\t| %.1f\t| %.3f\t| %d\t| %.0f\t| %.0f\t|\n", r.Servers, r.ChangeP50us, r.ChangeP99us, r.FullSameMS, r.FullChangedMS,
			r.FlapMSEach5s, r.FlapListed, r.Damped, r.TotalKiB, r.BytesPerServer)
	}
	return g.Flush()
}

// Chart draws the times by size, on two logarithmic axes.
func (t *Table) Chart(file string) error {
	var sizes []int
	lines := []loglog.Line{{Name: "one change, p50"}, {Name: "one change, p99"}, {Name: "a full answer, no change"}, {Name: "a full answer, a tenth changed"}, {Name: "a tenth flaps, in 5 s"}}
	for _, r := range t.Rows {
		sizes = append(sizes, r.Servers)
		for i, v := range []float64{r.ChangeP50us, r.ChangeP99us, r.FullSameMS * 1000, r.FullChangedMS * 1000, r.FlapMSEach5s * 1000} {
			lines[i].Values = append(lines[i].Values, v)
		}
	}
	return loglog.Save(file, "The merge of three sources by size", "servers", sizes, lines...)
}
