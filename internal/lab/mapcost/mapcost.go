// Package mapcost measures the map of segments by the number of segments: look-ups, single
// changes, full maps and memory. It draws a chart of the results.
package mapcost

import (
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"saddleport/internal/core/placement"
	"saddleport/internal/lab/loglog"
)

const (
	cells   = 2500 // with two servers each
	lookups = 200000
	changes = 200
	rounds  = 5 // of which the median is reported
)

// Row holds the measurements at one size.
type Row struct {
	Segments                   int
	LookupNS, LookupsPerSecond float64
	ChangeUS                   float64
	FullMS                     float64 `json:"WholeMS"`
	BytesPerSegment            float64
}

// Table holds the results at all sizes.
type Table struct {
	Machine string
	Rows    []Row
}

// update returns a full map of n segments over 5,000 servers.
func update(n int) *placement.Update {
	u := &placement.Update{Epoch: 1}
	for c := range cells {
		u.Cells = append(u.Cells, placement.Cell{ID: c, Servers: []string{fmt.Sprintf("s-%d-0", c), fmt.Sprintf("s-%d-1", c)}})
	}
	boundary := func(i int) string {
		if i == 0 || i == n {
			return ""
		}
		return fmt.Sprintf("gov%02d/%08d", i*12/n, i)
	}
	for i := range n {
		u.Segments = append(u.Segments, placement.Segment{ID: uint32(i + 1), Cell: i % cells,
			Range: placement.Range{From: boundary(i), To: boundary(i + 1)}})
	}
	return u
}

func median(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}

func heap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Measure measures maps of the given sizes, in segments.
func Measure(sizes []int, progress io.Writer) (*Table, error) {
	t := &Table{Machine: fmt.Sprintf("%s, %s/%s, %d processors", runtime.Version(), runtime.GOOS, runtime.GOARCH, runtime.NumCPU())}
	for _, n := range sizes {
		fmt.Fprintf(progress, "%d segments ...\n", n)
		row := Row{Segments: n}
		u := update(n)
		before := heap()
		m, err := (*placement.Map)(nil).Apply(u)
		if err != nil {
			return nil, err
		}
		row.BytesPerSegment = float64(heap()-before) / float64(n) // excludes the text of the keys, which the update owns
		keys := make([]string, 8192)
		r := rand.New(rand.NewPCG(1, 2))
		for i := range keys {
			keys[i] = u.Segments[r.IntN(n)].From + "x"
		}
		var lookup, change, full []float64
		for range rounds {
			start := time.Now()
			for i := range lookups {
				if _, ok := m.Lookup(keys[i%len(keys)]); !ok {
					return nil, fmt.Errorf("no segment found for key %q", keys[i%len(keys)])
				}
			}
			lookup = append(lookup, float64(time.Since(start).Nanoseconds())/lookups)
			x := m
			start = time.Now()
			for i := range changes {
				s := slices.Clone(x.Segments()[i%n : i%n+1])
				s[0].Cell = (s[0].Cell + 1) % cells
				if x, err = x.Apply(&placement.Update{Epoch: x.Epoch() + 1, Base: x.Epoch(), Segments: s}); err != nil {
					return nil, err
				}
			}
			change = append(change, float64(time.Since(start).Microseconds())/changes)
			start = time.Now()
			if _, err := (*placement.Map)(nil).Apply(u); err != nil {
				return nil, err
			}
			full = append(full, float64(time.Since(start).Microseconds())/1000)
		}
		row.LookupNS, row.ChangeUS, row.FullMS = median(lookup), median(change), median(full)
		row.LookupsPerSecond = 1e9 / row.LookupNS
		runtime.KeepAlive(m)
		runtime.KeepAlive(u)
		t.Rows = append(t.Rows, row)
	}
	return t, nil
}

// Print writes the table as Markdown.
func (t *Table) Print(w io.Writer) error {
	fmt.Fprintf(w, "%s; 5,000 servers in %d cells; medians of %d rounds.\n\n", t.Machine, cells, rounds)
	g := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	head := []string{"segments", "look-up ns", "look-ups per second", "one change us", "full map ms", "bytes per segment"}
	fmt.Fprintf(g, "| %s\t|\n|%s\n", strings.Join(head, "\t| "), strings.Repeat(" ---\t|", len(head)))
	for _, r := range t.Rows {
		fmt.Fprintf(g, "| %d\t| %.0f\t| %.0f\t| %.0f\t| %.1f\t| %.0f\t|\n", r.Segments, r.LookupNS, r.LookupsPerSecond, r.ChangeUS, r.FullMS, r.BytesPerSegment)
	}
	return g.Flush()
}

// Chart draws the times of look-ups, changes and full maps by size, on two logarithmic axes.
func (t *Table) Chart(file string) error {
	var sizes []int
	lines := []loglog.Line{{Name: "a look-up"}, {Name: "one change"}, {Name: "a full map"}}
	for _, r := range t.Rows {
		sizes = append(sizes, r.Segments)
		for i, v := range []float64{r.LookupNS / 1000, r.ChangeUS, r.FullMS * 1000} {
			lines[i].Values = append(lines[i].Values, v)
		}
	}
	return loglog.Save(file, "The map of segments by size", "segments", sizes, lines...)
}
