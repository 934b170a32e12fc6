// Package demo shows the system to a new user: a small cluster, discovery, two proxies and
// load on loopback, live rates, a node that is killed during the run, and a report. It needs
// no file, no fixed port and no flag.
package demo

import (
	"context"
	_ "embed"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"saddleport/internal/lab/play"
	"saddleport/internal/lab/record"
	"saddleport/internal/lab/report"
	"saddleport/internal/lab/scenario"
)

//go:embed demo.ini
var scenarioText []byte

// Options configure the demo.
type Options struct {
	Program  string        // the proxy program; empty: the one beside this program, or built from this module
	Length   time.Duration // 0: 30 s
	Dir      string        // for the report; empty: a temporary directory, which is kept
	Out      io.Writer
	Progress func(share float64, remark string)
}

// Run runs the demo and writes its report.
func Run(ctx context.Context, opt Options) (*record.Run, error) {
	document, err := scenario.Parse("demo.ini", scenarioText)
	if err != nil {
		return nil, err
	}
	var values []scenario.Value
	if opt.Length > 0 {
		values = append(values, scenario.Value{Key: "length", Value: opt.Length.String()})
		if opt.Length < 20*time.Second { // keeps the crash and the restart of the server within the run
			quarter := (opt.Length / 4).String()
			values = append(values, scenario.Value{Key: "warmup", Value: "0s"}, scenario.Value{Key: "fault.a-server-dies.at", Value: quarter},
				scenario.Value{Key: "fault.a-server-dies.for", Value: quarter})
		}
	}
	s, err := document.Scenario(values)
	if err != nil {
		return nil, err
	}
	plan, err := s.Plan(uint64(s.Seed))
	if err != nil {
		return nil, err
	}
	program, clean, err := findProxy(ctx, opt.Program)
	if err != nil {
		return nil, err
	}
	defer clean()
	dir := opt.Dir
	if dir == "" {
		if dir, err = os.MkdirTemp("", "saddleport-demo-"); err != nil {
			return nil, err
		}
	}
	fmt.Fprintf(opt.Out, "%d leaf servers in %d cells, discovery, %d proxies and %.0f queries a second, on free ports of 127.0.0.1, for %v.\n",
		len(plan.Servers), s.Groups[0].Cells, s.Proxies.Count, rate(plan), s.Length)
	for _, f := range s.Faults {
		fmt.Fprintf(opt.Out, "At %v one leaf server crashes; it restarts in slow start after %v.\n", f.At, f.For)
	}
	run, err := play.Play(ctx, plan, play.Options{Drive: play.Real, Program: program, Logs: filepath.Join(dir, "logs"), KeepRows: true, Progress: opt.Progress})
	if err != nil {
		return nil, err
	}
	fmt.Fprintln(opt.Out, "\nWhat happened:")
	for _, e := range run.Events {
		fmt.Fprintf(opt.Out, "  %5.1f s  %s\n", e.At.Seconds(), e.Text)
	}
	fmt.Fprintln(opt.Out)
	if err := run.Print(opt.Out); err != nil {
		return nil, err
	}
	if _, err := run.Save(filepath.Join(dir, "run"), s.String()); err != nil {
		return nil, err
	}
	page := filepath.Join(dir, "report.html")
	f, err := os.Create(page)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	if err := report.Run(f, run, nil, s.String(), "this machine, loopback"); err != nil {
		return nil, err
	}
	fmt.Fprintf(opt.Out, "\nThe report: %s\nThe proxies' logs: %s\n", page, filepath.Join(dir, "logs"))
	return run, nil
}

func rate(p *scenario.Plan) (sum float64) {
	for _, c := range p.Classes {
		sum += c.Arrivals.Rate
	}
	return sum
}

// findProxy returns the path of the proxy program: the given one, the one beside this program,
// or one that it builds. clean removes what it has built.
func findProxy(ctx context.Context, program string) (path string, clean func(), err error) {
	clean = func() {}
	if program != "" {
		return program, clean, nil
	}
	if self, err := os.Executable(); err == nil {
		beside := filepath.Join(filepath.Dir(self), "saddleport")
		if _, err := os.Stat(beside); err == nil {
			return beside, clean, nil
		}
	}
	dir, err := os.MkdirTemp("", "saddleport-build-")
	if err != nil {
		return "", clean, err
	}
	clean = func() { os.RemoveAll(dir) }
	path = filepath.Join(dir, "saddleport")
	build := exec.CommandContext(ctx, "go", "build", "-o", path, "saddleport/cmd/saddleport")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		clean()
		return "", func() {}, fmt.Errorf("cannot build the proxy program (use --program): %w", err)
	}
	return path, clean, nil
}
