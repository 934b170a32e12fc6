// Package hookcost measures the cost of a hook: the time of one call that does nothing, by
// engine and point, and the memory of an instance. It reports quantiles, never the mean, of
// call times.
package hookcost

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"saddleport/internal/app"
	"saddleport/internal/hook"
	"saddleport/sdk/hookabi"
)

const (
	warmup    = 200
	instances = 8
	script    = `
def on_taken(q): pass
def on_admission(q): pass
def on_send(q): pass
def on_answered(q): pass
def on_answer(q): pass
def on_ended(q): pass
`
)

// Row holds the measurements of one engine at one point.
type Row struct {
	Engine, Point string
	Calls         int64
	P50US         float64 `json:"P50us"`
	P99US         float64 `json:"P99us"`
	MaxUS         float64 `json:"Maxus"`
	KiBPerCall    float64 `json:"KiBCall"` // allocated by one call
}

// Load holds the cost of loading a hook.
type Load struct {
	Engine         string
	LoadMS         float64 // to compile and start all instances
	KiBPerInstance float64 `json:"KiBInstance"` // heap retained by one instance, or by the compiled script
	PeakMiB        float64 // obtained from the system while loading
	Instances      int
	FreshInstances bool
}

// Table holds all results of a measurement.
type Table struct {
	Machine    string
	Rows       []Row
	Loads      []Load
	PipeP50    float64 // round trip to a helper process over pipes, us
	PipeP99    float64
	Recursions []Recursion `json:"Deeps"`
}

var points = []hookabi.Point{hookabi.Taken, hookabi.Admission, hookabi.Send, hookabi.Answered, hookabi.Answer, hookabi.Ended}

// view returns the view of a query with eight parts at a point.
func view(p hookabi.Point) *hookabi.View {
	v := &hookabi.View{Point: p, ID: "9b1f03aa5c7e2d41", Class: "free-slots", Text: "gov=amman;clinic=8;day=2027-02-01", Left: 1e6, Part: -1}
	for i := range 8 {
		part := hookabi.PartView{Shard: i, Weight: 0.125, Attempts: 1, Served: p >= hookabi.Answered}
		if p == hookabi.Answer {
			part.Value = "5be2a07c19f04d63"
		}
		v.Parts = append(v.Parts, part)
	}
	if p == hookabi.Send || p == hookabi.Answered {
		v.Part = 3
	}
	return v
}

// Measure measures all engines. guest is the file of a WebAssembly module that does nothing.
func Measure(ctx context.Context, guest string, calls int) (*Table, error) {
	module, err := os.ReadFile(guest)
	if err != nil {
		return nil, fmt.Errorf("cannot read the module (sdk/build.sh builds it): %w", err)
	}
	t := &Table{Machine: fmt.Sprintf("%s, %s/%s, %d processors", runtime.Version(), runtime.GOOS, runtime.GOARCH, runtime.NumCPU())}
	if err := t.measureRecursion(ctx); err != nil { // runs first, because the runtime does not return memory to the system
		return nil, err
	}
	for _, e := range []struct {
		name, file string
		text       []byte
	}{{"starlark", "noop.star", []byte(script)}, {"wasm", "noop.wasm", module}, {"wasm-fresh", "noop.wasm", module}} {
		if err := t.measureEngine(ctx, e.name, e.file, e.text, calls); err != nil {
			return nil, err
		}
	}
	return t, t.measurePipe(calls)
}

// heap returns the live heap and the memory obtained from the system, after a collection.
func heap() (live, system uint64) {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc, m.Sys
}

func (t *Table) measureEngine(ctx context.Context, name, file string, text []byte, calls int) error {
	n := instances
	if name == "starlark" {
		n = 1
	}
	before, sysBefore := heap()
	start := time.Now()
	p, err := app.Engines()[name].Load(ctx, hook.Source{Hook: "noop", File: file, Text: text, Points: points, Memory: 8 << 20, Steps: 100000, Calls: n})
	if err != nil {
		return err
	}
	defer p.Close()
	took := time.Since(start)
	after, sysAfter := heap()
	t.Loads = append(t.Loads, Load{Engine: name, LoadMS: float64(took.Microseconds()) / 1000, Instances: n, FreshInstances: name == "wasm-fresh",
		KiBPerInstance: float64(int64(after)-int64(before)) / 1024 / float64(n), PeakMiB: float64(int64(sysAfter)-int64(sysBefore)) / (1 << 20)})
	for _, point := range points {
		v := view(point)
		h := hdrhistogram.New(1, int64(time.Minute), 3)
		var m1, m2 runtime.MemStats
		for i := range warmup + calls {
			if i == warmup {
				runtime.ReadMemStats(&m1)
			}
			call, cancel := context.WithTimeout(ctx, time.Second)
			start := time.Now()
			_, err := p.Call(call, v)
			took := time.Since(start)
			cancel()
			if err != nil {
				return fmt.Errorf("%s at %s: %w", name, point, err)
			}
			if i >= warmup {
				h.RecordValue(max(took.Nanoseconds(), 1))
			}
		}
		runtime.ReadMemStats(&m2)
		us := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
		t.Rows = append(t.Rows, Row{Engine: name, Point: point.String(), Calls: h.TotalCount(), P50US: us(50), P99US: us(99), MaxUS: float64(h.Max()) / 1000,
			KiBPerCall: float64(m2.TotalAlloc-m1.TotalAlloc) / 1024 / float64(calls)})
	}
	return nil
}

// measurePipe measures a lower bound of the cost of a helper process: a view is sent to it and
// back over two pipes without any processing.
func (t *Table) measurePipe(calls int) error {
	cmd := exec.Command("cat")
	in, err := cmd.StdinPipe()
	if err != nil {
		return err
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	b := hookabi.AppendView(nil, view(hookabi.Taken))
	h := hdrhistogram.New(1, int64(time.Minute), 3)
	for i := range warmup + calls {
		start := time.Now()
		if _, err := in.Write(b); err != nil {
			return err
		}
		if _, err := io.ReadFull(out, b); err != nil {
			return err
		}
		if i >= warmup {
			h.RecordValue(max(time.Since(start).Nanoseconds(), 1))
		}
	}
	t.PipeP50, t.PipeP99 = float64(h.ValueAtQuantile(50))/1000, float64(h.ValueAtQuantile(99))/1000
	in.Close()
	return cmd.Wait()
}

// Print writes the tables as Markdown with aligned columns.
func (t *Table) Print(w io.Writer) error {
	fmt.Fprintf(w, "%s. A view of eight parts; a hook that does nothing.\n\n", t.Machine)
	rows := [][]string{{"engine", "point", "calls", "p50 us", "p99 us", "max us", "KiB allocated per call"}}
	for _, r := range t.Rows {
		rows = append(rows, []string{r.Engine, r.Point, fmt.Sprint(r.Calls), f(r.P50US), f(r.P99US), f(r.MaxUS), f(r.KiBPerCall)})
	}
	if err := writeGrid(w, rows); err != nil {
		return err
	}
	fmt.Fprintln(w)
	rows = [][]string{{"engine", "load ms", "instances", "KiB of heap per instance", "MiB from the system while loading"}}
	for _, l := range t.Loads {
		rows = append(rows, []string{l.Engine, f(l.LoadMS), fmt.Sprint(l.Instances), f(l.KiBPerInstance), f(l.PeakMiB)})
	}
	if err := writeGrid(w, rows); err != nil {
		return err
	}
	fmt.Fprintln(w)
	rows = [][]string{{"module with endless recursion", "concurrent calls", "MiB from the system", "all stopped after ms", "as"}}
	for _, d := range t.Recursions {
		rows = append(rows, []string{d.Frame, fmt.Sprint(d.Concurrent), f(d.MiB), f(d.StoppedMS), d.Fault})
	}
	if err := writeGrid(w, rows); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "\nThe same view sent to another process and back over pipes, without processing: p50 %s us, p99 %s us.\n", f(t.PipeP50), f(t.PipeP99))
	return err
}

func f(v float64) string { return fmt.Sprintf("%.1f", v) }

func writeGrid(w io.Writer, rows [][]string) error {
	t := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	for i, r := range rows {
		fmt.Fprintf(t, "| %s\t|\n", strings.Join(r, "\t| "))
		if i == 0 {
			fmt.Fprintf(t, "|%s\n", strings.Repeat(" ---\t|", len(r)))
		}
	}
	return t.Flush()
}
