package app

// This file is what the hooks commands do: offline on a folder, or by the control
// socket of a running mixer. It must never print a state that it did not ask for.

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

// HookCommands are the flags that all hooks commands share.
type HookCommands struct {
	Out              io.Writer
	Config, Operator string
	JSON             bool
}

// loader loads sets as the files say; both files may be missing.
func (h *HookCommands) loader() (*hook.Loader, error) {
	o, err := LoadOperator(h.Operator)
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
	return o.Loader(classes), nil
}

func (h *HookCommands) encode(v any) error {
	e := json.NewEncoder(h.Out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// Check loads a set and runs its self-tests.
func (h *HookCommands) Check(dir string) error {
	l, err := h.loader()
	if err != nil {
		return err
	}
	set, err := l.Load(dir)
	if err != nil {
		return err
	}
	if h.JSON {
		return h.encode(map[string]any{"set": set.Manifest.About.Name, "hooks": len(set.Hooks), "tests": len(set.Manifest.Tests)})
	}
	_, err = fmt.Fprintf(h.Out, "set=%s hooks=%d tests=%d ok\n", set.Manifest.About.Name, len(set.Hooks), len(set.Manifest.Tests))
	return err
}

// Test runs a set's self-tests and tells how each went.
func (h *HookCommands) Test(dir string) error {
	l, err := h.loader()
	if err != nil {
		return err
	}
	results, failed, err := l.TestAll(dir)
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
			x := row{Test: r.Test.Name, Hook: r.Test.Hook, Passed: r.Err == nil, TookMS: float64(r.Took.Microseconds()) / 1000}
			if r.Err != nil {
				x.Err = r.Err.Error()
			}
			rows = append(rows, x)
		}
		if err := h.encode(rows); err != nil {
			return err
		}
		return failed
	}
	t := tabwriter.NewWriter(h.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "test\thook\tresult\ttook\t")
	for _, r := range results {
		result := "ok"
		if r.Err != nil {
			result = "FAILED: " + r.Err.Error()
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%v\t\n", r.Test.Name, r.Test.Hook, result, r.Took.Round(time.Microsecond))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	return failed
}

// Run plays one query through a set.
func (h *HookCommands) Run(dir, query string) error {
	l, err := h.loader()
	if err != nil {
		return err
	}
	text, err := os.ReadFile(query)
	if err != nil {
		return err
	}
	v, err := hook.ParseView(text)
	if err != nil {
		return fmt.Errorf("%s: %w", query, err)
	}
	set, err := l.Load(dir)
	if err != nil {
		return err
	}
	steps, end := l.Simulate(set, v)
	if h.JSON {
		return h.encode(map[string]any{"steps": steps, "end": end})
	}
	t := tabwriter.NewWriter(h.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "point\tshard\thook\ttook\tasked for\t")
	for _, s := range steps {
		shard := "-"
		if s.Part >= 0 {
			shard = fmt.Sprint(s.Part)
		}
		did := s.Answer
		if s.Fault != "" {
			did = "FAULT " + s.Fault
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%v\t%s\t\n", s.Point, shard, s.Hook, s.Took.Round(time.Microsecond), did)
		for _, l := range s.Logged {
			fmt.Fprintf(t, "\t\t\t\tlog: %s\t\n", l)
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	_, err = fmt.Fprintf(h.Out, "end: %s\n", end)
	return err
}

// Ask speaks to the mixer that runs with the operator file, and prints the state
// of its hooks.
func (h *HookCommands) Ask(words ...string) error {
	if h.Operator == "" {
		return errors.New("give --operator FILE: its section [control] names the mixer's socket")
	}
	o, err := LoadOperator(h.Operator)
	if err != nil {
		return err
	}
	var r hook.Report
	if err := control.Call(o.Control.Socket, &r, append([]string{"hooks"}, words...)...); err != nil {
		return err
	}
	if h.JSON {
		return h.encode(r)
	}
	if r.Set == "" {
		fmt.Fprintln(h.Out, "no set is in force")
	} else {
		fmt.Fprintf(h.Out, "set %s, version %d, from %s; %d calls run, %d wait\n", r.Set, r.Version, r.Dir, r.Running, r.Waiting)
	}
	if r.Rejected != "" {
		fmt.Fprintf(h.Out, "the last reload was rejected: %s\n", r.Rejected)
	}
	if len(r.Hooks) == 0 {
		return nil
	}
	t := tabwriter.NewWriter(h.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "hook\tengine\tpoints\tclasses\ton failure\tstate\tcalls\tfaults\tp50 us\tp99 us\treason\t")
	for _, s := range r.Hooks {
		classes, faults := strings.Join(s.Classes, ","), int64(0)
		if classes == "" {
			classes = "all"
		}
		for _, n := range s.Faults {
			faults += n
		}
		if s.QuarantineLeftMS > 0 {
			s.State += fmt.Sprintf(" (%.1f s more)", float64(s.QuarantineLeftMS)/1000)
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t<%d\t<%d\t%s\t\n", s.Name, s.Engine, strings.Join(s.Points, ","), classes,
			s.OnFailure, s.State, s.Calls, faults, s.P50us, s.P99us, s.Reason)
	}
	return t.Flush()
}
