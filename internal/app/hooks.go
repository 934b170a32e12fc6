package app

// This file implements the hooks commands, which work offline on a directory or send a request
// to the control socket of a running proxy. Each prints only state that it has just read.

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"saddleport/choice"
	"saddleport/internal/control"
	"saddleport/internal/hook"
)

// HookCommands implements the hooks commands; its fields are the flags that they share.
type HookCommands struct {
	Out              io.Writer
	Config, Operator string
	JSON             bool
}

// loader returns a loader of hook sets for the given files; both files are optional.
func (h *HookCommands) loader() (*hook.Loader, error) {
	op, err := LoadOperator(h.Operator)
	if err != nil {
		return nil, err
	}
	var classes []choice.Class
	if h.Config != "" {
		cfg, err := Load(h.Config, os.Getenv)
		if err != nil {
			return nil, err
		}
		classes = cfg.settings.Router.Classes
	}
	return op.Loader(classes), nil
}

func (h *HookCommands) encode(v any) error {
	e := json.NewEncoder(h.Out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// Check loads the hook set in a directory, which runs its self-tests, and prints a summary.
func (h *HookCommands) Check(dir string) error {
	loader, err := h.loader()
	if err != nil {
		return err
	}
	set, err := loader.Load(dir)
	if err != nil {
		return err
	}
	if h.JSON {
		return h.encode(map[string]any{"set": set.Manifest.About.Name, "hooks": len(set.Hooks), "tests": len(set.Manifest.Tests)})
	}
	_, err = fmt.Fprintf(h.Out, "set=%s hooks=%d tests=%d ok\n", set.Manifest.About.Name, len(set.Hooks), len(set.Manifest.Tests))
	return err
}

// Test runs the self-tests of a hook set and prints the result of each. It returns an error if one
// failed.
func (h *HookCommands) Test(dir string) error {
	loader, err := h.loader()
	if err != nil {
		return err
	}
	results, failed, err := loader.TestAll(dir)
	if err != nil {
		return err
	}
	if h.JSON {
		type row struct {
			Test, Hook, Err string
			Passed          bool
			TookMS          float64
		}
		rows := []row{}
		for _, r := range results {
			next := row{Test: r.Test.Name, Hook: r.Test.Hook, Passed: r.Err == nil, TookMS: float64(r.Took.Microseconds()) / 1000}
			if r.Err != nil {
				next.Err = r.Err.Error()
			}
			rows = append(rows, next)
		}
		if err := h.encode(rows); err != nil {
			return err
		}
		return failed
	}
	table := tabwriter.NewWriter(h.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "test\thook\tresult\tduration\t")
	for _, r := range results {
		result := "ok"
		if r.Err != nil {
			result = "FAILED: " + r.Err.Error()
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%v\t\n", r.Test.Name, r.Test.Hook, result, r.Took.Round(time.Microsecond))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	return failed
}

// Run runs one query, described by a JSON file, through a hook set and prints each hook call.
func (h *HookCommands) Run(dir, query string) error {
	loader, err := h.loader()
	if err != nil {
		return err
	}
	text, err := os.ReadFile(query)
	if err != nil {
		return err
	}
	view, err := hook.ParseView(text)
	if err != nil {
		return fmt.Errorf("%s: %w", query, err)
	}
	set, err := loader.Load(dir)
	if err != nil {
		return err
	}
	steps, end := loader.Simulate(set, view)
	if h.JSON {
		return h.encode(map[string]any{"steps": steps, "end": end})
	}
	table := tabwriter.NewWriter(h.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "point\tshard\thook\tduration\tresult\t")
	for _, step := range steps {
		shard := "-"
		if step.Part >= 0 {
			shard = fmt.Sprint(step.Part)
		}
		outcome := step.Answer
		if step.Fault != "" {
			outcome = "FAULT " + step.Fault
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%v\t%s\t\n", step.Point, shard, step.Hook, step.Took.Round(time.Microsecond), outcome)
		for _, line := range step.Logged {
			fmt.Fprintf(table, "\t\t\t\tlog: %s\t\n", line)
		}
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err = fmt.Fprintf(h.Out, "end: %s\n", end)
	return err
}

// Call sends a hooks command to the running proxy whose control socket the operator file names,
// and prints the state of its hooks.
func (h *HookCommands) Call(args ...string) error {
	if h.Operator == "" {
		return errors.New("give --operator FILE: its section [control] names the socket of the proxy")
	}
	op, err := LoadOperator(h.Operator)
	if err != nil {
		return err
	}
	var report hook.Report
	if err := control.Call(op.Control.Socket, &report, append([]string{"hooks"}, args...)...); err != nil {
		return err
	}
	if h.JSON {
		return h.encode(report)
	}
	if report.Set == "" {
		fmt.Fprintln(h.Out, "no hook set is loaded")
	} else {
		fmt.Fprintf(h.Out, "set %s, version %d, from %s; %d calls running, %d waiting\n", report.Set, report.Version, report.Dir, report.Running, report.Waiting)
	}
	if report.Rejected != "" {
		fmt.Fprintf(h.Out, "the last reload was rejected: %s\n", report.Rejected)
	}
	if len(report.Hooks) == 0 {
		return nil
	}
	table := tabwriter.NewWriter(h.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "hook\tengine\tpoints\tclasses\ton failure\tstate\tcalls\tfaults\tp50 us\tp99 us\treason\t")
	for _, status := range report.Hooks {
		classes, faults := strings.Join(status.Classes, ","), int64(0)
		if classes == "" {
			classes = "all"
		}
		for _, n := range status.Faults {
			faults += n
		}
		if status.QuarantineLeftMS > 0 {
			status.State += fmt.Sprintf(" (%.1f s left)", float64(status.QuarantineLeftMS)/1000)
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t<%d\t<%d\t%s\t\n", status.Name, status.Engine, strings.Join(status.Points, ","), classes,
			status.OnFailure, status.State, status.Calls, faults, status.P50us, status.P99us, status.Reason)
	}
	return table.Flush()
}
