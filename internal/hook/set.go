package hook

// Hook sets: loading, self-tests and reference counting. A set must never be freed while
// a query still uses it.

import (
	"context"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"sync"
	"time"

	"saddleport/choice"
	"saddleport/internal/core/hookrule"
	"saddleport/internal/inifile"
	"saddleport/sdk/hookabi"
)

const (
	loadTimeout = 30 * time.Second // to compile and initialize one hook
	testTimeout = 2 * time.Second  // for one self-test: more than a hook's budget, since the machine may be slow while a set is checked
)

// Loader loads and tests sets for one deployment.
type Loader struct {
	Engines map[string]Engine // by their names in the manifest; "wasm-fresh" for instance = fresh
	Classes []choice.Class    // of the deployment; none: any class is accepted
	Workers int               // maximum number of concurrent calls
	Memory  inifile.Bytes     // limit for all hooks of a set together; 0: no limit
}

// Hook is a loaded hook.
type Hook struct {
	Spec
	points  [hookabi.Points]bool
	program Program
	digest  [32]byte
	state   *hookState
}

// wants reports whether the hook is to be called at a point for a class.
func (h *Hook) wants(p hookabi.Point, class string) bool {
	return h.points[p] && (len(h.Classes) == 0 || slices.Contains(h.Classes, class))
}

// Set is a loaded set of hooks.
type Set struct {
	Manifest *Manifest
	Hooks    []*Hook
	Version  int // numbers the sets of this process, from 1

	mu      sync.Mutex
	refs    int // queries that use the set
	retired bool
	freed   chan struct{}
}

// Load reads and compiles the set in a directory and runs its self-tests. If one fails,
// it returns the error of the first one that failed.
func (l *Loader) Load(dir string) (*Set, error) {
	s, err := l.compile(dir)
	if err != nil {
		return nil, err
	}
	if results, err := s.Test(l); err != nil {
		s.retire()
		for _, r := range results {
			if r.Err != nil {
				return nil, r.Err
			}
		}
		return nil, err
	}
	return s, nil
}

func (l *Loader) compile(dir string) (*Set, error) {
	var names []string
	for _, c := range l.Classes {
		names = append(names, c.Name)
	}
	m, err := ReadManifest(dir, names)
	if err != nil {
		return nil, err
	}
	return l.load(m)
}

func (l *Loader) load(m *Manifest) (*Set, error) {
	s := &Set{Manifest: m, freed: make(chan struct{})}
	modules, scripts, calls := inifile.Bytes(0), inifile.Bytes(0), inifile.Bytes(max(l.Workers, 1))
	for _, spec := range m.Hooks {
		// Instances of a module keep their memory between calls. A script uses memory
		// only during a call, and there are at most as many calls as workers.
		if spec.Engine == "wasm" {
			modules += spec.Memory * calls
		} else {
			scripts = max(scripts, spec.Memory*calls)
		}
		if total := modules + scripts; l.Memory > 0 && total > l.Memory {
			s.retire()
			return nil, m.sections["hook "+spec.Name].Errorf("memory", "the set may need %v with %d concurrent calls, the limit is %v",
				total, l.Workers, l.Memory)
		}
		name := spec.Engine
		if name == "wasm" && spec.Instance == "fresh" {
			name = "wasm-fresh"
		}
		engine := l.Engines[name]
		if engine == nil {
			s.retire()
			return nil, m.sections["hook "+spec.Name].Errorf("engine", "%s: unknown engine", name)
		}
		h := &Hook{Spec: spec, digest: m.digest(spec)}
		src := Source{Hook: spec.Name, File: spec.File, Text: m.Files[spec.File], Memory: int64(spec.Memory),
			Steps: spec.Steps, Calls: max(l.Workers, 1)}
		for _, pointName := range spec.Points {
			p, _ := hookabi.PointOf(pointName)
			h.points[p] = true
			src.Points = append(src.Points, p)
		}
		ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
		program, err := engine.Load(ctx, src)
		cancel()
		if err != nil {
			s.retire()
			return nil, m.sections["hook "+spec.Name].Errorf("file", "%v", err)
		}
		h.program = program
		s.Hooks = append(s.Hooks, h)
	}
	return s, nil
}

// TestResult is the result of one self-test.
type TestResult struct {
	Test Test
	Took time.Duration
	Err  error // nil: passed
}

// Test runs the self-tests. If any failed, its error says how many.
func (s *Set) Test(l *Loader) ([]TestResult, error) {
	var out []TestResult
	failed := 0
	for _, t := range s.Manifest.Tests {
		start := time.Now()
		err := s.test(l, t)
		if err != nil {
			failed++
			err = s.Manifest.sections["test "+t.Name].Errorf("", "%v", err)
		}
		out = append(out, TestResult{t, time.Since(start), err})
	}
	if failed > 0 {
		return out, fmt.Errorf("%d of %d self-tests failed", failed, len(out))
	}
	return out, nil
}

func (s *Set) test(l *Loader, t Test) error {
	v, err := ParseView(s.Manifest.Files[t.View])
	if err != nil {
		return fmt.Errorf("%s: %w", t.View, err)
	}
	h := s.Hooks[slices.IndexFunc(s.Hooks, func(h *Hook) bool { return h.Name == t.Hook })]
	if !h.points[v.Point] {
		return fmt.Errorf("%s: hook %s is not called at the point %s", t.View, h.Name, v.Point)
	}
	budget := testTimeout
	if t.Fault == string(Overrun) {
		budget = h.Budget
	}
	ctx, cancel := context.WithTimeout(context.Background(), budget)
	defer cancel()
	got, err := call(ctx, h, v)
	if err == nil && len(l.Classes) > 0 {
		if _, rejected := hookrule.New(l.Classes).Check(v, got, h.Name); rejected != nil {
			err = Faultf(Forbidden, "%v", rejected)
		}
	}
	if t.Fault != "" {
		var f *Fault
		if !errors.As(err, &f) || string(f.Kind) != t.Fault {
			return fmt.Errorf("expected the fault %s, got %s", t.Fault, describe(got, err))
		}
		return nil
	}
	want, parseErr := ParseResult(s.Manifest.Files[t.Expect])
	if parseErr != nil {
		return fmt.Errorf("%s: %w", t.Expect, parseErr)
	}
	if err != nil {
		return err
	}
	got.Log = nil // log lines are not compared
	if !reflect.DeepEqual(normalize(want), normalize(got)) {
		return fmt.Errorf("expected %s, got %s", ResultJSON(want), ResultJSON(got))
	}
	return nil
}

func describe(r *hookabi.Result, err error) string {
	if err != nil {
		return err.Error()
	}
	return "the result " + ResultJSON(r)
}

// normalize sorts the lists whose order has no meaning and replaces nil lists by empty
// ones, so that equal results compare equal.
func normalize(r *hookabi.Result) hookabi.Result {
	n := *r
	n.Log = nil
	byName := func(a, b hookabi.Pair) int {
		switch {
		case a.Name < b.Name:
			return -1
		case a.Name > b.Name:
			return 1
		}
		return 0
	}
	n.Tags, n.Notes = append([]hookabi.Pair{}, r.Tags...), append([]hookabi.Pair{}, r.Notes...)
	slices.SortFunc(n.Tags, byName)
	slices.SortFunc(n.Notes, byName)
	n.Drop = append([]int{}, r.Drop...)
	slices.Sort(n.Drop)
	n.Claims = append([]string{}, r.Claims...)
	return n
}

// call calls a hook and checks the limits of its result. A panic of the engine becomes a
// Fault of the hook.
func call(ctx context.Context, h *Hook, v *hookabi.View) (r *hookabi.Result, err error) {
	defer func() {
		if p := recover(); p != nil {
			r, err = nil, Faultf(Thrown, "%s: the engine panicked: %v", h.File, p)
		}
	}()
	if r, err = h.program.Call(ctx, v); err == nil {
		if checkErr := r.Check(); checkErr != nil {
			return nil, Faultf(Garbage, "%s: %v", h.File, checkErr)
		}
	}
	return r, err
}

// acquire adds a reference for a new query. It returns false if the set has been retired.
func (s *Set) acquire() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.retired {
		return false
	}
	s.refs++
	return true
}

// release drops the reference of one query.
func (s *Set) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refs--; s.retired && s.refs == 0 {
		go s.free()
	}
}

// retire frees the set once its last query has ended. New queries can't acquire it.
func (s *Set) retire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.retired {
		return
	}
	if s.retired = true; s.refs == 0 {
		go s.free()
	}
}

func (s *Set) free() {
	for _, h := range s.Hooks {
		h.program.Close()
	}
	close(s.freed)
}

// Freed returns a channel that is closed once the set is freed.
func (s *Set) Freed() <-chan struct{} { return s.freed }

// TestAll loads the set in a directory and runs all its self-tests. failed says how many
// self-tests failed, if any; err says why the set can't be loaded.
func (l *Loader) TestAll(dir string) (results []TestResult, failed, err error) {
	s, err := l.compile(dir)
	if err != nil {
		return nil, nil, err
	}
	defer s.retire()
	results, failed = s.Test(l)
	return results, failed, nil
}
